#pragma once

#include "core/dispatch/ScaledDuration.h"
#include "teaselturn/Registry.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace teaselturn {

/// Largest delay by the backlog of a link, as a fraction of the target latency, indexed by priority (0 is the most urgent).
/// Urgent requests are still admitted at a backlog that refuses the others.
inline constexpr std::array maxLinkDelayShares { 0.5, 0.35, 0.2 };

/// @return Time for which a request of the route may wait for a link.
inline Duration maxLinkDelay(const RouteItem& route)
{
    return scaled(route.targetLatency, maxLinkDelayShares[std::min<std::size_t>(route.priority, maxLinkDelayShares.size() - 1)]);
}

}
