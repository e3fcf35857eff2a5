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

/// Heartbeat of an upstream, decoded from its HTTP body.
struct Heartbeat {
    std::string name;
    std::uint64_t incarnation {};
    /// Increases with each heartbeat of the incarnation.
    std::uint64_t sequence {};
    /// Zero before the first reply.
    SessionId session;
    ServiceId service;
    ZoneId zone;
    Endpoint endpoint;
    std::uint32_t requestSlots {};
    std::uint32_t connectionLimit {};
    bool checksGrants {};
    bool isLeaving {};
    /// Version of the upstream's list of grants. Zero if it holds none.
    std::uint64_t grantsVersion {};
    /// Slots that the upstream has drained after a request to release them. Repeated until they are no longer in
    /// releaseWanted.
    std::vector<SlotRelease> released;
};

/// Reply to a heartbeat. An upstream ignores replies to heartbeats other than its latest, and replies with a session
/// older than its current one.
struct HeartbeatReply {
    /// Incarnation and sequence of the heartbeat. The upstream uses them to reject a reply that was meant for another
    /// upstream or that arrives late.
    std::uint64_t incarnation {};
    std::uint64_t sequence {};
    UpstreamId upstream;
    SessionId session;
    /// Zero if no lease is granted. The upstream counts it from before it sent the heartbeat.
    std::chrono::milliseconds lease {};
    /// Hash of the grants, so that two lease managers give the same list the same version. Zero for an empty list.
    std::uint64_t grantsVersion {};
    /// The whole list if the upstream's version differs, else empty.
    std::vector<SlotRelease> grants;
    bool grantsIncluded {};
    /// Slots that the upstream should drain and release. They are no longer among the grants.
    std::vector<SlotRelease> releaseWanted;
};

/// Result of a heartbeat for the driver.
struct HeartbeatDecision {
    ResultCode code { ResultCode::Ok };
    HeartbeatReply reply;
    /// Command to propose to the leader. With AttachUpstream, the reply carries no lease and the upstream sends another
    /// heartbeat.
    std::optional<Command> proposal;
};

/// Interval after which a proposal that was not applied is sent again.
inline constexpr std::chrono::milliseconds proposalResendInterval { 500 };

/// How long a leaving upstream waits for others to take over its slots. After that it is asked to release all of them,
/// so that it gets no new work within 2 s even if no other upstream can take them.
inline constexpr std::chrono::milliseconds leavingTimeout { 1'000 };

/// Manages the leases of the upstreams attached to one entry VM. Not thread-safe.
class LeaseManager {
public:
    /// @param node Node id of this entry VM.
    /// @param boot Boot id of this process; sessions of another boot are not renewed.
    LeaseManager(NodeId node, BootId boot);

    /// Adds a delegation from the leader.
    /// @param sentAt When the request for this reply was sent.
    void addDelegation(Instant sentAt, const DelegationReply& reply);

    /// @return When the delegation ends, by the clock of this process.
    Instant delegationEnd() const noexcept;

    /// Handles a heartbeat. Call handleHeartbeatReplySent() once the reply has been sent.
    HeartbeatDecision handleHeartbeat(Instant now, const Heartbeat& heartbeat, const OwnershipState& state);

    /// Extends the lease's end, counted from the time its reply was sent.
    void handleHeartbeatReplySent(Instant now, UpstreamId upstream, SessionId session, std::chrono::milliseconds lease);

    /// @return Commands to propose now: expiries of leases that have certainly ended, and proposals not yet applied
    /// that are due for a resend.
    std::vector<Command> tick(Instant now, const OwnershipState& state);

    /// @return True if requests may go to an upstream that does not check grants: the delegation is valid and the table
    /// has reached the commit index that the leader sent with it.
    bool isTableFresh(Instant now, LogIndex appliedIndex) const noexcept;

    /// @return The time until which isTableFresh() holds for this index, unless another delegation arrives.
    Instant tableFreshUntil(LogIndex appliedIndex) const noexcept { return this->delegations.usableUntil(appliedIndex); }

    /// @return Number of upstreams whose current session belongs to this lease manager.
    std::size_t upstreamCount() const noexcept;

private:
    /// A proposal that may have to be resent.
    struct PendingProposal {
        std::optional<Instant> proposedAt;

        /// Records a send if one is due.
        /// @return True if the proposal must be sent now.
        bool startIfDue(Instant now) noexcept;
    };

    /// State of an upstream whose current session belongs to this lease manager.
    struct AttachedSession {
        SessionId session;
        /// Time from which on no lease of this session or an earlier one is valid.
        Instant leaseEnd;
        /// True once the upstream has sent the session in a heartbeat: from then on it refuses grants of earlier
        /// sessions.
        bool isConfirmed {};
        std::optional<ExpiryReason> expiry;
        PendingProposal expiryProposal;
        PendingProposal drainProposal;
        PendingProposal releaseProposal;
        bool isDrainRequested {};
        Instant drainingSince;
        /// Slots that the upstream released, until the release is applied. They are never granted again under the same
        /// fence.
        std::vector<SlotRelease> releasedSlots;

        // Cached grants as of an index of the state, so that a heartbeat without changes does not rebuild the list.
        LogIndex grantsListedAt;
        bool isListedForLeaving {};
        std::vector<SlotRelease> grants;
        std::vector<SlotRelease> slotsToRelease;
        std::uint64_t version {};
    };

    using AttachKey = std::pair<std::string, std::uint64_t>;

    static bool isValid(const Heartbeat& heartbeat) noexcept;
    bool isAttachedHere(const UpstreamRecord& record) const noexcept;
    AttachedSession& findOrAddSession(Instant now, const UpstreamRecord& record);
    HeartbeatDecision attach(Instant now, const Heartbeat& heartbeat, const OwnershipState& state);
    void fillReply(Instant now, const Heartbeat& heartbeat, const OwnershipState& state, AttachedSession& attachedSession, HeartbeatDecision& decision);
    std::chrono::milliseconds leaseFor(Instant now, const UpstreamRecord& record, const OwnershipState& state) const;
    static void listGrants(Instant now, AttachedSession& attachedSession, const UpstreamRecord& record, const OwnershipState& state);
    static bool recordReleases(AttachedSession& attachedSession, const Heartbeat& heartbeat, UpstreamId upstream, const OwnershipState& state);
    static void removeAppliedReleases(AttachedSession& attachedSession, UpstreamId upstream, const OwnershipState& state);
    std::optional<Command> nextProposal(Instant now, const UpstreamRecord& record, AttachedSession& attachedSession, const OwnershipState& state);
    bool hasLeaseEnded(Instant now, const UpstreamRecord& record, const AttachedSession& attachedSession, const OwnershipState& state) const;

    NodeId node;
    BootId boot;
    HeldDelegations delegations;
    absl::btree_map<UpstreamId, AttachedSession> attachedSessions;
    absl::btree_map<AttachKey, PendingProposal> attaching;
};

}
