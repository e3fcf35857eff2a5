#pragma once

#include "matrix/Cluster.h"

#include <functional>
#include <span>
#include <string_view>

namespace teaselturn::matrix {

/// Processes involved in a step.
struct Roles {
    ProcessId leader {};
    ProcessId follower {};
    ProcessId leaseManager {};
    ProcessId upstream {};
};

/// A fault that is injected when a step is reached.
struct Fault {
    std::string_view name;
    std::function<void(Cluster&, const Roles&)> inject;
    /// Duration of the fault, after which everything is healed and restarted.
    Duration length { std::chrono::seconds { 6 } };
    /// True if a quorum of members stays connected and every upstream can reach an entry VM. Slots of `move` services
    /// must then be served again within 5 s.
    bool keepsMajority { true };
};

std::span<const Fault> allFaults();

}
