#include "core/request/ConcurrencyLimiter.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1s };

/// Acquires and releases permits one after the other with good responses.
void completeRequests(ConcurrencyLimiter& limiter, int count, Instant now, Duration latency)
{
    for (int i = 0; i < count; ++i) {
        REQUIRE(limiter.tryAcquire());
        limiter.release(now, LimiterSample::Good, latency);
    }
}

}

TEST_CASE("concurrency limiter starts low and grows up to the upstream's capacity", "[request]")
{
    // Guards against a burst of requests to a new owner, and against a limit above its announced capacity or this VM's
    // share of its connections.
    ConcurrencyLimiter limiter { { 8, 10 } };
    CHECK(limiter.currentLimit() == 2);
    CHECK(limiter.tryAcquire());
    CHECK(limiter.tryAcquire());
    CHECK_FALSE(limiter.tryAcquire());
    limiter.release(start, LimiterSample::Good, 1ms);
    limiter.release(start, LimiterSample::Good, 1ms);
    completeRequests(limiter, 1'000, start, 1ms);
    CHECK(limiter.currentLimit() == 10);
    limiter.setCapacity({ 2, 10 });
    CHECK(limiter.currentLimit() == 4);
}

TEST_CASE("concurrency limiter shrinks once for a burst of refusals and never below one", "[request]")
{
    // Guards against a limit that a single burst reduces to zero, after which no request would reach the upstream.
    ConcurrencyLimiter limiter { { 10, 20 } };
    completeRequests(limiter, 1'000, start, 1ms);
    REQUIRE(limiter.currentLimit() == 20);
    for (int i = 0; i < 10; ++i) {
        REQUIRE(limiter.tryAcquire());
    }
    for (int i = 0; i < 10; ++i) {
        limiter.release(start, LimiterSample::Overload, {});
    }
    CHECK(limiter.currentLimit() == 16);
    for (int i = 1; i <= 100; ++i) {
        REQUIRE(limiter.tryAcquire());
        limiter.release(start + i * 1s, LimiterSample::Overload, {});
    }
    CHECK(limiter.currentLimit() == 1);
    CHECK(limiter.inFlight() == 0);
}

TEST_CASE("concurrency limiter shrinks if the latency rises far above the lowest", "[request]")
{
    // Guards against a queue in the upstream that grows until requests time out.
    ConcurrencyLimiter limiter { { 10, 20 } };
    completeRequests(limiter, 1'000, start, 1ms);
    completeRequests(limiter, 1, start + 1s, 24ms);
    CHECK(limiter.currentLimit() == 20);
    completeRequests(limiter, 1, start + 1s, 25ms);
    CHECK(limiter.currentLimit() == 16);
}
