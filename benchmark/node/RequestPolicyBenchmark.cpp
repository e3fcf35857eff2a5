#include "../AllocationCount.h"
#include "core/request/OutcomeTable.h"
#include "core/request/RequestMachine.h"
#include "node/LimiterTable.h"

#include <benchmark/benchmark.h>
#include <string>

namespace {

using namespace teaselturn;

struct FixedClock {
    Instant time { std::chrono::seconds { 1 } };
    Instant now() const noexcept { return this->time; }
};

/// Measures the request policy for one request with a response, without contention: request machine, limiter, circuit
/// breaker, retry budget, and the outcome table for a request that is not idempotent.
void policyOfRequest(benchmark::State& state)
{
    const bool isIdempotent = state.range(0) != 0;
    FixedClock clock;
    LimiterTable<FixedClock> limiters { clock };
    OutcomeTable outcomes;
    const Route route { { { 1 }, 3 }, { 7 }, { 9 }, ZoneRule::Move, false };
    std::uint64_t number = 0;
    std::string id(20, '0');
    const auto before = allocationCount();
    for (auto _ : state) {
        ++number;
        for (auto rest = number, digit = std::uint64_t { 0 }; rest > 0; rest /= 10, ++digit) {
            id[id.size() - 1 - digit] = static_cast<char>('0' + rest % 10);
        }
        // At 100,000 requests per second the outcome table stays full, as on a busy VM.
        clock.time += std::chrono::microseconds { 10 };
        const RequestSpec spec { { 1 }, "key", id, "customer", clock.time, clock.time + std::chrono::seconds { 1 },
            isIdempotent };
        if (!isIdempotent) {
            benchmark::DoNotOptimize(outcomes.begin(clock.time, id));
        }
        limiters.countRequest(spec.service, 10);
        RequestMachine machine { spec };
        benchmark::DoNotOptimize(machine.handleRoute(clock.time, route, true, true));
        const auto admission = limiters.acquire(route.owner, { 8, 16 }, { 1, 42, spec.deadline });
        benchmark::DoNotOptimize(admission);
        limiters.release(route.owner, LimiterSample::Good, std::chrono::milliseconds { 1 },
            LimiterTable<FixedClock>::Health::Responds);
        benchmark::DoNotOptimize(machine.handleAttemptResult(clock.time, AttemptResult::Answered, true));
        if (!isIdempotent) {
            outcomes.finish(clock.time, id, { Outcome::Answered, ResultCode::Ok, 200, "ok", {} });
        }
    }
    state.counters["allocations"]
        = benchmark::Counter(static_cast<double>(allocationCount() - before), benchmark::Counter::kAvgIterations);
}
BENCHMARK(policyOfRequest)->ArgName("repeatable")->Arg(1)->Arg(0);

}
