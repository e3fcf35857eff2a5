#include "adapters/settings/FileText.h"
#include "ctl/AdminClient.h"
#include "ctl/BurnReport.h"
#include "ctl/Program.h"

#include <algorithm>
#include <ostream>

namespace teaselturn {

namespace {

    constexpr int httpOk = 200;
    constexpr unsigned pageFileMode = 0644;

    Result<NodeReport> fetchReport(const Endpoint& to)
    {
        const auto response = adminGet(to, "/report");
        if (!response) {
            return response.failure();
        }
        if (response->status != httpOk) {
            return { ResultCode::HttpUnexpectedResponse, "status " + std::to_string(response->status) };
        }
        return parseReport(response->body);
    }

}

ExitCode reportCommand(const Arguments& arguments, Console& console)
{
    const auto addresses = parseAddresses(arguments.value("to"));
    if (!addresses) {
        return reportFailure(addresses.failure(), ExitCode::Usage, console);
    }
    BurnReport report;
    report.generatedAt = currentTimeText();
    std::vector<NodeReport> reports;
    AddressTally tally;
    for (const auto& address : *addresses) {
        auto fetched = fetchReport(address);
        tally.add(fetched.hasValue(), !fetched && exitCodeOf(fetched.failure()) == ExitCode::Unreachable);
        if (!fetched) {
            report.missing.push_back({ formatAddress(address), fetched.failure().describe() });
            continue;
        }
        if (std::ranges::find(report.nodes, fetched->node) == report.nodes.end()) {
            report.nodes.push_back(fetched->node);
        }
        reports.push_back(*std::move(fetched));
    }
    report.services = mergeReports(reports);
    if (arguments.has("html")) {
        if (const auto status = writeFileText(arguments.value("html"), renderReportPage(report), pageFileMode, Existing::Replaced); !status) {
            return reportFailure(status.failure(), ExitCode::Refused, console);
        }
    }
    console.out << (arguments.has("json") ? renderReportJson(report) : renderReportText(report));
    return tally.exitCode();
}

}
