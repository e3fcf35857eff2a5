#include "adapters/clock/ThreadTimerService.h"

#include <absl/synchronization/notification.h>
#include <atomic>
#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

TEST_CASE("timers call back in order of their due time", "[threads]")
{
    ThreadTimerService timers;
    absl::Notification finished;
    std::vector<int> order;
    timers.after(40ms, [&](Instant) {
        order.push_back(2);
        finished.Notify();
    });
    timers.after(5ms, [&](Instant) { order.push_back(1); });
    finished.WaitForNotification();
    CHECK(order == std::vector<int> { 1, 2 });
}

TEST_CASE("a periodic timer can cancel itself from its callback", "[threads]")
{
    // Guards against a subscription that is queued again after it was cancelled while it ran.
    ThreadTimerService timers;
    std::atomic<int> calls { 0 };
    TimerId id;
    absl::Notification idKnown;
    absl::Notification later;
    id = timers.every(1ms, [&](Instant) {
        idKnown.WaitForNotification();
        calls.fetch_add(1);
        timers.cancel(id);
    });
    idKnown.Notify();
    timers.after(50ms, [&](Instant) { later.Notify(); });
    later.WaitForNotification();
    CHECK(calls.load() == 1);
}
