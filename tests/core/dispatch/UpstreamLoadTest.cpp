#include "core/dispatch/UpstreamLoad.h"
#include "core/dispatch/RetryWindow.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using std::chrono::milliseconds;

TEST_CASE("the limit grows at normal latency and shrinks if the upstream is overloaded")
{
    UpstreamLoad load { 4 };
    Instant now { std::chrono::seconds { 10 } };
    for (int i = 0; i < 30; ++i) {
        load.recordSent(now);
        load.recordEnded(now, AttemptOutcome::Answered, milliseconds { 50 });
    }
    const auto before = load.currentLimit(now);
    CHECK(before >= 4);
    load.recordSent(now);
    load.recordEnded(now, AttemptOutcome::Overloaded, milliseconds { 1 });
    const auto after = load.currentLimit(now);
    CHECK(after <= before * 0.65);
    // The second refusal of a burst does not decrease the limit again.
    load.recordSent(now);
    load.recordEnded(now, AttemptOutcome::Overloaded, milliseconds { 1 });
    CHECK(load.currentLimit(now) == after);
}

TEST_CASE("rising latency decreases the limit before the upstream refuses requests")
{
    UpstreamLoad load { 4 };
    Instant now { std::chrono::seconds { 10 } };
    for (int i = 0; i < 40; ++i) {
        load.recordSent(now);
        load.recordEnded(now, AttemptOutcome::Answered, milliseconds { 50 });
    }
    const auto before = load.currentLimit(now);
    for (int i = 0; i < 4; ++i) {
        now += milliseconds { 150 };
        load.recordSent(now);
        load.recordEnded(now, AttemptOutcome::Answered, milliseconds { 250 });
    }
    CHECK(load.currentLimit(now) < before);
}

TEST_CASE("expected latency rises while an upstream does not respond, before its requests are lost")
{
    UpstreamLoad load { 4 };
    Instant now { std::chrono::seconds { 10 } };
    load.recordSent(now);
    load.recordEnded(now, AttemptOutcome::Answered, milliseconds { 50 });
    const auto before = load.expectedLatency(now, milliseconds { 50 });
    load.recordSent(now);
    now += milliseconds { 500 };
    CHECK(load.expectedLatency(now, milliseconds { 50 }) > before * 5);
}

TEST_CASE("retries in a window stay within the ratio and this entry VM's share of the slack")
{
    RetryWindow window;
    const RetryBounds bounds { 200, 58, milliseconds { 10'000 } };
    Instant now { std::chrono::seconds { 100 } };
    std::uint32_t retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        window.recordRequest(now, bounds);
        retries += window.tryRetry(now, bounds, 9) ? 1 : 0;
        now += milliseconds { 5 };
    }
    CHECK(retries <= 200 + 58 / 9);
    CHECK(retries > 100);
}
