#pragma once

#include "teaselturn/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// What `GET /status` says. docs/admin-api.md describes the members.
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

/// Reads the answer of `GET /status`. Members that are not known are ignored, so that later daemons can add some.
/// @return The status, or HttpUnexpectedResponse with the path of the fault.
Result<NodeStatus> parseStatus(std::string_view text);

/// @return What is not in order, in words; empty for a healthy VM.
std::vector<std::string> findTroubles(const NodeStatus& status);

/// One row of the status table: an address with its status, or the failure to get it.
struct StatusRow {
    std::string address;
    Result<NodeStatus> status;
};

/// @return The rows as a table in plain text.
std::string renderStatusTable(const std::vector<StatusRow>& rows);

}
