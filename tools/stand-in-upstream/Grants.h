#pragma once

#include "Options.h"
#include "Record.h"
#include "adapters/http/HeartbeatJson.h"
#include "core/Mutex.h"

#include <map>
#include <vector>

/// Decision on whether a request may run.
enum class AdmissionResult {
    Admitted,
    RefusedByFence,
    RefusedByLoad,
};

/// Grants, lease and request slots of the stand-in. Thread-safe: its workers and its heartbeat thread share it.
class Grants {
public:
    Grants(const Options& options, Record& record);

    /// Builds the next heartbeat.
    teaselturn::HeartbeatMessage makeHeartbeat(std::uint64_t incarnation, std::uint16_t port, bool isLeaving);

    /// Processes the reply to a heartbeat. Ignores a reply to any but the latest heartbeat.
    /// @param sentAt When the heartbeat was sent.
    void handleReply(teaselturn::Instant sentAt, const teaselturn::HeartbeatReplyMessage& reply);

    /// Waits for a request slot until the deadline, then checks fence and lease. After Admitted, the caller must call
    /// finish().
    AdmissionResult admit(std::uint32_t slot, std::uint64_t fence, teaselturn::Instant deadline);
    /// Checks fence and lease again at the time at which the request takes effect, and records the run.
    /// @return False if the request must be refused after all.
    bool takeEffect(std::uint32_t slot, std::uint64_t fence, std::string_view requestId, bool isIdempotent,
        std::string_view key);
    void finish(std::uint32_t slot, std::uint64_t fence);

    /// Ends the ownership intervals of an expired lease and of released slots.
    void closeIntervals(teaselturn::Instant now);

    /// @return True if no slot is granted, or if the lease has expired and no request is running.
    bool holdsNoSlots(teaselturn::Instant now);

private:
    struct Grant {
        std::uint64_t fence {};
        /// Start of the current ownership interval.
        teaselturn::Instant ownedSince;
        bool isOwned {};
        /// The lease manager wants the slot back: new requests are refused, and the slot is released when the last
        /// running one ends.
        bool isReleasing {};
        std::uint32_t inFlight {};
    };

    bool isHeld(std::uint32_t slot, std::uint64_t fence, teaselturn::Instant now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void replaceGrants(const teaselturn::HeartbeatReplyMessage& reply, teaselturn::Instant now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void markForRelease(const teaselturn::HeartbeatReplyMessage& reply) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void closeInterval(std::uint32_t slot, Grant& grant, teaselturn::Instant end)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const Options& options;
    Record& record;
    teaselturn::Mutex mutex;
    teaselturn::ConditionVariable slotFreed;
    std::map<std::uint32_t, Grant> grants ABSL_GUARDED_BY(mutex);
    /// Incarnation and sequence of the latest heartbeat. Replies to earlier ones are ignored.
    std::uint64_t incarnation ABSL_GUARDED_BY(mutex) {};
    std::uint64_t sequence ABSL_GUARDED_BY(mutex) {};
    std::uint64_t session ABSL_GUARDED_BY(mutex) {};
    std::uint64_t grantsVersion ABSL_GUARDED_BY(mutex) {};
    teaselturn::Instant leaseEnd ABSL_GUARDED_BY(mutex);
    std::uint32_t running ABSL_GUARDED_BY(mutex) {};
    std::uint32_t queued ABSL_GUARDED_BY(mutex) {};
};
