#pragma once

#include "matrix/Faults.h"

#include <functional>
#include <span>
#include <string_view>

namespace teaselturn::matrix {

/// A protocol step. start() triggers it; the fault is injected at the first event for which reached() returns true.
struct Step {
    std::string_view name;
    /// @return The upstream involved in the step.
    std::function<ProcessId(Cluster&)> start;
    std::function<bool(const Event&, ProcessId upstream)> reached;
};

std::span<const Step> allSteps();

/// Result of one fault at one step.
struct Cell {
    std::string_view step;
    std::string_view fault;
    /// Empty if all checks passed.
    std::vector<std::string> violations;
    /// False if the step was not reached, so that the fault was not injected.
    bool isReached {};
    /// Longest time without a serving owner for a slot of a `move` service.
    Duration longestMoveGap {};
};

/// Runs one fault at one step in a new cluster.
Cell runCell(const Step& step, const Fault& fault, std::uint64_t seed, Mutation mutation = Mutation::None);

/// Boots a cluster of the production size, with a bundle and with all slots served.
/// @return False if it did not get there in time.
bool bootCluster(Cluster& cluster);

}
