#pragma once

#include "core/metrics/BurnWindows.h"
#include "teaselturn/Result.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The burn-rate report of docs/design.md section 4.9.
namespace teaselturn {

/// Good and bad requests of one service in one zone.
struct ServiceCounts {
    std::string service;
    std::string zone;
    std::uint32_t objectivePerMillion {};
    /// In the order of burnWindowLengths.
    std::array<RequestCounts, burnWindowLengths.size()> windows {};

    friend bool operator==(const ServiceCounts&, const ServiceCounts&) = default;
};

/// What `GET /report` of one VM says. docs/admin-api.md describes the members.
struct NodeReport {
    std::uint64_t node {};
    std::vector<ServiceCounts> services;

    friend bool operator==(const NodeReport&, const NodeReport&) = default;
};

/// Names of the windows, in the order of burnWindowLengths.
inline constexpr std::array<std::string_view, burnWindowLengths.size()> burnWindowNames { "5 min", "1 h", "6 h", "3 days" };

/// Reads the response of `GET /report`. Members and windows that are not known are ignored.
/// @return The report, or HttpUnexpectedResponse with the path of the fault.
Result<NodeReport> parseReport(std::string_view text);

/// Adds the counts of VMs. A VM that occurs twice counts once. Where VMs state different objectives, as during a
/// rollout, the strictest one holds.
/// @return One element for each service and zone, in order of their names.
std::vector<ServiceCounts> mergeReports(std::span<const NodeReport> reports);

/// @return Burn rate over a window; nothing where it has no requests.
std::optional<double> burnRateOf(const ServiceCounts& counts, std::size_t window);

/// @return Share of the error budget of the longest window that is left: 1 where nothing was bad, negative where the
/// budget is overspent.
double budgetLeft(const ServiceCounts& counts);

/// An address that gave no report, with the reason.
struct MissingReport {
    std::string address;
    std::string reason;
};

/// Everything that a report shows.
struct BurnReport {
    std::vector<std::uint64_t> nodes;
    std::vector<MissingReport> missing;
    std::vector<ServiceCounts> services;
    /// When the report was made, as text in UTC.
    std::string madeAt;
};

std::string renderReportText(const BurnReport& report);
std::string renderReportJson(const BurnReport& report);
/// @return One HTML page that refers to nothing outside of itself.
std::string renderReportPage(const BurnReport& report);

/// @return The number with so many decimals.
std::string formatDecimal(double value, int decimals);

}
