#include "core/metrics/BurnWindows.h"
#include "core/metrics/LatencyHistogram.h"

#include <benchmark/benchmark.h>

namespace {

using namespace teaselturn;

void recordLatency(benchmark::State& state)
{
    static LatencyHistogram histogram;
    std::int64_t nanoseconds = 1;
    for (auto _ : state) {
        histogram.record(Duration { nanoseconds });
        nanoseconds = (nanoseconds * 7 + 13) & 0xfff'ffff;
    }
}
BENCHMARK(recordLatency)->Threads(1)->Threads(4);

void queryPercentile(benchmark::State& state)
{
    LatencyHistogram histogram;
    histogram.record(std::chrono::seconds { 60 });
    for (auto _ : state) {
        benchmark::DoNotOptimize(histogram.percentile(0.99));
    }
}
BENCHMARK(queryPercentile);

void addToBurnWindows(benchmark::State& state)
{
    BurnWindows windows;
    Instant now {};
    for (auto _ : state) {
        windows.add(now, { 1, 0 });
        benchmark::DoNotOptimize(windows);
        now += std::chrono::milliseconds { 100 };
    }
}
BENCHMARK(addToBurnWindows);

}
