#include "ctl/BurnReport.h"
#include "adapters/settings/FileText.h"
#include "adapters/settings/TemporaryFolder.h"
#include "ctl/AdminStandIn.h"
#include "ctl/ProgramRun.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace teaselturn;
using nlohmann::json;

namespace {

std::string makeReportJson(unsigned node, const std::string& objective, std::uint64_t good, std::uint64_t bad)
{
    auto windows = json::array();
    for (const auto length : burnWindowLengths) {
        windows.push_back({ { "seconds", length.count() }, { "good", good }, { "bad", bad }, { "later", 1 } });
    }
    windows.push_back({ { "seconds", 60 }, { "good", 1 }, { "bad", 1 } });
    const json service { { "service", "tills" }, { "zone", "wc-paarl" }, { "objective", objective }, { "windows", windows } };
    return json { { "node", node }, { "services", { service } }, { "later", 1 } }.dump();
}

NodeReport makeReport(unsigned node, const std::string& objective, std::uint64_t good, std::uint64_t bad)
{
    const auto report = parseReport(makeReportJson(node, objective, good, bad));
    REQUIRE(report);
    return *report;
}

}

// Guards against averaging the burn rates of the VMs instead of adding their counts, and against counting a VM twice if
// its report is in the list twice.
TEST_CASE("the burn rate is computed from the sum of the counts of all VMs")
{
    const std::vector<NodeReport> reports { makeReport(1, "99%", 900, 0), makeReport(2, "99%", 50, 50), makeReport(2, "99%", 50, 50) };
    const auto merged = mergeReports(reports);
    REQUIRE(merged.size() == 1);
    CHECK(merged[0].windows[0] == RequestCounts { 950, 50 });
    CHECK(burnRateOf(merged[0], 0) == Approx(5));
    CHECK(budgetLeft(merged[0]) == Approx(-4));
}

TEST_CASE("the strictest objective is used if VMs report different ones")
{
    const std::vector<NodeReport> reports { makeReport(1, "99%", 99, 1), makeReport(2, "99.9%", 99, 1) };
    CHECK(mergeReports(reports).at(0).objectivePerMillion == 999'000);
}

TEST_CASE("a window without requests has no burn rate and uses no budget")
{
    const auto counts = makeReport(1, "99%", 0, 0).services.at(0);
    CHECK_FALSE(burnRateOf(counts, 0));
    CHECK(budgetLeft(counts) == 1);
}

TEST_CASE("a malformed report is rejected with the path of the invalid member")
{
    const std::vector<std::pair<std::string, std::string>> invalidPatches { { R"([{"op":"remove","path":"/node"}])", "node" },
        { R"([{"op":"replace","path":"/services/0/objective","value":"100%"}])", "services[0].objective" },
        { R"([{"op":"replace","path":"/services/0/windows/1/bad","value":-1}])", "services[0].windows[1].bad" },
        { R"([{"op":"remove","path":"/services/0/windows/0"}])", "services[0].windows" },
        { R"([{"op":"replace","path":"/services/0/windows/1/seconds","value":300}])", "services[0].windows" } };
    for (const auto& [patch, path] : invalidPatches) {
        INFO(patch);
        const auto report = parseReport(json::parse(makeReportJson(1, "99%", 1, 1)).patch(json::parse(patch)).dump());
        REQUIRE_FALSE(report);
        CHECK(report.failure().code == ResultCode::HttpUnexpectedResponse);
        CHECK(report.failure().detail.find(path + ": ") != std::string::npos);
    }
}

TEST_CASE("report prints burn rates, budget and missing VMs and fails if a VM is missing")
{
    AdminStandIn admin;
    admin.body = makeReportJson(3, "99.9%", 9'990, 10);
    const auto complete = runCtl({ "report", "--to", admin.address() });
    CHECK(complete.exitCode == 0);
    CHECK(admin.lastTarget == "/report");
    CHECK(complete.out.find("tills    wc-paarl  99.9%      1.00   1.00  1.00  1.00    0.0%\n") != std::string::npos);
    const auto closed = AdminStandIn {}.address();
    const auto partial = runCtl({ "report", "--json", "--to", admin.address() + "," + closed });
    CHECK(partial.exitCode == 1);
    const auto document = json::parse(partial.out);
    CHECK(document["nodes"] == json::array({ 3 }));
    CHECK(document["missing"][0]["address"] == closed);
    CHECK(document["services"][0]["windows"][3]["burnRate"].get<double>() == Approx(1));
    CHECK(runCtl({ "report", "--to", closed }).exitCode == 3);
    admin.body = "{}";
    CHECK(runCtl({ "report", "--to", admin.address() }).exitCode == 1);
}

// Guards against text from a VM that is inserted as markup, and against a page that loads external resources.
TEST_CASE("the report page contains the counts, escapes names and loads no external resources")
{
    AdminStandIn admin;
    auto document = json::parse(makeReportJson(3, "99.9%", 990, 10));
    document["services"][0]["zone"] = "<b>&\"";
    admin.body = document.dump();
    const TemporaryFolder folder;
    const auto file = folder.path() / "report.html";
    CHECK(runCtl({ "report", "--to", admin.address(), "--html", file.string() }).exitCode == 0);
    const auto page = readFileText(file, ResultCode::Internal);
    REQUIRE(page);
    CHECK(page->find("&lt;b&gt;&amp;&quot;") != std::string::npos);
    CHECK(page->find("<b>") == std::string::npos);
    CHECK(page->find("10 bad of 1000 requests\">10.00</td>") != std::string::npos);
    CHECK(page->find("overspent by 900.0 %") != std::string::npos);
    for (const auto* reference : { "http:", "https:", "src=", "href=", "url(", "@import" }) {
        INFO(reference);
        CHECK(page->find(reference) == std::string::npos);
    }
    CHECK(runCtl({ "report", "--to", admin.address(), "--html", (folder.path() / "absent" / "r.html").string() }).exitCode == 1);
}
