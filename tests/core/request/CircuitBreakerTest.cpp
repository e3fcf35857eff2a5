#include "core/request/CircuitBreaker.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1s };

CircuitBreaker openBreaker()
{
    CircuitBreaker breaker;
    for (int i = 0; i < 4; ++i) {
        REQUIRE_FALSE(breaker.recordFailure(start));
    }
    REQUIRE(breaker.recordFailure(start));
    return breaker;
}

}

TEST_CASE("circuit breaker opens only after consecutive failures", "[request]")
{
    // Guards against a circuit that opens because of single failures between successes.
    CircuitBreaker breaker;
    for (int i = 0; i < 20; ++i) {
        CHECK_FALSE(breaker.recordFailure(start));
        CHECK_FALSE(breaker.recordSuccess());
    }
    CHECK(breaker.tryAcquire(start));
    CHECK_FALSE(openBreaker().tryAcquire(start + 99ms));
}

TEST_CASE("circuit breaker admits one probe at a time", "[request]")
{
    // Guards against a burst of requests to an upstream that has just recovered.
    auto breaker = openBreaker();
    CHECK(breaker.tryAcquire(start + 100ms));
    CHECK_FALSE(breaker.tryAcquire(start + 100ms));
    CHECK(breaker.recordSuccess());
    CHECK(breaker.tryAcquire(start + 100ms));
    CHECK(breaker.tryAcquire(start + 100ms));
}

TEST_CASE("circuit breaker doubles its pause up to a bound while probes fail", "[request]")
{
    // Guards against constant probing of a failed upstream, and against a pause that is much longer than its failure.
    auto breaker = openBreaker();
    auto now = start;
    for (const auto pause : { 100ms, 200ms, 400ms, 800ms, 1600ms, 2000ms, 2000ms }) {
        CAPTURE(pause.count());
        CHECK_FALSE(breaker.tryAcquire(now + pause - 1ms));
        now += pause;
        REQUIRE(breaker.tryAcquire(now));
        CHECK_FALSE(breaker.recordFailure(now));
    }
}

TEST_CASE("circuit breaker is not blocked by a probe that was cancelled or whose result was not recorded", "[request]")
{
    // Guards against a circuit that stays open for good after its probe was cancelled or lost.
    auto breaker = openBreaker();
    REQUIRE(breaker.tryAcquire(start + 100ms));
    breaker.cancelAttempt(start + 100ms);
    REQUIRE(breaker.tryAcquire(start + 100ms));
    CHECK_FALSE(breaker.tryAcquire(start + 5099ms));
    CHECK(breaker.tryAcquire(start + 5100ms));
}
