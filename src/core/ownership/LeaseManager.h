#pragma once

#include "core/ownership/HeldDelegations.h"
#include "core/ownership/OwnershipState.h"
#include "teaselturn/Message.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <absl/container/btree_map.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace teaselturn {

/// Heartbeat of an upstream, as its HTTP body states it.
struct Heartbeat {
    std::string name;
    std::uint64_t incarnation {};
    /// Grows with each heartbeat of the incarnation.
    std::uint64_t sequence {};
    /// Zero before the first answer.
    SessionId session;
    ServiceId service;
    ZoneId zone;
    Endpoint endpoint;
    std::uint32_t requestSlots {};
    std::uint32_t connectionLimit {};
    bool checksGrants {};
    bool isLeaving {};
    /// Version of the list of grants that the upstream holds. Zero where it holds none.
    std::uint64_t grantsVersion {};
    /// Slots that the upstream has drained after it was asked to release them. It repeats them until they are no
    /// longer wanted.
    std::vector<SlotRelease> released;
};

/// Answer to a heartbeat. An upstream ignores answers to other heartbeats than its latest one, and sessions with a
/// smaller number than the one it knows.
struct HeartbeatReply {
    /// Incarnation and sequence of the heartbeat that this answers: an answer that arrives at another upstream, or late,
    /// must not be taken.
    std::uint64_t incarnation {};
    std::uint64_t sequence {};
    UpstreamId upstream;
    SessionId session;
    /// Zero where no lease is granted; counted by the upstream from before it sent the heartbeat.
    std::chrono::milliseconds lease {};
    /// Derived from the grants themselves, so that two lease managers give one list the same version. Zero for an empty
    /// list.
    std::uint64_t grantsVersion {};
    /// The whole list where the upstream's version differs, else empty.
    std::vector<SlotRelease> grants;
    bool grantsIncluded {};
    /// Slots to finish and release. They are no longer among the grants.
    std::vector<SlotRelease> releaseWanted;
};

/// What a heartbeat asks the driver to do.
struct HeartbeatDecision {
    ResultCode code { ResultCode::Ok };
    HeartbeatReply reply;
    /// Command to propose to the leader. For AttachUpstream the upstream is answered without lease and asks again.
    std::optional<Command> proposal;
};

/// Time after which a proposal that was not applied is sent again.
inline constexpr std::chrono::milliseconds proposalResendInterval { 500 };

/// Time that a leaving upstream waits for upstreams to take its slots over. After it, it releases them all, so that it
/// gets no new work within 2 s even where nobody can take them.
inline constexpr std::chrono::milliseconds leavingTimeout { 1'000 };

/// Lease decisions of one entry VM for the upstreams attached to it. Not thread-safe.
class LeaseManager {
public:
    /// @param node This entry VM.
    /// @param boot This start of its process; sessions of another boot are not renewed.
    LeaseManager(NodeId node, BootId boot);

    /// Takes a delegation of the leader.
    /// @param sentAt When the request that it answers was sent.
    void addDelegation(Instant sentAt, const DelegationReply& reply);

    /// @return When the delegation ends, by this process's clock.
    Instant delegationEnd() const noexcept;

    /// Decides on a heartbeat. The caller calls handleHeartbeatReplySent() once the answer has left.
    HeartbeatDecision handleHeartbeat(Instant now, const Heartbeat& heartbeat, const OwnershipState& state);

    /// Counts a lease from the instant at which its answer was sent.
    void handleHeartbeatReplySent(Instant now, UpstreamId upstream, SessionId session, std::chrono::milliseconds lease);

    /// @return Commands to propose now: expiries of leases that have certainly ended, and resends of those not yet
    /// applied.
    std::vector<Command> tick(Instant now, const OwnershipState& state);

    /// @return True where requests may go to an upstream that does not check grants: the delegation is valid and the
    /// table has reached the commit index that the leader named.
    bool isTableFresh(Instant now, LogIndex appliedIndex) const noexcept;

    /// @return Until when isTableFresh() holds for this index, unless another delegation comes.
    Instant tableFreshUntil(LogIndex appliedIndex) const noexcept { return this->delegations.usableUntil(appliedIndex); }

    /// @return Number of upstreams whose current session this lease manager holds.
    std::size_t upstreamCount() const noexcept;

private:
    /// A proposal that may have to be sent again.
    struct PendingProposal {
        std::optional<Instant> proposedAt;

        /// @return True where it is to be proposed now, and notes that.
        bool startIfDue(Instant now) noexcept;
    };

    /// An upstream whose current session this lease manager holds.
    struct HeldSession {
        SessionId session;
        /// No lease of this session, nor of an earlier one, runs from here on.
        Instant leaseEnd;
        /// True once the upstream has named the session in a heartbeat: from then on it refuses grants of earlier ones.
        bool isConfirmed {};
        std::optional<ExpiryReason> expiry;
        PendingProposal expiryProposal;
        PendingProposal drainProposal;
        PendingProposal releaseProposal;
        bool isDrainRequested {};
        Instant drainingSince;
        /// Slots that the upstream gave up, until that is applied. They are never granted again under their fence.
        std::vector<SlotRelease> releasedSlots;

        // Grants as of an index of the state, so that a heartbeat without changes does not list the slots again.
        LogIndex listedAt;
        bool isListedForLeaving {};
        std::vector<SlotRelease> grants;
        std::vector<SlotRelease> wanted;
        std::uint64_t version {};
    };

    using AttachKey = std::pair<std::string, std::uint64_t>;

    static bool isValid(const Heartbeat& heartbeat) noexcept;
    bool isHeldHere(const UpstreamRecord& record) const noexcept;
    HeldSession& findOrAddSession(Instant now, const UpstreamRecord& record);
    HeartbeatDecision attach(Instant now, const Heartbeat& heartbeat, const OwnershipState& state);
    void fillReply(Instant now, const Heartbeat& heartbeat, const OwnershipState& state, HeldSession& held, HeartbeatDecision& decision);
    std::chrono::milliseconds leaseFor(Instant now, const UpstreamRecord& record, const OwnershipState& state) const;
    static void listGrants(Instant now, HeldSession& held, const UpstreamRecord& record, const OwnershipState& state);
    static bool recordReleases(HeldSession& held, const Heartbeat& heartbeat, UpstreamId upstream, const OwnershipState& state);
    static void removeAppliedReleases(HeldSession& held, UpstreamId upstream, const OwnershipState& state);
    std::optional<Command> nextProposal(Instant now, const UpstreamRecord& record, HeldSession& held, const OwnershipState& state);
    bool hasLeaseEnded(Instant now, const UpstreamRecord& record, const HeldSession& held, const OwnershipState& state) const;

    NodeId node;
    BootId boot;
    HeldDelegations delegations;
    absl::btree_map<UpstreamId, HeldSession> heldSessions;
    absl::btree_map<AttachKey, PendingProposal> attaching;
};

}
