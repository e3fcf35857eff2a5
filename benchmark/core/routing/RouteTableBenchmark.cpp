#include "../../AllocationCount.h"
#include "core/ownership/OwnershipState.h"
#include "core/routing/RouteTable.h"

#include <absl/synchronization/mutex.h>
#include <array>
#include <benchmark/benchmark.h>
#include <memory>
#include <string>
#include <vector>

namespace teaselturn {

namespace {

    constexpr ServiceId service { 1 };

    SignedBundle makeBundle(std::uint32_t partitions)
    {
        SignedBundle bundle;
        bundle.bundle.version = BundleVersion { 1 };
        bundle.bundle.zones = { { ZoneId { 1 }, "wc-paarl", RegionId { 1 } } };
        bundle.bundle.services = { { service, "catalogue", partitions } };
        return bundle;
    }

    AssignSlots assignAll(std::uint32_t partitions, UpstreamId owner)
    {
        AssignSlots command;
        for (std::uint32_t i = 0; i < partitions; ++i) {
            command.assignments.push_back({ { service, i }, owner, {} });
        }
        return command;
    }

    /// Builds a table in which one upstream owns every partition and 44 hot keys are isolated.
    std::unique_ptr<RouteTable> makeTable(std::uint32_t partitions)
    {
        OwnershipState state { [](const SignedBundle&, const Bundle*) { return success(); } };
        std::uint64_t index = 0;
        const auto apply = [&](const Command& command) { return state.apply({ ++index }, command); };
        apply(AcceptBundle { makeBundle(partitions) });
        const auto attached = apply(AttachUpstream { "a", 1, service, ZoneId { 1 }, { "127.0.0.1", 1 }, 3, 110, true, NodeId { 1 }, BootId { 1 } });
        apply(assignAll(partitions, attached.upstream));
        for (int i = 0; i < 44; ++i) {
            apply(IsolateHotKey { service, "hot-" + std::to_string(i) });
        }
        auto table = std::make_unique<RouteTable>();
        table->rebuild(state, RegionId { 1 });
        return table;
    }

    std::unique_ptr<RouteTable> shared;

    void setUp(const benchmark::State& run)
    {
        // Debian's Abseil is built with debug checks: each lock updates a process-wide graph for deadlock detection.
        // The daemon disables it in the same way.
        absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
        shared = makeTable(static_cast<std::uint32_t>(run.range(0)));
    }
    void tearDown(const benchmark::State&) { shared.reset(); }

    /// Looks up distinct keys in pseudo-random order, so that a large table does not stay in the L1 cache.
    void findRoute(benchmark::State& run)
    {
        constexpr std::size_t keyCount = 1U << 16U;
        std::vector<std::array<char, 16>> keys(keyCount);
        std::uint64_t random = 88172645463325252ULL + static_cast<std::uint64_t>(run.thread_index());
        for (auto& key : keys) {
            for (auto& byte : key) {
                random ^= random << 13U;
                random ^= random >> 7U;
                random ^= random << 17U;
                byte = static_cast<char>('a' + random % 26);
            }
        }
        std::size_t i = 0;
        const auto before = allocationCount();
        for (auto iteration : run) {
            static_cast<void>(iteration);
            benchmark::DoNotOptimize(shared->find(service, { keys[i].data(), keys[i].size() }));
            i = (i + 1) % keyCount;
        }
        if (run.threads() == 1) {
            run.counters["allocations"] = static_cast<double>(allocationCount() - before);
        }
        run.SetItemsProcessed(run.iterations());
    }

    BENCHMARK(findRoute)->Name("RouteTable/find/partitions")->Arg(1'000)->Arg(16'384)->Arg(131'072)->Arg(1'048'576)->Setup(setUp)->Teardown(tearDown);
    BENCHMARK(findRoute)->Name("RouteTable/find/workers")->Arg(131'072)->ThreadRange(1, 8)->UseRealTime()->Setup(setUp)->Teardown(tearDown);

}

}
