#include "node/MetricsRegistry.h"

#include <benchmark/benchmark.h>

namespace {

using namespace teaselturn;

/// Measures the cost on the request path. A new interval starts every 10,000 requests.
void recordRequest(benchmark::State& state)
{
    static MetricsRegistry registry { { 1 } };
    Instant now {};
    for (auto _ : state) {
        now += std::chrono::milliseconds { 1 };
        registry.recordRequest({ 1 }, { 1 }, Outcome::Answered, ResultCode::Ok, std::chrono::milliseconds { 3 }, now, 200);
    }
}
BENCHMARK(recordRequest)->Threads(1)->Threads(4);

}
