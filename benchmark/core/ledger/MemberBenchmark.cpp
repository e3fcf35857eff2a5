#include "core/ledger/EntryLog.h"
#include "core/ledger/Member.h"
#include "core/support/SampleCommands.h"
#include "core/support/SeededRandom.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <malloc.h>

namespace teaselturn {

namespace {

    using BenchmarkMember = Member<support::SeededRandom>;
    using namespace std::chrono_literals;

    constexpr std::uint64_t compactionInterval = 4'096;

    /// Members whose messages are delivered and whose writes are synced without delay, so that only the members'
    /// processor time is measured.
    class InstantCluster {
    public:
        explicit InstantCluster(std::uint32_t size)
        {
            std::vector<MemberSpec> specs;
            for (std::uint32_t node = 1; node <= size; ++node) {
                specs.push_back({ NodeId { node }, DiskId { node }, true });
            }
            for (const auto& spec : specs) {
                MemberState state { spec.node, spec.disk, {}, {}, {}, specs };
                this->members.emplace_back(std::move(state), MemberTiming {}, support::SeededRandom { spec.node.value }, this->now);
            }
            while (!this->leader().hasLeaderLease(this->now)) {
                this->advance(25ms);
            }
        }

        BenchmarkMember& leader()
        {
            const auto found = std::find_if(this->members.begin(), this->members.end(), [](const auto& member) { return member.role() == MemberRole::Leader; });
            return found == this->members.end() ? this->members.front() : *found;
        }

        /// Advances the clock, runs due timers, and delivers messages until none is left.
        void advance(Duration length)
        {
            this->now += length;
            for (auto& member : this->members) {
                member.tick(this->now);
            }
            this->settle();
        }

        /// Performs the effects of all members until none has any.
        void settle()
        {
            for (auto isBusy = true; isBusy;) {
                isBusy = false;
                for (std::size_t i = 0; i < this->members.size(); ++i) {
                    isBusy |= this->executeEffects(i);
                }
            }
        }

        void propose(const Command& command)
        {
            static_cast<void>(this->leader().propose(this->now, command).hasValue());
        }

        void compact()
        {
            for (auto& member : this->members) {
                const auto index = member.commitIndex();
                const auto specs = member.membersAt(index);
                member.compacted({ index, member.term(), { specs.begin(), specs.end() }, {} });
            }
        }

        std::uint64_t messages {};

    private:
        bool executeEffects(std::size_t i)
        {
            auto& member = this->members[i];
            const auto through = member.lastIndex();
            auto effects = member.takeEffects();
            if (effects.needsWrite()) {
                member.persisted(this->now, through);
            }
            for (const auto* queue : { &effects.immediate, &effects.afterPersist }) {
                this->messages += queue->size();
                for (const auto& outbound : *queue) {
                    this->members[outbound.to.value - 1].receive(this->now, NodeId { static_cast<std::uint32_t>(i + 1) }, outbound.message);
                }
            }
            return effects.needsWrite() || !effects.immediate.empty() || !effects.afterPersist.empty();
        }

        Instant now { 10s };
        std::vector<BenchmarkMember> members;
    };

    /// Measures the processor time of all members together. Arguments: number of members, entries proposed at a time.
    void commitEntries(benchmark::State& run)
    {
        InstantCluster cluster { static_cast<std::uint32_t>(run.range(0)) };
        const auto batch = static_cast<std::uint64_t>(run.range(1));
        const Command command = DrainUpstream { UpstreamId { 4'000 }, SessionId { 4'100 } };
        const auto first = cluster.leader().commitIndex().value;
        const auto messagesBefore = cluster.messages;
        std::uint64_t sinceCompaction = 0;
        for (auto iteration : run) {
            static_cast<void>(iteration);
            for (std::uint64_t i = 0; i < batch; ++i) {
                cluster.propose(command);
            }
            cluster.settle();
            sinceCompaction += batch;
            if (sinceCompaction >= compactionInterval) {
                cluster.compact();
                sinceCompaction = 0;
            }
        }
        const auto entries = run.iterations() * run.range(1);
        if (cluster.leader().commitIndex().value - first != static_cast<std::uint64_t>(entries)) {
            run.SkipWithError("entries were not committed");
        }
        run.SetItemsProcessed(entries);
        run.counters["timePerEntry"] = benchmark::Counter(static_cast<double>(entries), benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
        run.counters["messagesPerEntry"] = static_cast<double>(cluster.messages - messagesBefore) / static_cast<double>(entries);
    }
    BENCHMARK(commitEntries)->Name("Member/commit/members/batch")->ArgsProduct({ { 3, 5, 7 }, { 1, 64 } });

    /// Measures the processor time of all members together for one heartbeat interval without entries.
    void heartbeatRound(benchmark::State& run)
    {
        InstantCluster cluster { static_cast<std::uint32_t>(run.range(0)) };
        const auto before = cluster.messages;
        for (auto iteration : run) {
            static_cast<void>(iteration);
            cluster.advance(MemberTiming {}.heartbeat);
        }
        run.counters["messagesPerRound"] = static_cast<double>(cluster.messages - before) / static_cast<double>(run.iterations());
    }
    BENCHMARK(heartbeatRound)->Name("Member/heartbeat/members")->Arg(3)->Arg(5)->Arg(7);

    std::size_t allocatedBytes() { return ::mallinfo2().uordblks; }

    /// Measures the heap bytes of one entry in the in-memory log. Arguments: index of the command type, elements in its
    /// list.
    void memoryOfEntry(benchmark::State& run)
    {
        constexpr std::uint64_t count = 4'096;
        const auto command = support::sampleCommands(static_cast<std::uint32_t>(run.range(1))).at(static_cast<std::size_t>(run.range(0)));
        for (auto iteration : run) {
            static_cast<void>(iteration);
            const auto before = allocatedBytes();
            EntryLog log { {}, {}, {} };
            for (std::uint64_t index = 1; index <= count; ++index) {
                log.append({ Term { 3 }, LogIndex { index }, command });
            }
            run.counters["bytesPerEntry"] = static_cast<double>(allocatedBytes() - before) / count;
            run.counters["estimatedBytes"] = static_cast<double>(estimatedBytes(command));
        }
    }
    BENCHMARK(memoryOfEntry)->Name("EntryLog/memory/type/elements")->ArgsProduct({ benchmark::CreateDenseRange(0, 11, 1), { 1, 100 } })->Iterations(1);

}

}
