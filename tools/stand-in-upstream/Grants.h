#pragma once

#include "Options.h"
#include "Record.h"
#include "adapters/http/HeartbeatJson.h"
#include "core/Mutex.h"

#include <map>
#include <vector>

/// What the upstream does with a request.
enum class Verdict {
    Run,
    RefusedByFence,
    RefusedByLoad,
};

/// Grants, lease and request slots of the stand-in. Shared by its workers and its heartbeat thread.
class Grants {
public:
    Grants(const Options& options, Record& record);

    /// Builds the next heartbeat.
    teaselturn::HeartbeatMessage heartbeat(std::uint64_t incarnation, std::uint16_t port, bool isLeaving);

    /// Takes the reply to a heartbeat that was sent at an instant.
    void replied(teaselturn::Instant sentAt, const teaselturn::HeartbeatReplyMessage& reply);

    /// Waits for a request slot and checks fence and lease. On Run, the caller calls finish() later.
    Verdict begin(std::uint32_t slot, std::uint64_t fence, teaselturn::Instant deadline);
    /// Checks fence and lease again, at the instant at which the request takes effect, and writes the record.
    /// @return False where the request must be refused after all.
    bool takeEffect(std::uint32_t slot, std::uint64_t fence, std::string_view requestId, bool isIdempotent,
        std::string_view key);
    void finish(std::uint32_t slot, std::uint64_t fence);

    /// Ends the ownership intervals of a lease that has passed.
    void closeIntervals(teaselturn::Instant now);

    /// @return True where the upstream holds no slot: none is granted, or the lease has ended and nothing runs.
    bool isEmpty(teaselturn::Instant now);

private:
    struct Grant {
        std::uint64_t fence {};
        /// Start of the current ownership interval.
        teaselturn::Instant ownedSince;
        bool isOwned {};
        /// Asked back; no new requests are taken, and it is released when the last one ends.
        bool isReleasing {};
        std::uint32_t inFlight {};
    };

    bool isHeld(std::uint32_t slot, std::uint64_t fence, teaselturn::Instant now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void replaceGrants(const teaselturn::HeartbeatReplyMessage& reply, teaselturn::Instant now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void askBack(const teaselturn::HeartbeatReplyMessage& reply) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void closeInterval(std::uint32_t slot, Grant& grant, teaselturn::Instant end)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const Options& options;
    Record& record;
    teaselturn::Mutex mutex;
    teaselturn::ConditionVariable changed;
    std::map<std::uint32_t, Grant> grants ABSL_GUARDED_BY(mutex);
    /// Of the latest heartbeat. Only its own answer is taken.
    std::uint64_t incarnation ABSL_GUARDED_BY(mutex) {};
    std::uint64_t sequence ABSL_GUARDED_BY(mutex) {};
    std::uint64_t session ABSL_GUARDED_BY(mutex) {};
    std::uint64_t grantsVersion ABSL_GUARDED_BY(mutex) {};
    teaselturn::Instant leaseEnd ABSL_GUARDED_BY(mutex);
    std::uint32_t running ABSL_GUARDED_BY(mutex) {};
    std::uint32_t queued ABSL_GUARDED_BY(mutex) {};
};
