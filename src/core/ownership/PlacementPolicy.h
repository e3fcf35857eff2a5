#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Command.h"
#include "teaselturn/Types.h"

#include <concepts>
#include <span>
#include <vector>

namespace teaselturn {

/// Placement's view of an upstream.
struct PlacementUpstream {
    UpstreamId id;
    ZoneId zone;
    std::uint32_t requestSlots {};
    /// Time since it was first attached, if that was under this leader; else the maximum.
    Duration age {};
    bool isDraining {};
};

/// Placement's view of a slot.
struct PlacementSlot {
    SlotId slot;
    /// Zero if the slot has no owner. For a moving slot, the target of the move.
    UpstreamId owner;
    Fence fence;
    /// Smoothed request rate, in requests per second.
    double load {};
    /// False while the slot must wait before it is assigned.
    bool isAssignable { true };
    /// True if the slot is being moved or assigned and must not be changed.
    bool isMoving {};
};

/// Placement decision for one service.
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

}
