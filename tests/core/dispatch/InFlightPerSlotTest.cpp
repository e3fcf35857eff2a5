#include "core/dispatch/InFlightPerSlot.h"

#include <array>
#include <catch2/catch.hpp>

using namespace teaselturn;
using std::chrono::milliseconds;

namespace {

struct PerSlotFixture {
    InFlightPerSlot limit;
    Instant now { std::chrono::seconds { 10 } };

    /// Records responses to work of 150 to 270 ms of which one in thirty takes seven times as long.
    /// @param waited Time that each request waited at its upstream.
    void respond(int count, milliseconds waited)
    {
        constexpr std::array latencies { 190, 270, 150, 230, 210, 170, 250 };
        for (int i = 0; i < count; ++i) {
            const milliseconds work { latencies[static_cast<std::size_t>(i) % latencies.size()] };
            this->now += milliseconds { 60 };
            this->limit.recordAnswered(this->now, (i % 30 == 7 ? 7 * work : work) + waited, false);
        }
    }
};

}

TEST_CASE("a long tail of the work does not lower the requests in flight for each slot")
{
    // Guards against slots that stay empty at a service without any queue at its upstreams.
    PerSlotFixture fixture;
    fixture.respond(600, milliseconds { 0 });
    CHECK(fixture.limit.value() == 2);
}

TEST_CASE("waiting times as long as the work lower the requests in flight for each slot")
{
    // Guards against at-most-once requests that fill the queues of upstreams which then never respond.
    PerSlotFixture fixture;
    fixture.respond(200, milliseconds { 0 });
    fixture.respond(40, milliseconds { 220 });
    CHECK(fixture.limit.value() < 1.3);
    SECTION("and the limit returns when requests no longer wait")
    {
        fixture.respond(80, milliseconds { 0 });
        CHECK(fixture.limit.value() == 2);
    }
}
