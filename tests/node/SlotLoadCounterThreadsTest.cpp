#include "core/ownership/SlotLoadCounter.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdint>
#include <thread>
#include <vector>

using namespace teaselturn;

TEST_CASE("each request counted by a worker is reported once while another thread drains the counter")
{
    // Guards against counts lost between reading and resetting a counter, and against two blocks allocated for the same
    // slots.
    SlotLoadCounter counter;
    constexpr std::uint32_t perWorker = 50'000;
    constexpr std::uint32_t workers = 4;
    std::atomic<std::uint32_t> running { workers };
    std::vector<std::thread> threads;
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
        threads.emplace_back([&counter, &running] {
            for (std::uint32_t i = 0; i < perWorker; ++i) {
                counter.add({ ServiceId { static_cast<std::uint16_t>(i % 3) }, i % 5'000 });
                counter.add({ ServiceId { 1 }, firstHotKeySlot + i % 3 });
            }
            --running;
        });
    }
    std::uint64_t partitions = 0;
    std::uint64_t hotKeys = 0;
    const auto drain = [&] {
        const auto loads = counter.drain();
        for (const auto& load : loads) {
            (load.slot.isHotKey() ? hotKeys : partitions) += load.requests;
        }
        return !loads.empty();
    };
    while (running > 0) {
        drain();
    }
    for (auto& thread : threads) {
        thread.join();
    }
    while (drain()) { }
    CHECK(partitions == std::uint64_t { perWorker } * workers);
    // A hot key's counter saturates at 131,071 between two reports; the counts here stay below that.
    CHECK(hotKeys == std::uint64_t { perWorker } * workers);
}
