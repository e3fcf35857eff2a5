#include "core/dispatch/BandwidthBudget.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using std::chrono::milliseconds;

namespace {

constexpr Instant start { std::chrono::seconds { 100 } };

}

TEST_CASE("reserved bytes delay later requests and drain at the link's speed")
{
    BandwidthBudget link { 100'000 };
    CHECK(link.queueingDelay(start) == Duration::zero());
    link.reserve(start, 85'000);
    CHECK(link.queueingDelay(start) == std::chrono::seconds { 1 });
    CHECK(link.queueingDelay(start + milliseconds { 400 }) == milliseconds { 600 });
    CHECK(link.queueingDelay(start + milliseconds { 1'500 }) == Duration::zero());
}

TEST_CASE("a link with unlimited speed has no queueing delay")
{
    BandwidthBudget link { 0 };
    link.reserve(start, 1e9);
    CHECK(link.queueingDelay(start) == Duration::zero());
}

TEST_CASE("reserved bytes of requests without a response are released")
{
    // Guards against requests being refused after the load on the link has ended.
    BandwidthBudget link { 100'000 };
    link.reserve(start, 85'000);
    link.release(start, 85'000);
    CHECK(link.queueingDelay(start) == Duration::zero());
}

TEST_CASE("the expected size follows the responses of a route and is removed with the route")
{
    BandwidthBudget link { 100'000 };
    CHECK(link.expectedBytes("r", 200) == 200);
    for (int i = 0; i < 100; ++i) {
        link.recordResponseSize("r", 5'000);
    }
    CHECK(link.expectedBytes("r", 200) == Approx(5'200));
    link.retainRoutes([](const std::string&) { return false; });
    CHECK(link.expectedBytes("r", 200) == 200);
}

TEST_CASE("a full link carries fewer requests while the feed is delayed")
{
    // Guards against a link that stays full with requests for as long as it drops the feed's datagrams.
    BandwidthBudget link { 100'000 };
    link.reserve(start, 220'000);
    const auto later = start + milliseconds { 2'000 };
    link.setFeedDelayed(later, true);
    CHECK(link.queueingDelay(later) == milliseconds { 1'000 });
    CHECK(link.queueingDelay(later + milliseconds { 500 }) == milliseconds { 500 });
    link.setFeedDelayed(later + milliseconds { 500 }, false);
    CHECK(link.queueingDelay(later + milliseconds { 500 }) < milliseconds { 300 });
}

TEST_CASE("a link that was not full carries as many requests while the feed is delayed")
{
    // Guards against refusals for as long as the registry has no leader or cannot be reached.
    BandwidthBudget link { 100'000 };
    link.reserve(start, 42'500);
    const auto later = start + milliseconds { 2'000 };
    link.setFeedDelayed(later, true);
    link.reserve(later, 85'000);
    CHECK(link.queueingDelay(later) == milliseconds { 1'000 });
}
