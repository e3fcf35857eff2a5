#include "adapters/clock/ThreadTimerService.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <latch>

using namespace teaselturn;
using namespace std::chrono_literals;

TEST_CASE("timers call back in order of their due time", "[threads]")
{
    ThreadTimerService timers;
    std::latch finished { 1 };
    std::vector<int> order;
    timers.after(40ms, [&](Instant) {
        order.push_back(2);
        finished.count_down();
    });
    timers.after(5ms, [&](Instant) { order.push_back(1); });
    finished.wait();
    CHECK(order == std::vector<int> { 1, 2 });
}

TEST_CASE("a periodic timer can cancel itself from its callback", "[threads]")
{
    // A timer that was cancelled while its callback ran must not be queued again.
    ThreadTimerService timers;
    std::atomic<int> calls { 0 };
    TimerId id;
    std::latch idAssigned { 1 };
    std::latch later { 1 };
    id = timers.every(1ms, [&](Instant) {
        idAssigned.wait();
        calls.fetch_add(1);
        timers.cancel(id);
    });
    idAssigned.count_down();
    timers.after(50ms, [&](Instant) { later.count_down(); });
    later.wait();
    CHECK(calls.load() == 1);
}
