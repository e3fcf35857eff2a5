#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Command.h"
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
    /// Zero where the slot has no owner. For a slot that is moving, the target of the move.
    UpstreamId owner;
    Fence fence;
    /// Smoothed requests a second.
    double load {};
    /// False while the slot must wait before it is given to anyone.
    bool isAssignable { true };
    /// The slot is being moved or assigned and is to be left alone.
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

}
