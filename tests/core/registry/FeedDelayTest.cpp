#include "core/registry/FeedDelay.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using std::chrono::milliseconds;

namespace {

constexpr Instant start { std::chrono::seconds { 100 } };

}

TEST_CASE("a feed is delayed from a second without a current copy until the copy is current again")
{
    FeedDelay delay;
    CHECK(!delay.update(start + FeedDelay::maxAge, start, {}));
    CHECK(!delay.isDelayed());
    CHECK(delay.update(start + FeedDelay::maxAge + milliseconds { 1 }, start, {}));
    CHECK(delay.isDelayed());
    CHECK(!delay.update(start + FeedDelay::maxAge + milliseconds { 500 }, start, {}));
    CHECK(delay.update(start + FeedDelay::maxAge + milliseconds { 550 }, start + FeedDelay::maxAge, {}));
    CHECK(!delay.isDelayed());
}

TEST_CASE("a feed that does not return after the link was relieved does not hold requests back any longer")
{
    // Guards against refusing half of the requests for as long as the registry is unreachable or has no leader.
    FeedDelay delay;
    static_cast<void>(delay.update(start + FeedDelay::maxAge + milliseconds { 1 }, start, {}));
    REQUIRE(delay.isDelayed());
    CHECK(delay.update(start + FeedDelay::maxAge + FeedDelay::maxDelayedTime + milliseconds { 1 }, start, {}));
    CHECK(!delay.isDelayed());
    CHECK(!delay.update(start + std::chrono::minutes { 1 }, start, {}));
}

TEST_CASE("a feed that is not current because the registry has no leader is not delayed by the link")
{
    // Guards against refusals at every entry VM during an election.
    FeedDelay delay;
    const auto now = start + FeedDelay::maxAge + milliseconds { 1 };
    CHECK(!delay.update(now, start, now - milliseconds { 100 }));
    CHECK(!delay.isDelayed());
    CHECK(delay.update(now + FeedDelay::unavailableTime, start, now - milliseconds { 100 }));
    CHECK(delay.isDelayed());
}
