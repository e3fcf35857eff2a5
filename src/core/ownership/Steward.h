#pragma once

#include "core/ownership/OwnershipState.h"
#include "teaselturn/Message.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// Heartbeat of an upstream, as its HTTP body states it.
struct Heartbeat {
    std::string name;
    std::uint64_t incarnation {};
    /// Zero before the first answer.
    SessionId session;
    ServiceId service;
    ZoneId zone;
    Endpoint endpoint;
    std::uint32_t requestSlots {};
    std::uint32_t connectionLimit {};
    bool checksGrants {};
    bool isLeaving {};
    /// Version of the list of grants that the upstream holds.
    std::uint64_t grantsVersion {};
    /// Slots that the upstream has drained after it was asked to release them.
    std::vector<SlotRelease> released;
};

/// Answer to a heartbeat.
struct HeartbeatReply {
    UpstreamId upstream;
    SessionId session;
    /// Zero where no lease is granted; counted by the upstream from before it sent the heartbeat.
    std::chrono::milliseconds lease {};
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

/// Lease decisions of one entry VM for the upstreams attached to it. Not thread-safe.
class Steward {
public:
    /// @param node This entry VM.
    /// @param boot This start of its process; sessions of another boot are not renewed.
    Steward(NodeId node, BootId boot);

    /// Takes a delegation of the leader.
    /// @param sentAt When the request that it answers was sent.
    void delegated(Instant sentAt, const DelegationReply& reply);

    /// @return When the delegation ends, by this process's clock.
    Instant delegationEnd() const noexcept;

    /// Decides on a heartbeat. The caller calls heartbeatAnswered() once the answer has left.
    HeartbeatDecision heartbeat(Instant now, const Heartbeat& heartbeat, const OwnershipState& state);

    /// Counts a lease from the instant at which its answer was sent.
    void heartbeatAnswered(Instant now, UpstreamId upstream, SessionId session, std::chrono::milliseconds lease);

    /// @return Commands to propose now: expiries of leases that have certainly ended, and resends of those not yet
    /// applied.
    std::vector<Command> tick(Instant now, const OwnershipState& state);

    /// @return True where requests may go to an upstream that does not check grants: the delegation is valid and the
    /// table has reached the commit index that the leader named.
    bool isTableFresh(Instant now, LogIndex appliedIndex) const noexcept;
};

}
