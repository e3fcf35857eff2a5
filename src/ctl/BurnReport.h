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
    /// Counts by window, in the order of burnWindowLengths.
    std::array<RequestCounts, burnWindowLengths.size()> windows {};

    friend bool operator==(const ServiceCounts&, const ServiceCounts&) = default;
};

/// Response of `GET /report` of one VM. docs/admin-api.md describes the members.
struct NodeReport {
    std::uint64_t node {};
    std::vector<ServiceCounts> services;

    friend bool operator==(const NodeReport&, const NodeReport&) = default;
};

/// Names of the windows, in the order of burnWindowLengths.
inline constexpr std::array<std::string_view, burnWindowLengths.size()> burnWindowNames { "5 min", "1 h", "6 h", "3 days" };

/// Parses the response of `GET /report`. Ignores unknown members and windows.
/// @return The report, or HttpUnexpectedResponse with the path of each invalid member.
Result<NodeReport> parseReport(std::string_view text);

/// Sums the counts of several VMs. A VM that occurs more than once is counted once. If VMs report different objectives,
/// as they do during a rollout, the strictest one applies.
/// @return One element for each service and zone, sorted by service and then zone.
std::vector<ServiceCounts> mergeReports(std::span<const NodeReport> reports);

/// @return Burn rate over a window; no value if the window has no requests.
std::optional<double> burnRateOf(const ServiceCounts& counts, std::size_t window);

/// @return Fraction of the error budget of the longest window that is left: 1 if no request was bad, negative if the
/// budget is overspent.
double budgetLeft(const ServiceCounts& counts);

/// An address from which no report was obtained, with the reason.
struct MissingReport {
    std::string address;
    std::string reason;
};

/// Data of a rendered report.
struct BurnReport {
    std::vector<std::uint64_t> nodes;
    std::vector<MissingReport> missing;
    std::vector<ServiceCounts> services;
    /// Time of the report in UTC, as formatted by currentTimeText().
    std::string generatedAt;
};

std::string renderReportText(const BurnReport& report);
std::string renderReportJson(const BurnReport& report);
/// @return A self-contained HTML page, without references to other resources.
std::string renderReportPage(const BurnReport& report);

/// @return The number in fixed notation.
/// @param decimals Number of digits after the decimal point.
std::string formatDecimal(double value, int decimals);

}
