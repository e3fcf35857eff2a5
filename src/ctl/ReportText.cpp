#include "adapters/settings/BundleReader.h"
#include "ctl/BurnReport.h"
#include "ctl/TextTable.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace teaselturn {

namespace {

    constexpr double percent = 100;

    std::vector<std::string> textRow(const ServiceCounts& counts)
    {
        std::vector<std::string> row { counts.service, counts.zone, formatObjective(counts.objectivePerMillion) };
        for (std::size_t i = 0; i < counts.windows.size(); ++i) {
            const auto rate = burnRateOf(counts, i);
            row.push_back(rate ? formatDecimal(*rate, 2) : "-");
        }
        row.push_back(formatDecimal(budgetLeft(counts) * percent, 1) + "%");
        return row;
    }

    nlohmann::json jsonRow(const ServiceCounts& counts)
    {
        auto windows = nlohmann::json::array();
        for (std::size_t i = 0; i < counts.windows.size(); ++i) {
            const auto rate = burnRateOf(counts, i);
            windows.push_back({ { "seconds", burnWindowLengths[i].count() }, { "good", counts.windows[i].good }, { "bad", counts.windows[i].bad },
                { "burnRate", rate ? nlohmann::json(*rate) : nlohmann::json(nullptr) } });
        }
        return { { "service", counts.service }, { "zone", counts.zone }, { "objective", formatObjective(counts.objectivePerMillion) },
            { "budgetLeft", budgetLeft(counts) }, { "windows", std::move(windows) } };
    }

}

std::string formatDecimal(double value, int decimals)
{
    // Large enough: the largest burn rate, 1,000,000, and the lowest remaining budget need 8 digits before the decimal
    // point.
    std::array<char, 32> digits {};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::fixed, decimals);
    return error == std::errc {} ? std::string { digits.data(), end } : "?";
}

std::string renderReportText(const BurnReport& report)
{
    std::vector<std::vector<std::string>> lines { { "SERVICE", "ZONE", "OBJECTIVE" } };
    for (const auto name : burnWindowNames) {
        lines.front().emplace_back(name);
    }
    lines.front().emplace_back("BUDGET LEFT");
    for (const auto& counts : report.services) {
        lines.push_back(textRow(counts));
    }
    auto text = renderTextTable(lines);
    text += "Burn rates of " + std::to_string(report.nodes.size()) + " VMs; budget left of the last 3 days. A burn rate of 1 uses up the budget exactly; - means no requests.\n";
    for (const auto& missing : report.missing) {
        text += "missing: " + missing.address + ": " + missing.reason + "\n";
    }
    return text;
}

std::string renderReportJson(const BurnReport& report)
{
    auto services = nlohmann::json::array();
    for (const auto& counts : report.services) {
        services.push_back(jsonRow(counts));
    }
    auto missing = nlohmann::json::array();
    for (const auto& item : report.missing) {
        missing.push_back({ { "address", item.address }, { "error", item.reason } });
    }
    const nlohmann::json document { { "madeAt", report.generatedAt }, { "nodes", report.nodes }, { "missing", std::move(missing) }, { "services", std::move(services) } };
    return document.dump() + "\n";
}

}
