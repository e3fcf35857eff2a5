#include "ctl/AdminClient.h"
#include "ctl/BlockedSignals.h"
#include "ctl/Program.h"
#include "ctl/StatusView.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>

namespace teaselturn {

namespace {

    constexpr int httpOk = 200;
    constexpr std::uint64_t defaultIntervalSeconds = 2;
    constexpr std::uint64_t maxIntervalSeconds = 3'600;
    constexpr std::uint64_t maxRounds = 1'000'000'000;

    Result<NodeStatus> fetchStatus(const Endpoint& to, std::string& body)
    {
        const auto response = adminGet(to, "/status");
        if (!response) {
            return response.failure();
        }
        if (response->status != httpOk) {
            return { ResultCode::HttpUnexpectedResponse, "status " + std::to_string(response->status) };
        }
        body = response->body;
        return parseStatus(response->body);
    }

    nlohmann::json describeJsonRow(const StatusRow& row, const std::string& body)
    {
        nlohmann::json document { { "address", row.address } };
        if (row.status) {
            document["status"] = nlohmann::json::parse(body);
            document["troubles"] = findHealthIssues(*row.status);
        } else {
            document["error"] = row.status.failure().describe();
        }
        return document;
    }

    /// Queries every address and prints the results.
    /// @param isStopped Called before each query. If it returns true, the round ends without output.
    /// @return The exit code; no value if the round was stopped.
    template <typename IsStopped>
    std::optional<ExitCode> printStatus(const std::vector<Endpoint>& addresses, bool asJson, Console& console, IsStopped isStopped)
    {
        std::vector<StatusRow> rows;
        AddressTally tally;
        auto documents = nlohmann::json::array();
        for (const auto& address : addresses) {
            if (isStopped()) {
                return std::nullopt;
            }
            std::string body;
            StatusRow row { formatAddress(address), fetchStatus(address, body) };
            const bool isHealthy = row.status && findHealthIssues(*row.status).empty();
            tally.add(isHealthy, !row.status && exitCodeOf(row.status.failure()) == ExitCode::Unreachable);
            documents.push_back(describeJsonRow(row, body));
            rows.push_back(std::move(row));
        }
        console.out << (asJson ? documents.dump() + "\n" : renderStatusTable(rows));
        return tally.exitCode();
    }

    /// Parses the value of an optional option, or returns the default. The lowest allowed value is 1.
    Result<std::uint64_t> parseNumberOr(const Arguments& arguments, std::string_view option, std::uint64_t defaultValue, std::uint64_t maximum)
    {
        return arguments.has(option) ? parseNumber(option, arguments.value(option), 1, maximum) : Result<std::uint64_t> { defaultValue };
    }

}

ExitCode statusCommand(const Arguments& arguments, Console& console)
{
    const auto addresses = parseAddresses(arguments.value("to"));
    if (!addresses) {
        return reportFailure(addresses.failure(), ExitCode::Usage, console);
    }
    return printStatus(*addresses, arguments.has("json"), console, [] { return false; }).value_or(ExitCode::Refused);
}

ExitCode watchCommand(const Arguments& arguments, Console& console)
{
    const auto addresses = parseAddresses(arguments.value("to"));
    const auto interval = parseNumberOr(arguments, "interval", defaultIntervalSeconds, maxIntervalSeconds);
    const auto count = parseNumberOr(arguments, "count", 0, maxRounds);
    for (const auto* failure : { addresses ? nullptr : &addresses.failure(), interval ? nullptr : &interval.failure(), count ? nullptr : &count.failure() }) {
        if (failure) {
            return reportFailure(*failure, ExitCode::Usage, console);
        }
    }
    const BlockedSignals signals;
    auto code = ExitCode::Success;
    for (std::uint64_t round = 1;; ++round) {
        if (!arguments.has("json")) {
            console.out << currentTimeText() << "\n";
        }
        code = printStatus(*addresses, arguments.has("json"), console, [&signals] { return signals.isPending(); }).value_or(code);
        console.out.flush();
        if (round == *count || signals.waitFor(std::chrono::seconds { *interval })) {
            return code;
        }
    }
}

}
