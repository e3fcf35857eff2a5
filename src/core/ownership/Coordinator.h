#pragma once

#include "core/ownership/OwnershipState.h"
#include "teaselturn/Message.h"
#include "teaselturn/Types.h"

#include <concepts>
#include <span>
#include <vector>

namespace teaselturn {

/// An upstream as placement sees it.
struct PlacementUpstream {
    UpstreamId id;
    ZoneId zone;
    std::uint32_t requestSlots {};
    /// Time since it was first attached, as far as this leader knows.
    Duration age {};
    bool isDraining {};
};

/// A slot as placement sees it.
struct PlacementSlot {
    SlotId slot;
    UpstreamId owner;
    Fence fence;
    /// Smoothed requests a second.
    double load {};
    /// False while the slot must wait before it is given to anyone.
    bool isAssignable { true };
    bool isMoving {};
};

/// What placement decided for one service.
struct PlacementDecision {
    std::vector<SlotAssignment> assignments;
    std::vector<SlotAssignment> moves;
};

/// Chooses owners for the slots of one service.
template <typename T>
concept PlacementPolicy = requires(T& policy, Instant now, const ServiceSpec& service,
    std::span<const PlacementUpstream> upstreams, std::span<const PlacementSlot> slots, std::size_t allowedMoves)
{
    {
        policy.place(now, service, upstreams, slots, allowedMoves)
        } -> std::same_as<PlacementDecision>;
};

/// Leader-only decisions: delegations to entry VMs, takeovers, placement, rollout of bundles, hot keys. It keeps its
/// memory between elections in no durable form: becameLeader() starts it afresh. Not thread-safe.
/// @tparam Policy Placement of slots.
template <PlacementPolicy Policy>
class Coordinator {
public:
    explicit Coordinator(Policy policy);

    /// Starts a term of leadership. Every session's steward is assumed to hold a delegation granted just now.
    void becameLeader(Instant now, const OwnershipState& state);

    /// Answers a renewal. Call only while the leader lease is held; the caller sends the answer after this returns.
    DelegationReply delegate(Instant now, NodeId entry, const DelegationRequest& request, const OwnershipState& state);

    /// Counts a delegation from the instant at which its answer was sent.
    void delegationSent(Instant now, NodeId entry, BootId boot);

    /// Decides what to propose now: expiries, assignments, moves, rollout. Commands already pending are not repeated
    /// until they are applied or their proposal failed.
    std::vector<Command> decide(Instant now, const OwnershipState& state);

    /// Tells that a proposal of decide() was dropped, so that it may be decided again.
    void proposalsDropped();

    /// Takes note of an applied entry.
    void applied(Instant now, const LogEntry& entry, const ApplyOutcome& outcome, const OwnershipState& state);
};

}
