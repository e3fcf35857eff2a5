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

std::string reportText(unsigned node, const std::string& objective, std::uint64_t good, std::uint64_t bad)
{
    auto windows = json::array();
    for (const auto length : burnWindowLengths) {
        windows.push_back({ { "seconds", length.count() }, { "good", good }, { "bad", bad }, { "later", 1 } });
    }
    windows.push_back({ { "seconds", 60 }, { "good", 1 }, { "bad", 1 } });
    const json service { { "service", "tills" }, { "zone", "wc-paarl" }, { "objective", objective }, { "windows", windows } };
    return json { { "node", node }, { "services", { service } }, { "later", 1 } }.dump();
}

NodeReport reportOf(unsigned node, const std::string& objective, std::uint64_t good, std::uint64_t bad)
{
    const auto report = parseReport(reportText(node, objective, good, bad));
    REQUIRE(report);
    return *report;
}

}

// Guards against a mean of rates in place of the rate of the sums, and against a VM that is named twice.
TEST_CASE("counts of VMs are added before the burn rate is computed")
{
    const std::vector<NodeReport> reports { reportOf(1, "99%", 900, 0), reportOf(2, "99%", 50, 50), reportOf(2, "99%", 50, 50) };
    const auto merged = mergeReports(reports);
    REQUIRE(merged.size() == 1);
    CHECK(merged[0].windows[0] == RequestCounts { 950, 50 });
    CHECK(burnRateOf(merged[0], 0) == Approx(5));
    CHECK(budgetLeft(merged[0]) == Approx(-4));
}

TEST_CASE("the strictest objective holds while VMs differ")
{
    const std::vector<NodeReport> reports { reportOf(1, "99%", 99, 1), reportOf(2, "99.9%", 99, 1) };
    CHECK(mergeReports(reports).at(0).objectivePerMillion == 999'000);
}

TEST_CASE("windows without requests have no burn rate and leave the whole budget")
{
    const auto counts = reportOf(1, "99%", 0, 0).services.at(0);
    CHECK_FALSE(burnRateOf(counts, 0));
    CHECK(budgetLeft(counts) == 1);
}

TEST_CASE("a report of another form is refused with the path of the fault")
{
    const std::vector<std::pair<std::string, std::string>> faults { { R"([{"op":"remove","path":"/node"}])", "node" },
        { R"([{"op":"replace","path":"/services/0/objective","value":"100%"}])", "services[0].objective" },
        { R"([{"op":"replace","path":"/services/0/windows/1/bad","value":-1}])", "services[0].windows[1].bad" },
        { R"([{"op":"remove","path":"/services/0/windows/0"}])", "services[0].windows" },
        { R"([{"op":"replace","path":"/services/0/windows/1/seconds","value":300}])", "services[0].windows" } };
    for (const auto& [patch, path] : faults) {
        INFO(patch);
        const auto report = parseReport(json::parse(reportText(1, "99%", 1, 1)).patch(json::parse(patch)).dump());
        REQUIRE_FALSE(report);
        CHECK(report.failure().code == ResultCode::HttpUnexpectedResponse);
        CHECK(report.failure().detail.find(path + ": ") != std::string::npos);
    }
}

TEST_CASE("report prints rates, budget and what is missing, and tells by its exit code")
{
    AdminStandIn admin;
    admin.body = reportText(3, "99.9%", 9'990, 10);
    const auto good = runCtl({ "report", "--to", admin.address() });
    CHECK(good.exitCode == 0);
    CHECK(admin.lastTarget == "/report");
    CHECK(good.out.find("tills    wc-paarl  99.9%      1.00   1.00  1.00  1.00    0.0%\n") != std::string::npos);
    const auto closed = AdminStandIn {}.address();
    const auto partly = runCtl({ "report", "--json", "--to", admin.address() + "," + closed });
    CHECK(partly.exitCode == 1);
    const auto document = json::parse(partly.out);
    CHECK(document["nodes"] == json::array({ 3 }));
    CHECK(document["missing"][0]["address"] == closed);
    CHECK(document["services"][0]["windows"][3]["burnRate"].get<double>() == Approx(1));
    CHECK(runCtl({ "report", "--to", closed }).exitCode == 3);
    admin.body = "{}";
    CHECK(runCtl({ "report", "--to", admin.address() }).exitCode == 1);
}

// Guards against text of a VM that becomes markup, and against a page that loads something from elsewhere.
TEST_CASE("the page contains the figures, escapes names and refers to nothing outside")
{
    AdminStandIn admin;
    auto document = json::parse(reportText(3, "99.9%", 990, 10));
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
