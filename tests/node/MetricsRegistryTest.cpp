#include "node/MetricsRegistry.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant origin { 1'000'000s };
constexpr ServiceId tills { 3 };
constexpr ZoneId paarl { 2 };

Bundle makeBundle()
{
    Bundle bundle;
    bundle.zones = { { paarl, "wc-paarl", { 1 } } };
    ServiceSpec service;
    service.id = tills;
    service.name = "tills";
    service.objectivePerMillion = 999'500;
    service.objectiveLatency = 100ms;
    bundle.services = { service };
    return bundle;
}

bool hasLine(const std::string& text, const std::string& line)
{
    return text.find("\n" + line + "\n") != std::string::npos;
}

nlohmann::json renderReportJson(MetricsRegistry& registry, Instant now)
{
    return nlohmann::json::parse(registry.renderReport(now));
}

}

TEST_CASE("The report gives good and bad requests by service, zone and window")
{
    MetricsRegistry registry { { 7 } };
    registry.setBundle(makeBundle());
    registry.recordRequest(tills, paarl, Outcome::NotRun, ResultCode::RequestShed, 1ms, origin);
    registry.recordRequest(tills, paarl, Outcome::Answered, ResultCode::Ok, 1ms, origin + 400s, 200);
    registry.recordRequest(tills, paarl, Outcome::Answered, ResultCode::Ok, 101ms, origin + 400s, 200);
    registry.recordRequest(tills, paarl, Outcome::Answered, ResultCode::Ok, 1ms, origin + 400s, 503);
    registry.recordRequest(tills, paarl, Outcome::NotRun, ResultCode::RequestKeyInvalid, 1ms, origin + 400s);
    const auto report = renderReportJson(registry, origin + 401s);
    const auto expected = nlohmann::json::parse(R"({"node": 7, "services": [{"service": "tills", "zone": "wc-paarl",
        "objective": "99.95%", "windows": [{"seconds": 300, "good": 1, "bad": 2}, {"seconds": 3600, "good": 1, "bad": 3},
        {"seconds": 21600, "good": 1, "bad": 3}, {"seconds": 259200, "good": 1, "bad": 3}]}]})");
    CHECK(report == expected);
    // The windows advance even without further requests.
    CHECK(renderReportJson(registry, origin + 800s)["services"][0]["windows"][0]["bad"] == 0);
}

TEST_CASE("Metrics are in Prometheus text format")
{
    MetricsRegistry registry { { 7 } };
    registry.setBundle(makeBundle());
    registry.recordRequest(tills, paarl, Outcome::Answered, ResultCode::Ok, 128us, origin, 200);
    registry.recordRequest(tills, paarl, Outcome::Answered, ResultCode::Ok, 129us, origin, 200);
    registry.recordRequest(tills, paarl, Outcome::NotRun, ResultCode::RequestShed, 1ms, origin);
    registry.recordRequest({ 9 }, { 8 }, Outcome::Unknown, ResultCode::RequestOutcomeUnknown, 1ms, origin);
    registry.recordDroppedMessage(ResultCode::MessageReplayed);
    registry.counter("elections", "Elections started.").add(2);
    registry.gauge("upstreams", "Upstreams in\nthis VM's copy.").set(-4);
    const auto text = registry.renderMetrics();
    CHECK(hasLine(text, R"(teaselturn_requests_total{service="tills",zone="wc-paarl",outcome="answered"} 2)"));
    CHECK(hasLine(text, R"(teaselturn_requests_total{service="9",zone="8",outcome="unknown"} 1)"));
    CHECK(hasLine(text, R"(teaselturn_objective_requests_total{service="tills",zone="wc-paarl",verdict="bad"} 1)"));
    CHECK(hasLine(text, R"(teaselturn_request_results_total{code="3102",name="RequestShed"} 1)"));
    CHECK(hasLine(text, R"(teaselturn_messages_dropped_total{code="4005",name="MessageReplayed"} 1)"));
    CHECK(hasLine(text, R"(teaselturn_request_latency_seconds_bucket{service="tills",zone="wc-paarl",le="0.000128"} 1)"));
    CHECK(hasLine(text, R"(teaselturn_request_latency_seconds_bucket{service="tills",zone="wc-paarl",le="0.000256"} 2)"));
    CHECK(hasLine(text, R"(teaselturn_request_latency_seconds_bucket{service="tills",zone="wc-paarl",le="+Inf"} 2)"));
    CHECK(hasLine(text, R"(teaselturn_request_latency_seconds_sum{service="tills",zone="wc-paarl"} 0.000257)"));
    CHECK(hasLine(text, R"(teaselturn_request_latency_seconds_count{service="tills",zone="wc-paarl"} 2)"));
    CHECK(hasLine(text, "teaselturn_elections_total 2"));
    CHECK(hasLine(text, R"(# HELP teaselturn_upstreams Upstreams in\nthis VM's copy.)"));
    CHECK(hasLine(text, "teaselturn_upstreams -4"));
}

TEST_CASE("A new bundle changes the objective and latency of a service that already has counts")
{
    MetricsRegistry registry { { 7 } };
    registry.recordRequest(tills, paarl, Outcome::Answered, ResultCode::Ok, 200ms, origin, 200);
    CHECK(renderReportJson(registry, origin)["services"][0]["service"] == "3");
    registry.setBundle(makeBundle());
    registry.recordRequest(tills, paarl, Outcome::Answered, ResultCode::Ok, 200ms, origin, 200);
    const auto service = renderReportJson(registry, origin)["services"][0];
    CHECK(service["service"] == "tills");
    CHECK(service["windows"][0] == nlohmann::json({ { "seconds", 300 }, { "good", 1 }, { "bad", 1 } }));
}

// Guards against unbounded memory use if a fault produces new ids without end.
TEST_CASE("Pairs of service and zone and named values are bounded")
{
    MetricsRegistry registry { { 7 } };
    const auto surplus = 10;
    for (std::size_t i = 0; i < MetricsRegistry::maxCells + surplus; ++i) {
        registry.recordRequest({ static_cast<std::uint16_t>(i + 1) }, paarl, Outcome::Answered, ResultCode::Ok, 1ms, origin, 200);
    }
    for (std::size_t i = 0; i < MetricsRegistry::maxNamed + surplus; ++i) {
        registry.gauge("g" + std::to_string(i), "One of many.").set(1);
    }
    CHECK(renderReportJson(registry, origin)["services"].size() == MetricsRegistry::maxCells);
    const auto text = registry.renderMetrics();
    CHECK(hasLine(text, "teaselturn_requests_unlisted_total 10"));
    CHECK(hasLine(text, "teaselturn_g63 1"));
    CHECK_FALSE(hasLine(text, "teaselturn_g64 1"));
}

// Guards against counts lost or doubled if threads start an interval or add a cell at the same time.
TEST_CASE("No request is lost when threads record and render concurrently")
{
    constexpr int threadCount = 4;
    constexpr int requestCount = 20'000;
    MetricsRegistry registry { { 7 } };
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&registry] {
            for (int i = 0; i < requestCount; ++i) {
                const ServiceId service { static_cast<std::uint16_t>(i % 7 + 1) };
                registry.recordRequest(service, paarl, Outcome::Answered, ResultCode::Ok, 1ms, origin + i * 5ms, 200);
                if (i % 1'000 == 0) {
                    static_cast<void>(registry.renderMetrics());
                    static_cast<void>(registry.renderReport(origin));
                }
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    std::uint64_t good = 0;
    const auto report = renderReportJson(registry, origin + 100s);
    for (const auto& service : report["services"]) {
        good += service["windows"][0]["good"].get<std::uint64_t>();
    }
    CHECK(good == threadCount * requestCount);
}
