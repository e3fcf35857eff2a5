#include "core/ownership/HotKeySketch.h"
#include "core/ownership/SlotLoadCounter.h"

#include "core/support/SeededRandom.h"

#include <catch2/catch.hpp>
#include <map>
#include <numeric>

using namespace teaselturn;

namespace {

constexpr ServiceId tills { 2 };
constexpr ServiceId catalogue { 1 };

}

TEST_CASE("the sketch tracks every key above the guaranteed share and never overstates a key's requests")
{
    // Guards against a cold key that inherits the count of the key it replaces and gets isolated.
    constexpr std::uint64_t seed = 20261204;
    INFO("seed " << seed);
    support::SeededRandom random { seed };
    HotKeySketch sketch;
    std::map<std::string, std::uint32_t> exact;
    constexpr std::uint32_t total = 100'000;
    for (std::uint32_t i = 0; i < total; ++i) {
        // One request in ten is for one of three hot keys, the others are spread over a long tail.
        const auto key = random.below(10) == 0 ? "hot-" + std::to_string(random.below(3)) : "cold-" + std::to_string(random.below(20'000));
        sketch.add(tills, key);
        ++exact[key];
    }
    const auto samples = sketch.drain();
    REQUIRE(samples.size() >= 3);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(samples[i].key.starts_with("hot-"));
        CHECK(samples[i].requests * 10 > exact[samples[i].key] * 6);
    }
    for (const auto& sample : samples) {
        CHECK(sample.requests <= exact[sample.key]);
    }
    CHECK(sketch.drain().empty());
}

TEST_CASE("the same key in two services counts as two keys, and keys over the length limit are not counted")
{
    HotKeySketch sketch;
    const std::string longest(limits::maxKeyBytes, 'k');
    for (int i = 0; i < 3; ++i) {
        sketch.add(tills, "fabric");
        sketch.add(catalogue, "fabric");
        sketch.add(catalogue, "fabric");
        sketch.add(tills, longest + "k");
    }
    CHECK(sketch.drain() == std::vector<HotKeySample> { { catalogue, "fabric", 6 }, { tills, "fabric", 3 } });
    sketch.add(tills, longest);
    sketch.add(tills, longest);
    sketch.add(tills, "fabric");
    sketch.add(tills, "fabric");
    // The longest key fits a report on its own; keys beyond the size limit are omitted.
    CHECK(sketch.drain().size() == 2);
    sketch.add(tills, longest);
    sketch.add(tills, longest);
    CHECK(sketch.drain(limits::maxKeyBytes).empty());
}

TEST_CASE("the load counter reports the busiest slots first and keeps the counts of the others")
{
    // Guards against counts lost when a report is truncated: the sums decide which key is hot.
    SlotLoadCounter counter;
    constexpr std::uint32_t slots = 3'000;
    for (std::uint32_t i = 0; i < slots; ++i) {
        for (std::uint32_t n = 0; n <= i % 7; ++n) {
            counter.add({ tills, i });
        }
    }
    for (int i = 0; i < 50; ++i) {
        counter.add({ catalogue, 2'999 });
        counter.add({ tills, firstHotKeySlot + 1 });
        counter.add({ catalogue, firstHotKeySlot + 2 });
    }
    const auto first = counter.drain(4);
    REQUIRE(first.size() == 4);
    CHECK(first[0] == SlotLoad { { catalogue, 2'999 }, 50 });
    CHECK(first[1] == SlotLoad { { catalogue, firstHotKeySlot + 2 }, 50 });
    CHECK(first[2] == SlotLoad { { tills, firstHotKeySlot + 1 }, 50 });
    CHECK(first[3].requests == 7);
    std::uint64_t rest = first[3].requests;
    for (auto part = counter.drain(); !part.empty(); part = counter.drain()) {
        CHECK(part.size() <= limits::maxReportedSlots);
        rest = std::accumulate(part.begin(), part.end(), rest, [](auto sum, const auto& load) { return sum + load.requests; });
    }
    std::uint64_t added = 0;
    for (std::uint32_t i = 0; i < slots; ++i) {
        added += i % 7 + 1;
    }
    CHECK(rest == added);
}

TEST_CASE("a hot key's counter is reused for a later key only once it is drained")
{
    SlotLoadCounter counter;
    constexpr std::uint32_t apart = 4 * limits::maxHotKeys;
    counter.add({ tills, firstHotKeySlot });
    counter.add({ tills, firstHotKeySlot + apart });
    CHECK(counter.drain() == std::vector<SlotLoad> { { { tills, firstHotKeySlot }, 1 } });
    counter.add({ tills, firstHotKeySlot + apart });
    CHECK(counter.drain() == std::vector<SlotLoad> { { { tills, firstHotKeySlot + apart }, 1 } });
}
