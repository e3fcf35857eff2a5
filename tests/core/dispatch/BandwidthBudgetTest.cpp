#include "core/dispatch/BandwidthBudget.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using std::chrono::milliseconds;

namespace {

constexpr Instant start { std::chrono::seconds { 100 } };

}

TEST_CASE("what the link has to carry delays what comes after, and drains at its speed")
{
    BandwidthBudget link { 100'000 };
    CHECK(link.wait(start) == Duration::zero());
    link.take(start, 85'000);
    CHECK(link.wait(start) == std::chrono::seconds { 1 });
    CHECK(link.wait(start + milliseconds { 400 }) == milliseconds { 600 });
    CHECK(link.wait(start + milliseconds { 1'500 }) == Duration::zero());
}

TEST_CASE("a link without a stated speed delays nothing")
{
    BandwidthBudget link { 0 };
    link.take(start, 1e9);
    CHECK(link.wait(start) == Duration::zero());
}

TEST_CASE("bytes of requests that got no answer are given back")
{
    // Guards against refusals that outlast the load which caused them.
    BandwidthBudget link { 100'000 };
    link.take(start, 85'000);
    link.giveBack(start, 85'000);
    CHECK(link.wait(start) == Duration::zero());
}

TEST_CASE("the expected size follows the answers of a route and is forgotten with the route")
{
    BandwidthBudget link { 100'000 };
    CHECK(link.expectedBytes("r", 200) == 200);
    for (int i = 0; i < 100; ++i) {
        link.learnAnswer("r", 5'000);
    }
    CHECK(link.expectedBytes("r", 200) == Approx(5'200));
    link.keepRoutes([](const std::string&) { return false; });
    CHECK(link.expectedBytes("r", 200) == 200);
}
