#include "../../AllocationCount.h"
#include "core/ownership/HotKeySketch.h"
#include "core/ownership/SlotLoadCounter.h"

#include <benchmark/benchmark.h>
#include <memory>
#include <string>
#include <vector>

namespace teaselturn {

namespace {

    constexpr ServiceId service { 1 };
    std::unique_ptr<SlotLoadCounter> counter;

    void countSlots(benchmark::State& run)
    {
        auto random = 88172645463325252ULL + static_cast<std::uint64_t>(run.thread_index());
        const auto slots = static_cast<std::uint64_t>(run.range(0));
        for (auto iteration : run) {
            static_cast<void>(iteration);
            random = random * 6364136223846793005ULL + 1442695040888963407ULL;
            counter->add({ service, static_cast<std::uint32_t>((random >> 33U) % slots) });
        }
        run.SetItemsProcessed(run.iterations());
    }

    void drainSlots(benchmark::State& run)
    {
        SlotLoadCounter loads;
        const auto slots = static_cast<std::uint32_t>(run.range(0));
        for (auto iteration : run) {
            run.PauseTiming();
            for (std::uint32_t i = 0; i < slots; ++i) {
                loads.add({ service, i });
            }
            run.ResumeTiming();
            benchmark::DoNotOptimize(loads.drain());
            static_cast<void>(iteration);
        }
    }

    /// Counts keys in rotation. Argument: number of distinct keys. With many keys, most requests replace an entry of
    /// the sketch.
    void sketchKeys(benchmark::State& run)
    {
        const auto sketch = std::make_unique<HotKeySketch>();
        std::vector<std::string> keys;
        for (std::int64_t i = 0; i < run.range(0); ++i) {
            keys.push_back("customer-" + std::to_string(i));
        }
        std::size_t i = 0;
        const auto before = allocationCount();
        for (auto iteration : run) {
            static_cast<void>(iteration);
            sketch->add(service, keys[i]);
            i = i + 1 == keys.size() ? 0 : i + 1;
        }
        run.counters["allocations"] = static_cast<double>(allocationCount() - before);
        run.SetItemsProcessed(run.iterations());
    }

    void setUp(const benchmark::State&) { counter = std::make_unique<SlotLoadCounter>(); }
    void tearDown(const benchmark::State&) { counter.reset(); }

    BENCHMARK(countSlots)->Name("SlotLoadCounter/add/workers")->Arg(131'072)->ThreadRange(1, 8)->UseRealTime()->Setup(setUp)->Teardown(tearDown);
    BENCHMARK(drainSlots)->Name("SlotLoadCounter/drain/partitions")->Arg(1'000)->Arg(131'072)->Arg(1'048'576)->Iterations(50);
    BENCHMARK(sketchKeys)->Name("HotKeySketch/add/keys")->Arg(64)->Arg(65'536);

}

}
