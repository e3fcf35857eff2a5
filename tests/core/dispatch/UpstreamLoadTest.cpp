#include "core/dispatch/UpstreamLoad.h"
#include "core/dispatch/RetryWindow.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using std::chrono::milliseconds;

TEST_CASE("the limit grows on usual latency and shrinks where the upstream has no room")
{
    UpstreamLoad load { 4 };
    Instant now { std::chrono::seconds { 10 } };
    for (int i = 0; i < 30; ++i) {
        load.sent(now);
        load.ended(now, AttemptOutcome::Answered, milliseconds { 50 });
    }
    const auto before = load.currentLimit();
    CHECK(before >= 4);
    load.sent(now);
    load.ended(now, AttemptOutcome::Overloaded, milliseconds { 1 });
    const auto after = load.currentLimit();
    CHECK(after <= before * 0.65);
    // A burst of refusals counts once.
    load.sent(now);
    load.ended(now, AttemptOutcome::Overloaded, milliseconds { 1 });
    CHECK(load.currentLimit() == after);
}

TEST_CASE("latency that doubles makes the limit shrink before the upstream refuses")
{
    UpstreamLoad load { 4 };
    Instant now { std::chrono::seconds { 10 } };
    for (int i = 0; i < 40; ++i) {
        load.sent(now);
        load.ended(now, AttemptOutcome::Answered, milliseconds { 50 });
    }
    const auto before = load.currentLimit();
    for (int i = 0; i < 4; ++i) {
        now += milliseconds { 150 };
        load.sent(now);
        load.ended(now, AttemptOutcome::Answered, milliseconds { 250 });
    }
    CHECK(load.currentLimit() < before);
}

TEST_CASE("a silent upstream is expected to be slow before its answers are lost")
{
    UpstreamLoad load { 4 };
    Instant now { std::chrono::seconds { 10 } };
    load.sent(now);
    load.ended(now, AttemptOutcome::Answered, milliseconds { 50 });
    const auto before = load.expectedLatency(now, milliseconds { 50 });
    load.sent(now);
    now += milliseconds { 500 };
    CHECK(load.expectedLatency(now, milliseconds { 50 }) > before * 5);
}

TEST_CASE("retries of a window do not exceed their share of the requests and the slack")
{
    RetryWindow window;
    const RetryBounds bounds { 200, 58, milliseconds { 10'000 } };
    Instant now { std::chrono::seconds { 100 } };
    std::uint32_t retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        window.request(now, bounds);
        retries += window.tryRetry(now, bounds, 9) ? 1 : 0;
        now += milliseconds { 5 };
    }
    CHECK(retries <= 200 + 58 / 9);
    CHECK(retries > 100);
}
