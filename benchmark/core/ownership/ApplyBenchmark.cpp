#include "OwnershipLoad.h"

#include <benchmark/benchmark.h>

namespace teaselturn {

namespace {

    constexpr std::uint32_t upstreams = 1'000;
    constexpr std::uint32_t partitions = 100'000;

    /// Applies commands only to the state, as an entry VM does.
    struct Replica : OwnershipLoad {
        Replica()
            : OwnershipLoad { upstreams, partitions }
        {
        }

        ApplyOutcome apply(const Command& command) { return this->state.apply({ this->state.appliedIndex().value + 1 }, command); }

        AttachUpstream attachment(std::uint64_t number, std::uint32_t leaseManager) const
        {
            return { "new-" + std::to_string(number), 1, service, ZoneId { 1 }, { "10.0.0.1", 8080 }, 3, 110, true, NodeId { leaseManager }, BootId { 1 } };
        }

        SlotAssignment moveOf(std::uint32_t i, std::uint32_t target) const
        {
            return { { service, i }, this->attached[target].upstream, this->state.findSlot({ service, i })->fence };
        }
    };

    /// Attaches an upstream and expires it.
    void attachAndExpire(benchmark::State& run)
    {
        Replica replica;
        for (auto iteration : run) {
            static_cast<void>(iteration);
            const auto outcome = replica.apply(replica.attachment(1, 1));
            replica.apply(ExpireUpstream { outcome.upstream, outcome.session, ExpiryReason::Left });
        }
    }

    /// Attaches an upstream to another lease manager in each iteration.
    void attachAgain(benchmark::State& run)
    {
        Replica replica;
        std::uint32_t iterationCount = 0;
        for (auto iteration : run) {
            static_cast<void>(iteration);
            replica.apply(replica.attachment(1, 1 + ++iterationCount % 9));
        }
    }

    /// Measures a planned move for each slot: BeginMove and ReleaseSlots.
    void moveSlots(benchmark::State& run)
    {
        Replica replica;
        const auto slots = static_cast<std::uint32_t>(run.range(0));
        std::uint32_t iterationCount = 0;
        for (auto iteration : run) {
            static_cast<void>(iteration);
            run.PauseTiming();
            // The slots of one owner are spread over the partitions.
            const auto from = iterationCount++ % 2;
            BeginMove begin;
            ReleaseSlots release { replica.attached[from].upstream, replica.attached[from].session, {} };
            for (const auto& owned : replica.state.slotsOf(release.upstream)) {
                if (begin.moves.size() < slots) {
                    begin.moves.push_back({ owned.slot, replica.attached[1 - from].upstream, owned.fence });
                    release.releases.push_back(owned);
                }
            }
            run.ResumeTiming();
            replica.apply(begin);
            replica.apply(release);
        }
        run.SetItemsProcessed(run.iterations() * slots);
    }

    /// Assigns all free slots to an upstream and expires it. Argument: minimum number of free slots.
    void expireAndAssign(benchmark::State& run)
    {
        Replica replica;
        std::uint64_t number = 0;
        auto owner = replica.apply(replica.attachment(++number, 1));
        const auto slots = static_cast<std::uint32_t>(run.range(0));
        for (std::uint32_t i = 0; i < upstreams && replica.state.freeSlots().size() < slots; ++i) {
            replica.apply(ExpireUpstream { replica.attached[i].upstream, replica.attached[i].session, ExpiryReason::Left });
        }
        std::size_t items = 0;
        for (auto iteration : run) {
            static_cast<void>(iteration);
            run.PauseTiming();
            AssignSlots assign;
            for (const auto slot : replica.state.freeSlots()) {
                assign.assignments.push_back({ slot, owner.upstream, replica.state.findSlot(slot)->fence });
            }
            items += assign.assignments.size();
            run.ResumeTiming();
            replica.apply(assign);
            replica.apply(ExpireUpstream { owner.upstream, owner.session, ExpiryReason::Left });
            owner = replica.apply(replica.attachment(++number, 1));
        }
        run.SetItemsProcessed(static_cast<std::int64_t>(items));
    }

    BENCHMARK(attachAndExpire)->Name("OwnershipState/apply/attach+expire");
    BENCHMARK(attachAgain)->Name("OwnershipState/apply/attachAgain");
    BENCHMARK(moveSlots)->Name("OwnershipState/apply/begin+release/slots")->Arg(1)->Arg(100);
    BENCHMARK(expireAndAssign)->Name("OwnershipState/apply/assign+expire/slots")->Arg(100)->Arg(1'000);

}

}
