#include "ctl/BurnReport.h"

#include "adapters/settings/BundleReader.h"
#include "adapters/settings/StrictJson.h"
#include "core/bundle/BundleRules.h"

#include <algorithm>
#include <map>
#include <set>

namespace teaselturn {

namespace {

    using nlohmann::json;

    /// Largest accepted count. It keeps sums over VMs exact, and many JSON parsers represent integers exactly only
    /// up to 2^53.
    constexpr std::uint64_t maxRequestCount = (std::uint64_t { 1 } << 53U) - 1;

    void readWindows(ObjectReader& reader, ServiceCounts& counts)
    {
        std::set<std::uint64_t> readLengths;
        reader.forEach("windows", Presence::Required, [&](const json& element, const std::string& path) {
            ObjectReader window { element, path, reader.problemList() };
            const auto seconds = window.integer("seconds", Presence::Required, 1, maxRequestCount).value_or(0);
            const auto good = window.integer("good", Presence::Required, 0, maxRequestCount).value_or(0);
            const auto bad = window.integer("bad", Presence::Required, 0, maxRequestCount).value_or(0);
            const auto match = std::ranges::find(burnWindowLengths, std::chrono::seconds { seconds });
            if (match != burnWindowLengths.end() && readLengths.insert(seconds).second) {
                counts.windows[static_cast<std::size_t>(match - burnWindowLengths.begin())] = { good, bad };
            }
        });
        if (readLengths.size() != burnWindowLengths.size()) {
            reader.problemList().add(ProblemKind::InvalidValue, reader.pathOf("windows"), "other windows", "windows of 300, 3600, 21600 and 259200 seconds");
        }
    }

    ServiceCounts readService(const json& element, const std::string& path, ProblemList& problems)
    {
        ObjectReader reader { element, path, problems };
        ServiceCounts counts;
        counts.service = reader.text("service", Presence::Required).value_or("");
        counts.zone = reader.text("zone", Presence::Required).value_or("");
        const auto objective = parseObjective(reader.text("objective", Presence::Required).value_or(""));
        counts.objectivePerMillion = objective.value_or(0);
        // An objective of 100 % has no error budget; computing its burn rate would divide by zero.
        if (!objective || *objective > limits::maxObjectivePerMillion) {
            problems.add(ProblemKind::InvalidValue, reader.pathOf("objective"), "another form", "a percentage below 100%");
        }
        readWindows(reader, counts);
        return counts;
    }

}

Result<NodeReport> parseReport(std::string_view text)
{
    ProblemList problems;
    NodeReport report;
    if (const auto document = parseStrictJson(text, Comments::Refused, problems)) {
        ObjectReader reader { *document, {}, problems };
        report.node = reader.integer("node", Presence::Required, 0, maxRequestCount).value_or(0);
        reader.forEach("services", Presence::Required, [&](const json& element, const std::string& path) {
            report.services.push_back(readService(element, path, problems));
        });
    }
    if (!problems.empty()) {
        return { ResultCode::HttpUnexpectedResponse, describeProblems(problems.all(), "/report") };
    }
    return report;
}

std::vector<ServiceCounts> mergeReports(std::span<const NodeReport> reports)
{
    std::map<std::pair<std::string_view, std::string_view>, ServiceCounts> merged;
    std::set<std::uint64_t> nodes;
    for (const auto& report : reports) {
        if (!nodes.insert(report.node).second) {
            continue;
        }
        for (const auto& counts : report.services) {
            const auto [entry, isNew] = merged.try_emplace({ counts.service, counts.zone }, counts);
            if (isNew) {
                continue;
            }
            auto& sum = entry->second;
            sum.objectivePerMillion = std::max(sum.objectivePerMillion, counts.objectivePerMillion);
            for (std::size_t i = 0; i < sum.windows.size(); ++i) {
                sum.windows[i] += counts.windows[i];
            }
        }
    }
    std::vector<ServiceCounts> services;
    services.reserve(merged.size());
    for (auto& [key, counts] : merged) {
        services.push_back(std::move(counts));
    }
    return services;
}

std::optional<double> burnRateOf(const ServiceCounts& counts, std::size_t window)
{
    const auto& requests = counts.windows[window];
    return requests == RequestCounts {} ? std::nullopt : std::optional { burnRate(requests, counts.objectivePerMillion) };
}

double budgetLeft(const ServiceCounts& counts)
{
    return 1 - burnRateOf(counts, counts.windows.size() - 1).value_or(0);
}

}
