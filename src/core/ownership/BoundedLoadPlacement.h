#pragma once

#include "core/ownership/PlacementPolicy.h"

#include <absl/container/btree_set.h>

namespace teaselturn {

/// Gives each slot without an owner to the upstream with the lowest load per request slot, alternating between zones
/// where loads are equal. Slots of draining upstreams move at once. Slots move for balance only once an upstream is
/// outside a band around the mean, and then until all are well within it.
class BoundedLoadPlacement {
public:
    /// @param allowedMoves Most moves for balance. Moves away from draining upstreams are not limited.
    PlacementDecision place(Instant now, const ServiceSpec& service, std::span<const PlacementUpstream> upstreams,
        std::span<const PlacementSlot> slots, std::size_t allowedMoves);

private:
    /// Services that left the band and are not yet balanced.
    absl::btree_set<ServiceId> rebalancing;
};

}
