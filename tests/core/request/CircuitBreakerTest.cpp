#include "core/request/CircuitBreaker.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1s };

CircuitBreaker opened()
{
    CircuitBreaker breaker;
    for (int i = 0; i < 4; ++i) {
        REQUIRE_FALSE(breaker.recordFailure(start));
    }
    REQUIRE(breaker.recordFailure(start));
    return breaker;
}

}

TEST_CASE("circuit breaker opens after failures in a row only", "[request]")
{
    // Guards against taking an upstream out for single failures among answers.
    CircuitBreaker breaker;
    for (int i = 0; i < 20; ++i) {
        CHECK_FALSE(breaker.recordFailure(start));
        CHECK_FALSE(breaker.recordSuccess());
    }
    CHECK(breaker.tryAcquire(start));
    CHECK_FALSE(opened().tryAcquire(start + 99ms));
}

TEST_CASE("circuit breaker admits one probe at a time", "[request]")
{
    // Guards against a burst on an upstream that has just come back.
    auto breaker = opened();
    CHECK(breaker.tryAcquire(start + 100ms));
    CHECK_FALSE(breaker.tryAcquire(start + 100ms));
    CHECK(breaker.recordSuccess());
    CHECK(breaker.tryAcquire(start + 100ms));
    CHECK(breaker.tryAcquire(start + 100ms));
}

TEST_CASE("circuit breaker doubles its pause up to a bound while probes fail", "[request]")
{
    // Guards against constant probing of a dead upstream, and against a pause that outlasts its return.
    auto breaker = opened();
    auto now = start;
    for (const auto pause : { 100ms, 200ms, 400ms, 800ms, 1600ms, 2000ms, 2000ms }) {
        CAPTURE(pause.count());
        CHECK_FALSE(breaker.tryAcquire(now + pause - 1ms));
        now += pause;
        REQUIRE(breaker.tryAcquire(now));
        CHECK_FALSE(breaker.recordFailure(now));
    }
}

TEST_CASE("circuit breaker is not blocked by a probe that was not made or never reported", "[request]")
{
    // Guards against an upstream that stays shut out after its probe was withdrawn or lost.
    auto breaker = opened();
    REQUIRE(breaker.tryAcquire(start + 100ms));
    breaker.cancelAttempt(start + 100ms);
    REQUIRE(breaker.tryAcquire(start + 100ms));
    CHECK_FALSE(breaker.tryAcquire(start + 5099ms));
    CHECK(breaker.tryAcquire(start + 5100ms));
}
