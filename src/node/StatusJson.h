#pragma once

#include "core/ownership/OwnershipState.h"
#include "node/EntryNode.h"
#include "node/LedgerNode.h"
#include "teaselturn/Types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// JSON responses of the administration API about the state of a VM. docs/admin-api.md specifies the members.
namespace teaselturn {

/// Content of `GET /status` besides the replicated state.
struct NodeStatus {
    NodeId node;
    BootId boot;
    std::string zone;
    std::string region;
    /// Absent if the VM does not have the role.
    std::optional<EntryView> entry;
    std::optional<LedgerView> ledger;
};

/// @param region Number of the VM's region.
std::string writeStatus(const NodeStatus& nodeStatus, const OwnershipState& state, RegionId region);

/// @return The owner of a key, or RequestServiceUnknown.
Result<std::string> writeOwner(const OwnershipState& state, RegionId region, std::string_view service, std::string_view key);

/// @return The region's number in the accepted bundle, or zero.
RegionId findRegion(const OwnershipState& state, std::string_view name);

}
