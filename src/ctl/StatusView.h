#pragma once

#include "teaselturn/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// Response of `GET /status`. docs/admin-api.md describes the members.
struct NodeStatus {
    std::uint64_t node {};
    std::string zone;
    std::string region;
    std::vector<std::string> roles;
    std::uint64_t boot {};
    std::optional<std::uint64_t> leader;
    std::uint64_t term {};
    std::uint64_t commitIndex {};
    std::uint64_t appliedIndex {};
    std::optional<std::uint64_t> acceptedBundle;
    std::optional<std::uint64_t> bundleInForce;
    std::uint64_t rolloutStage {};
    /// Absent on a VM without the entry role.
    std::optional<bool> hasDelegation;
    bool isBehind {};
    std::uint64_t upstreams {};
    std::uint64_t slots {};
    std::uint64_t unownedSlots {};

    friend bool operator==(const NodeStatus&, const NodeStatus&) = default;
};

/// Parses the response of `GET /status`. Ignores unknown members, so that later versions of the daemon can add some.
/// @return The status, or HttpUnexpectedResponse with the path of each invalid member.
Result<NodeStatus> parseStatus(std::string_view text);

/// @return A description of each reason why the VM is not healthy; empty if it is healthy.
std::vector<std::string> findHealthIssues(const NodeStatus& status);

/// A row of the status table: an address with its status, or the failure of the query.
struct StatusRow {
    std::string address;
    Result<NodeStatus> status;
};

/// @return The rows as a plain-text table.
std::string renderStatusTable(const std::vector<StatusRow>& rows);

}
