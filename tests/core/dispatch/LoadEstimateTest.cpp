#include "core/dispatch/LoadEstimate.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds latency { 100 };
constexpr std::uint32_t slots { 3 };

/// An estimate that gets reports at a steady rate, and the clock.
struct Reports {
    LoadEstimate estimate;
    Instant now { std::chrono::seconds { 1'000 } };

    void report(const ReportedLoad& load, int count, milliseconds interval = milliseconds { 500 })
    {
        for (int i = 0; i < count; ++i) {
            this->now += interval;
            this->estimate.recordReport(this->now, load);
        }
    }

    double occupancy(int inFlight = 0) const { return this->estimate.occupancy(this->now, slots, inFlight, latency); }
};

}

TEST_CASE("a momentarily full upstream counts as usual again within a second")
{
    // Guards against a single report that moves the load of an upstream away for seconds.
    Reports reports;
    reports.report({ 1, 0, slots, 100 }, 20);
    const auto usual = reports.occupancy();
    reports.report({ 3, 12, slots, 300 }, 1);
    CHECK(reports.occupancy() == Approx(5));
    CHECK(reports.estimate.slowness(reports.now) == Approx(3));
    reports.now += milliseconds { 1'000 };
    CHECK(reports.occupancy() < usual + 0.5);
    CHECK(reports.estimate.slowness(reports.now) < 1.1);
}

TEST_CASE("lasting slowness and load stay in the estimate between reports")
{
    // Guards against ageing that forgets what every report states.
    Reports reports;
    reports.report({ 3, 3, slots, 300 }, 20);
    reports.now += milliseconds { 1'500 };
    CHECK(reports.estimate.slowness(reports.now) > 2);
    CHECK(reports.occupancy() > 1.4);
    reports.now += std::chrono::seconds { 60 };
    // An upstream that gets no request sends no report, so it would never be tried again.
    CHECK(reports.estimate.slowness(reports.now) < 1.1);
    CHECK(reports.occupancy() < 0.1);
}

TEST_CASE("slowness that returns at every fifth report does not count as lasting")
{
    Reports reports;
    for (int i = 0; i < 10; ++i) {
        reports.report({ 1, 0, slots, 100 }, 4);
        reports.report({ 1, 0, slots, 300 }, 1);
    }
    reports.now += milliseconds { 1'000 };
    CHECK(reports.estimate.slowness(reports.now) < 1.1);
}

TEST_CASE("requests sent since a report add to it, and those sent before do not")
{
    // Guards against counting requests twice: a report includes those that were in flight when it was made.
    Reports reports;
    reports.report({ 2, 0, slots, 100 }, 1);
    const auto reported = reports.occupancy(2);
    CHECK(reported == Approx(2.0 / slots));
    reports.estimate.recordSent();
    reports.estimate.recordSent();
    CHECK(reports.occupancy(4) == Approx(4.0 / slots));
    reports.report({ 2, 0, slots, 100 }, 1);
    CHECK(reports.occupancy(4) < 3.0 / slots);
}

TEST_CASE("an upstream's work time is compared with that of peers until enough responses are measured")
{
    LoadEstimate estimate;
    const Instant now { std::chrono::seconds { 1'000 } };
    CHECK(estimate.workTime(now, latency) == latency);
    estimate.recordLatency(now, latency * 2);
    // One response may be slow by chance.
    CHECK(estimate.workTime(now, latency) < milliseconds { 140 });
    for (int i = 0; i < 30; ++i) {
        estimate.recordLatency(now, latency * 2);
    }
    CHECK(estimate.workTime(now, latency) > milliseconds { 180 });
    CHECK(estimate.workTime(now + std::chrono::seconds { 60 }, latency) < milliseconds { 105 });
}

TEST_CASE("time spent waiting and momentary slowness are not taken for the speed of an upstream")
{
    LoadEstimate estimate;
    const Instant now { std::chrono::seconds { 1'000 } };
    estimate.recordReport(now, { 3, 3, slots, 300 });
    estimate.recordLatency(now, latency * 6);
    CHECK(std::chrono::duration<double, std::milli> { estimate.averageWorkTime() }.count() == Approx(100));
}
