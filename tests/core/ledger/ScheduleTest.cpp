#include "core/support/LedgerNetwork.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdio>
#include <numeric>
#include <set>

using namespace teaselturn;
using namespace std::chrono_literals;
using support::Invariant;
using support::LedgerNetwork;
using support::Mutations;
using support::NetworkFaults;

namespace {

Command sampleCommand(std::uint64_t number)
{
    return ExpireUpstream { UpstreamId { number }, SessionId { number }, ExpiryReason::Left };
}

/// Limits a loop over seeds to a number of seeds and to 40 s, since sanitizers slow the runs down. At least
/// minimumSeeds run in any case. Prints how many ran.
class SeedBudget {
public:
    SeedBudget(const char* name, std::size_t total)
        : name(name)
        , total(total)
    {
    }
    ~SeedBudget() { std::printf("%s: ran %zu of %zu seeds\n", this->name, this->runs, this->total); }
    SeedBudget(const SeedBudget&) = delete;
    SeedBudget& operator=(const SeedBudget&) = delete;

    /// Returns true and counts a seed if another one is to run.
    bool next()
    {
        const auto hasNext = this->runs < this->total && (this->runs < minimumSeeds || std::chrono::steady_clock::now() < this->end);
        this->runs += hasNext ? 1 : 0;
        return hasNext;
    }

    std::size_t count() const { return this->runs; }

private:
    static constexpr std::size_t minimumSeeds = 10;

    const char* name;
    std::size_t total;
    std::size_t runs {};
    std::chrono::steady_clock::time_point end { std::chrono::steady_clock::now() + 40s };
};

void isolate(LedgerNetwork& network, std::uint32_t node)
{
    for (std::uint32_t other = 1; other <= network.size(); ++other) {
        network.cut(node, other, true);
        network.cut(other, node, true);
    }
}

/// Performs one random action: injects a fault, ends one, or proposes commands.
void injectRandomAction(LedgerNetwork& network, std::uint64_t number)
{
    auto& random = network.randomSource();
    const auto node = static_cast<std::uint32_t>(1 + random.below(network.size()));
    const auto other = static_cast<std::uint32_t>(1 + random.below(network.size()));
    switch (random.below(31)) {
    case 0:
        network.kill(node);
        break;
    case 1:
    case 2:
        network.start(node);
        break;
    case 3:
        network.freeze(node, true);
        break;
    case 4:
    case 5:
        network.freeze(node, false);
        break;
    case 6:
        network.cut(node, other, true);
        break;
    case 7:
        network.cut(node, other, true);
        network.cut(other, node, true);
        break;
    case 8:
    case 9:
    case 10:
    case 11:
        network.healAll();
        break;
    case 12:
    case 13:
        network.compact(node);
        break;
    case 14:
        if (network.canLoseDisk()) {
            network.loseDisk(node);
        }
        break;
    case 15:
    case 16:
        network.repairMembership();
        break;
    case 17:
        isolate(network, network.leaseHolder());
        break;
    default:
        // Proposes at random members, because a deposed leader that does not know it yet also accepts proposals.
        for (auto count = random.below(120); count > 0; --count) {
            network.propose(static_cast<std::uint32_t>(1 + random.below(network.size())), sampleCommand(number * 1'000 + count));
        }
    }
}

NetworkFaults lossyNetwork()
{
    NetworkFaults faults;
    faults.maximumDelay = 60ms;
    faults.lossPercent = 5;
    faults.duplicatePercent = 5;
    faults.maximumSync = 30ms;
    return faults;
}

/// Runs a schedule of random actions, then heals the network and restarts all members.
void runSchedule(LedgerNetwork& network, int actions)
{
    for (auto number = 0; number < actions && !network.hasViolation(); ++number) {
        injectRandomAction(network, static_cast<std::uint64_t>(number));
        network.run(50ms + Duration { static_cast<Duration::rep>(network.randomSource().below(300'000'000)) });
    }
    network.healAll();
}

}

TEST_CASE("random fault schedules neither lose nor change committed entries")
{
    struct Totals {
        std::uint64_t committed {};
        std::uint64_t elections {};
        std::uint64_t lostDiskCount {};
        std::uint64_t multiChunkInstalls {};
    } totals;
    // Seed 4960: a member never caught up, because its conflict hint skipped a whole term to an index below matchIndex.
    std::vector<std::uint64_t> seeds { 4960 };
    seeds.resize(400);
    std::iota(seeds.begin() + 1, seeds.end(), 1);
    SeedBudget budget { "random schedules", seeds.size() };
    while (budget.next()) {
        const auto seed = seeds[budget.count() - 1];
        CAPTURE(seed);
        LedgerNetwork network { seed, seed % 2 == 0 ? 3U : 5U, lossyNetwork() };
        runSchedule(network, 200);
        network.runUntil([&network] { return network.repairMembership(); }, 60s);
        network.run(8s);
        const auto before = network.lastCommitted();
        const auto leader = network.leaseHolder();
        REQUIRE(network.firstViolation() == "none");
        REQUIRE(leader != 0);
        CHECK(network.repairMembership());
        CHECK(network.propose(leader, sampleCommand(1)));
        network.run(3s);
        CHECK(network.firstViolation() == "none");
        CHECK(network.lastCommitted().value > before.value);
        CHECK(network.isConverged());
        totals.committed += network.lastCommitted().value;
        totals.elections += network.electionCount();
        totals.lostDiskCount += network.lostDiskCount();
        totals.multiChunkInstalls += network.multiChunkInstalls();
    }
    // Guards against schedules that commit nothing or inject no faults.
    CAPTURE(budget.count());
    CHECK(totals.committed > 830 * budget.count());
    CHECK(totals.elections > 4 * budget.count());
    CHECK(totals.lostDiskCount > budget.count());
    CHECK(totals.multiChunkInstalls > budget.count() / 10);
}

TEST_CASE("a second disk loss right after a member was admitted again loses no committed entry")
{
    for (SeedBudget budget { "second losses", 200 }; budget.next();) {
        const auto seed = 99 + budget.count();
        CAPTURE(seed);
        LedgerNetwork network { seed, seed % 2 == 0 ? 3U : 5U, lossyNetwork() };
        for (std::uint32_t loss = 0; loss < 8; ++loss) {
            network.runUntil([&network] { return network.leaseHolder() != 0; }, 30s);
            const auto leader = network.leaseHolder();
            REQUIRE(leader != 0);
            for (std::uint64_t i = 0; i < 200; ++i) {
                network.propose(leader, sampleCommand(i));
            }
            network.run(Duration { static_cast<Duration::rep>(network.randomSource().below(200'000'000)) });
            network.compact(leader);
            // Every second iteration loses the leader's disk.
            const auto lost = loss % 2 == 0 ? leader : leader % network.size() + 1;
            network.loseDisk(lost);
            network.start(lost);
            network.runUntil([&network] { return network.repairMembership(); }, 60s);
            REQUIRE(network.repairMembership());
            REQUIRE(network.firstViolation() == "none");
        }
        network.runUntil([&network] { return network.isConverged(); }, 30s);
        CHECK(network.isConverged());
        CHECK(network.firstViolation() == "none");
    }
}

namespace {

/// A protocol violation in the fakes, and the invariant check that must detect it.
struct MutationCase {
    const char* name;
    Mutations mutations;
    Invariant invariant;
};

NetworkFaults faultsFor(const Mutations& mutations)
{
    if (mutations.exceedsDriftBound) {
        // A leader with a slow clock still holds its lease only if the next election completes quickly.
        return {};
    }
    auto faults = lossyNetwork();
    if (mutations.losesVote) {
        // A restarted member ignores vote requests for an election timeout, so only a delayed request can obtain a
        // second vote.
        faults.maximumDelay = 1'500ms;
    }
    return faults;
}

/// Repeatedly kills two members at once, or loses a disk and kills another member, while commands are proposed.
void runRepeatedLosses(LedgerNetwork& network, const Mutations& mutations)
{
    auto& random = network.randomSource();
    for (std::uint32_t round = 0; round < 60 && !network.hasViolation(); ++round) {
        network.run(Duration { static_cast<Duration::rep>(random.below(2'000'000'000)) });
        const auto leader = network.leaseHolder();
        for (std::uint64_t i = 0; leader != 0 && i < 20; ++i) {
            network.propose(leader, sampleCommand(round * 100 + i));
        }
        network.run(Duration { static_cast<Duration::rep>(random.below(60'000'000)) });
        const auto lost = static_cast<std::uint32_t>(1 + random.below(3));
        if (mutations.reusesDiskIdentity && network.isConverged()) {
            network.loseDisk(lost);
            network.kill(lost % 3 + 1);
            network.start(lost);
        } else {
            network.kill(lost);
            network.kill(lost % 3 + 1);
            network.start(lost);
        }
        network.run(Duration { static_cast<Duration::rep>(random.below(1'000'000'000)) });
        network.healAll();
    }
}

/// @return The seed of the first schedule in which the invariant check detects the mutation, or zero.
std::uint64_t findDetectingSeed(const MutationCase& mutationCase)
{
    for (std::uint64_t seed = 200; seed < 300; ++seed) {
        LedgerNetwork losses { seed, 3, faultsFor(mutationCase.mutations), mutationCase.mutations };
        runRepeatedLosses(losses, mutationCase.mutations);
        LedgerNetwork schedule { seed, seed % 2 == 0 ? 3U : 5U, faultsFor(mutationCase.mutations), mutationCase.mutations };
        runSchedule(schedule, 100);
        if (losses.violations().contains(mutationCase.invariant) || schedule.violations().contains(mutationCase.invariant)) {
            return seed;
        }
    }
    return 0;
}

}

TEST_CASE("every invariant check detects a violation of its rule")
{
    // Guards against a check that cannot fail. The same schedules pass without a mutation.
    const std::vector<MutationCase> mutationCases {
        { "sends before sync", { .sendsBeforeSync = true }, Invariant::CommitsAgree },
        { "reuses the disk identity", { .reusesDiskIdentity = true }, Invariant::CommitsAgree },
        { "loses its vote", { .losesVote = true }, Invariant::OneVoteInTerm },
        { "counts rejected votes", { .countsRejectedVotes = true }, Invariant::OneLeaderInTerm },
        { "keeps truncated entries", { .keepsTruncated = true }, Invariant::LogOnDiskIsContiguous },
        { "corrupts snapshots", { .corruptsSnapshot = true }, Invariant::SnapshotMatchesHistory },
        { "skips committed entries", { .skipsCommitted = true }, Invariant::CommitsInOrder },
        { "ignores the voter's disk identity", { .ignoresVoterDisk = true }, Invariant::VoterIsAdmitted },
        { "clocks drift beyond the bound", { .exceedsDriftBound = true }, Invariant::LeaseHolderIsCurrent },
    };
    std::set<Invariant> detected;
    for (const auto& mutationCase : mutationCases) {
        CAPTURE(mutationCase.name, static_cast<int>(mutationCase.invariant));
        const auto seed = findDetectingSeed(mutationCase);
        std::printf("%s: detected at seed %llu\n", mutationCase.name, static_cast<unsigned long long>(seed));
        CHECK(seed != 0);
        detected.insert(mutationCase.invariant);
    }
    CHECK(detected.size() == support::invariantCount);
}

TEST_CASE("without a mutation the same schedules violate no invariant")
{
    for (SeedBudget budget { "schedules without a mutation", 100 }; budget.next();) {
        const auto seed = 199 + budget.count();
        CAPTURE(seed);
        // Uses the network faults of the mutation cases, without the mutations.
        for (const auto mutations : { Mutations {}, Mutations { .losesVote = true }, Mutations { .exceedsDriftBound = true } }) {
            LedgerNetwork losses { seed, 3, faultsFor(mutations) };
            runRepeatedLosses(losses, {});
            CHECK(losses.firstViolation() == "none");
            LedgerNetwork schedule { seed, seed % 2 == 0 ? 3U : 5U, faultsFor(mutations) };
            runSchedule(schedule, 100);
            CHECK(schedule.firstViolation() == "none");
        }
    }
}

TEST_CASE("the convergence check detects a member that never catches up")
{
    auto behind = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        LedgerNetwork network { seed, 3, lossyNetwork(), { .losesSnapshots = true } };
        runSchedule(network, 200);
        network.runUntil([&network] { return network.repairMembership(); }, 20s);
        behind += network.isConverged() ? 0 : 1;
    }
    CHECK(behind > 0);
}
