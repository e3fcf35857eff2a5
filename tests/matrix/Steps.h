#pragma once

#include "matrix/Faults.h"

#include <functional>
#include <span>
#include <string_view>

namespace teaselturn::matrix {

/// A step of the protocols. start() leads to it; the fault strikes at the first event that reached() accepts.
struct Step {
    std::string_view name;
    /// @return The upstream that takes part, or zero.
    std::function<ProcessId(Cluster&)> start;
    std::function<bool(const Event&, ProcessId upstream)> reached;
};

std::span<const Step> allSteps();

/// Result of a fault at a step.
struct Cell {
    std::string_view step;
    std::string_view fault;
    /// Empty where every check held.
    std::vector<std::string> violations;
    /// False where the step was not reached, so that nothing was shown.
    bool isReached {};
    Duration longestMoveGap {};
};

/// Runs one cell from a fresh cluster.
Cell runCell(const Step& step, const Fault& fault, std::uint64_t seed, Mutation mutation = Mutation::None);

/// Brings up a cluster of the size of today with a bundle and served slots.
/// @return False where it did not come up.
bool bootCluster(Cluster& cluster);

}
