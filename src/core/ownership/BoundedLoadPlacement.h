#pragma once

#include "core/ownership/PlacementPolicy.h"

#include <absl/container/btree_set.h>

namespace teaselturn {

/// Assigns each unowned slot to the upstream with the lowest load per request slot, alternating between zones if loads
/// are equal. Slots of draining upstreams move at once. Rebalancing starts only once an upstream is outside a band
/// around the mean, and stops once all upstreams are well inside it.
class BoundedLoadPlacement {
public:
    /// @param allowedMoves Maximum number of rebalancing moves. Moves away from draining upstreams are not limited.
    PlacementDecision place(Instant now, const ServiceSpec& service, std::span<const PlacementUpstream> upstreams,
        std::span<const PlacementSlot> slots, std::size_t allowedMoves);

private:
    /// Services being rebalanced: they left the outer band and have not yet reached the inner one.
    absl::btree_set<ServiceId> rebalancing;
};

}
