#include "adapters/clock/SteadyClock.h"
#include "node/LimiterTable.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

using namespace teaselturn;
using namespace std::chrono_literals;

TEST_CASE("limiter table grants each request slot to one worker and loses none", "[request][threads]")
{
    // Guards against a slot granted twice, and against one that is never released after a waiter has left or was
    // displaced.
    using Table = LimiterTable<SteadyClock>;
    const SteadyClock clock;
    Table limiters { clock, 4 };
    const UpstreamId upstream { 7 };
    const UpstreamCapacity capacity { 2, 4 };
    std::atomic<int> inUse { 0 };
    std::atomic<int> mostInUse { 0 };
    std::atomic<int> granted { 0 };
    std::vector<std::thread> workers;
    workers.reserve(12);
    for (std::uint64_t number = 0; number < 12; ++number) {
        workers.emplace_back([&, number] {
            for (int i = 0; i < 2'000; ++i) {
                const AdmissionRequest request { static_cast<std::uint8_t>(number % 2), number % 3, clock.now() + 60s };
                if (limiters.acquire(upstream, capacity, request) != Admission::Granted) {
                    continue;
                }
                const int now = ++inUse;
                for (int most = mostInUse; now > most && !mostInUse.compare_exchange_weak(most, now);) {
                }
                ++granted;
                std::this_thread::yield();
                --inUse;
                limiters.release(upstream, LimiterSample::Good, 1ms, Table::Health::Responds);
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    CHECK(granted > 0);
    CHECK(mostInUse <= 4);
    // All slots are free again: with a deadline in the past, acquire() grants as many as the limit without waiting.
    const auto past = clock.now() - 1s;
    int free = 0;
    while (limiters.acquire(upstream, capacity, { 1, 0, past }) == Admission::Granted) {
        ++free;
    }
    CHECK(free >= 1);
    CHECK(free <= 4);
    for (int i = 0; i < free; ++i) {
        limiters.release(upstream, LimiterSample::Ignored, {}, Table::Health::Ignored);
    }
    limiters.removeUnused(clock.now() + 2min);
    CHECK(limiters.typicalLatency(upstream) == Duration::zero());
}
