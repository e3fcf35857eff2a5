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

TEST_CASE("half of the link is left to the feed while it is delayed")
{
    // Guards against a link that stays full with requests for as long as it drops the feed's datagrams.
    BandwidthBudget link { 100'000 };
    link.reserve(start, 50'000);
    link.setFeedDelayed(start, true);
    CHECK(link.queueingDelay(start) == std::chrono::seconds { 1 });
    CHECK(link.queueingDelay(start + milliseconds { 500 }) == milliseconds { 500 });
    link.setFeedDelayed(start + milliseconds { 500 }, false);
    CHECK(link.queueingDelay(start + milliseconds { 500 }) < milliseconds { 300 });
}
