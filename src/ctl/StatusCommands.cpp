#include "ctl/AdminClient.h"
#include "ctl/HeldSignals.h"
#include "ctl/Program.h"
#include "ctl/StatusView.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>

namespace teaselturn {

namespace {

    constexpr int httpOk = 200;
    constexpr std::uint64_t defaultIntervalSeconds = 2;
    constexpr std::uint64_t mostIntervalSeconds = 3'600;
    constexpr std::uint64_t mostRounds = 1'000'000'000;

    Result<NodeStatus> fetchStatus(const Endpoint& to, std::string& body)
    {
        const auto answer = adminGet(to, "/status");
        if (!answer) {
            return answer.failure();
        }
        if (answer->status != httpOk) {
            return { ResultCode::HttpUnexpectedResponse, "status " + std::to_string(answer->status) };
        }
        body = answer->body;
        return parseStatus(answer->body);
    }

    nlohmann::json describeJsonRow(const StatusRow& row, const std::string& body)
    {
        nlohmann::json document { { "address", row.address } };
        if (row.status) {
            document["status"] = nlohmann::json::parse(body);
            document["troubles"] = findTroubles(*row.status);
        } else {
            document["error"] = row.status.failure().describe();
        }
        return document;
    }

    /// Asks every address and prints what they say.
    /// @param isStopped Asked before each address; the round ends there without output where it returns true.
    /// @return The exit code; nothing where the round was stopped.
    template <typename IsStopped>
    std::optional<ExitCode> showStatus(const std::vector<Endpoint>& addresses, bool asJson, Console& console, IsStopped isStopped)
    {
        std::vector<StatusRow> rows;
        AnswerCount answers;
        auto documents = nlohmann::json::array();
        for (const auto& address : addresses) {
            if (isStopped()) {
                return std::nullopt;
            }
            std::string body;
            StatusRow row { formatAddress(address), fetchStatus(address, body) };
            const bool isHealthy = row.status && findTroubles(*row.status).empty();
            answers.add(isHealthy, !row.status && exitCodeOf(row.status.failure()) == ExitCode::Unreachable);
            documents.push_back(describeJsonRow(row, body));
            rows.push_back(std::move(row));
        }
        console.out << (asJson ? documents.dump() + "\n" : renderStatusTable(rows));
        return answers.exitCode();
    }

    /// Reads an optional number.
    Result<std::uint64_t> numberOr(const Arguments& arguments, std::string_view option, std::uint64_t fallback, std::uint64_t most)
    {
        return arguments.has(option) ? parseNumber(option, arguments.value(option), 1, most) : Result<std::uint64_t> { fallback };
    }

}

ExitCode statusCommand(const Arguments& arguments, Console& console)
{
    const auto addresses = parseAddresses(arguments.value("to"));
    if (!addresses) {
        return reportFailure(addresses.failure(), ExitCode::Usage, console);
    }
    return showStatus(*addresses, arguments.has("json"), console, [] { return false; }).value_or(ExitCode::Refused);
}

ExitCode watchCommand(const Arguments& arguments, Console& console)
{
    const auto addresses = parseAddresses(arguments.value("to"));
    const auto interval = numberOr(arguments, "interval", defaultIntervalSeconds, mostIntervalSeconds);
    const auto count = numberOr(arguments, "count", 0, mostRounds);
    for (const auto* failure : { addresses ? nullptr : &addresses.failure(), interval ? nullptr : &interval.failure(), count ? nullptr : &count.failure() }) {
        if (failure) {
            return reportFailure(*failure, ExitCode::Usage, console);
        }
    }
    const HeldSignals signals;
    auto code = ExitCode::Success;
    for (std::uint64_t round = 1;; ++round) {
        if (!arguments.has("json")) {
            console.out << currentTimeText() << "\n";
        }
        code = showStatus(*addresses, arguments.has("json"), console, [&signals] { return signals.isPending(); }).value_or(code);
        console.out.flush();
        if (round == *count || signals.waitFor(std::chrono::seconds { *interval })) {
            return code;
        }
    }
}

}
