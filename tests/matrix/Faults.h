#pragma once

#include "matrix/Cluster.h"

#include <functional>
#include <span>
#include <string_view>

namespace teaselturn::matrix {

/// Who takes part in a step.
struct Roles {
    ProcessId leader {};
    ProcessId follower {};
    ProcessId leaseManager {};
    ProcessId upstream {};
};

/// A fault that is brought about at the moment a step is reached.
struct Fault {
    std::string_view name;
    std::function<void(Cluster&, const Roles&)> inject;
    /// How long the fault lasts before everything is healed and restarted.
    Duration length { std::chrono::seconds { 6 } };
    /// True where a quorum, and for each upstream some entry VM, stays connected: slots of `move` services must then be
    /// served again within 5 s.
    bool keepsMajority { true };
};

std::span<const Fault> allFaults();

}
