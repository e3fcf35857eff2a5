#include "OwnershipLoad.h"

#include "adapters/codec/Codec.h"
#include "core/ownership/LoadReport.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <memory>

namespace teaselturn {

namespace {

    std::uint32_t argument(const benchmark::State& run, int i) { return static_cast<std::uint32_t>(run.range(i)); }

    /// Measures decide() with nothing to do, which runs at each tick of the leader.
    void decideIdle(benchmark::State& run)
    {
        OwnershipLoad load { argument(run, 0), argument(run, 1) };
        load.renew();
        load.coordinator.decide(load.now, load.state);
        for (auto iteration : run) {
            static_cast<void>(iteration);
            benchmark::DoNotOptimize(load.coordinator.decide(load.now, load.state));
        }
        run.SetComplexityN(run.range(0));
    }

    /// Measures decide() when balancing is due and all loads are even, which runs once per second.
    void decideBalance(benchmark::State& run)
    {
        OwnershipLoad load { argument(run, 0), argument(run, 1) };
        load.now += std::chrono::seconds { 11 };
        for (auto iteration : run) {
            static_cast<void>(iteration);
            load.now += std::chrono::seconds { 1 };
            load.renew();
            benchmark::DoNotOptimize(load.coordinator.decide(load.now, load.state));
        }
        run.SetComplexityN(run.range(1));
    }

    /// Measures decide() when half of the upstreams have a slot with too much load to move it, which runs once per
    /// second.
    void decideStuck(benchmark::State& run)
    {
        OwnershipLoad load { argument(run, 0), argument(run, 1) };
        std::vector<SlotLoad> loads;
        for (std::uint32_t i = 0; i < argument(run, 0) / 2; ++i) {
            loads.push_back({ { OwnershipLoad::service, i }, 1'000 });
        }
        load.now += std::chrono::seconds { 11 };
        for (auto iteration : run) {
            run.PauseTiming();
            load.now += std::chrono::seconds { 1 };
            load.renew(1, loads);
            run.ResumeTiming();
            static_cast<void>(iteration);
            benchmark::DoNotOptimize(load.coordinator.decide(load.now, load.state));
        }
        run.SetComplexityN(run.range(1));
    }

    /// Measures decide() while the slots of a lost upstream that does not check grants wait to be reassigned, which
    /// runs at each tick for two seconds.
    void decideWaiting(benchmark::State& run)
    {
        OwnershipLoad load { argument(run, 0), argument(run, 1), false };
        load.renew();
        load.commit(ExpireUpstream { load.attached[0].upstream, load.attached[0].session, ExpiryReason::LeaseEnded });
        load.coordinator.decide(load.now, load.state);
        for (auto iteration : run) {
            static_cast<void>(iteration);
            benchmark::DoNotOptimize(load.coordinator.decide(load.now, load.state));
        }
        run.SetComplexityN(run.range(1));
    }

    /// Measures all decisions of the leader and their application from the failure of one of nine entry VMs until every
    /// slot has an owner again.
    void takeOver(benchmark::State& run)
    {
        std::size_t rounds = 0;
        std::size_t commands = 0;
        for (auto iteration : run) {
            static_cast<void>(iteration);
            run.PauseTiming();
            auto load = std::make_unique<OwnershipLoad>(argument(run, 0), argument(run, 1));
            load->now += std::chrono::seconds { 5 };
            load->renew(2);
            run.ResumeTiming();
            for (auto decided = load->coordinator.decide(load->now, load->state); !decided.empty(); decided = load->coordinator.decide(load->now, load->state)) {
                ++rounds;
                commands += decided.size();
                for (const auto& command : decided) {
                    load->commit(command);
                }
            }
            run.PauseTiming();
            load.reset();
            run.ResumeTiming();
        }
        run.counters["rounds"] = benchmark::Counter(static_cast<double>(rounds), benchmark::Counter::kAvgIterations);
        run.counters["commands"] = benchmark::Counter(static_cast<double>(commands), benchmark::Counter::kAvgIterations);
    }

    std::size_t heapBytes()
    {
        const auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    /// Measures the heap bytes of the replicated state alone.
    void stateMemory(benchmark::State& run)
    {
        std::size_t bytes = 0;
        for (auto iteration : run) {
            static_cast<void>(iteration);
            const OwnershipLoad load { argument(run, 0), argument(run, 1) };
            const auto snapshot = load.state.snapshot();
            const auto before = heapBytes();
            const auto copy = std::make_unique<OwnershipState>(load.state);
            bytes = heapBytes() - before;
            run.counters["snapshotBytes"] = static_cast<double>(encodeOwnershipSnapshot(snapshot).size());
        }
        run.counters["bytes"] = static_cast<double>(bytes);
    }

    /// Reports encoded sizes of messages and log entries.
    void encodedBytes(benchmark::State& run)
    {
        const OwnershipLoad load { 9, 2'048 };
        const auto slots = argument(run, 0);
        const auto size = [](Command command) { return static_cast<double>(encodeLogEntry({ Term { 1 }, LogIndex { 1 }, std::move(command) }).size()); };
        DelegationRequest report { 1, BootId { 1 }, LogIndex { 1 }, BundleVersion { 1 }, true, {}, {} };
        for (std::uint32_t i = 0; i < std::min<std::uint32_t>(slots, limits::maxReportedSlots); ++i) {
            report.loads.push_back({ { OwnershipLoad::service, i }, 1 });
        }
        for (std::size_t bytes = 0; slots > 0 && bytes + 30 <= limits::maxReportedKeyBytes; bytes += 30) {
            report.hotKeys.push_back({ OwnershipLoad::service, std::string(30 - limits::keySampleFixedBytes, 'k'), 1 });
        }
        for (auto iteration : run) {
            static_cast<void>(iteration);
            run.counters["assignSlots"] = size(load.assignment(0, slots));
            run.counters["delegationRequest"] = static_cast<double>(encodeMessage(report).size());
        }
        run.counters["delegationReply"] = static_cast<double>(encodeMessage(DelegationReply {}).size());
        run.counters["attachUpstream"] = size(AttachUpstream { "upstream-1234567", 1, OwnershipLoad::service, ZoneId { 1 }, { "10.100.100.100", 8080 }, 3, 110, true, NodeId { 1 }, BootId { 1 } });
        run.counters["expireUpstream"] = size(ExpireUpstream {});
        run.counters["releaseOneSlot"] = size(ReleaseSlots { {}, {}, { {} } });
    }

    BENCHMARK(decideIdle)->Name("Coordinator/decide/idle")->Args({ 100, 100'000 })->Args({ 1'000, 100'000 })->Args({ 10'000, 100'000 })->Unit(benchmark::kMicrosecond)->Complexity(benchmark::oN);
    BENCHMARK(decideBalance)->Name("Coordinator/decide/balance")->Args({ 1'000, 1'000 })->Args({ 1'000, 10'000 })->Args({ 1'000, 100'000 })->Args({ 1'000, 1'000'000 })->Unit(benchmark::kMicrosecond)->Complexity(benchmark::oN);
    BENCHMARK(decideStuck)->Name("Coordinator/decide/stuck")->Args({ 10'000, 100'000 })->Args({ 1'000, 10'000 })->Args({ 1'000, 100'000 })->Args({ 1'000, 1'000'000 })->Unit(benchmark::kMicrosecond);
    BENCHMARK(decideWaiting)->Name("Coordinator/decide/waiting")->Args({ 1'000, 1'000 })->Args({ 1'000, 10'000 })->Args({ 1'000, 100'000 })->Args({ 1'000, 1'000'000 })->Unit(benchmark::kMicrosecond)->Complexity(benchmark::oN);
    BENCHMARK(takeOver)->Name("Coordinator/takeOver")->Args({ 100, 100'000 })->Args({ 1'000, 100'000 })->Args({ 10'000, 100'000 })->Args({ 1'000, 1'000 })->Args({ 1'000, 1'000'000 })->Iterations(2)->Unit(benchmark::kMillisecond);
    BENCHMARK(stateMemory)->Name("OwnershipState/memory")->Args({ 100, 1'000 })->Args({ 10'000, 1'000 })->Args({ 100, 1'000'000 })->Iterations(1);
    BENCHMARK(encodedBytes)->Name("OwnershipState/encoded")->Arg(0)->Arg(48)->Arg(1'024)->Iterations(1);

}

}
