#include "core/support/LedgerNetwork.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace teaselturn;
using namespace std::chrono_literals;
using support::LedgerNetwork;
using support::Mutations;
using support::NetworkFaults;

namespace {

Command sample(std::uint64_t number)
{
    return ExpireUpstream { UpstreamId { number }, SessionId { number }, ExpiryReason::Left };
}

/// Takes one random action: a fault, its end, or load.
void act(LedgerNetwork& network, std::uint64_t number)
{
    auto& random = network.randomSource();
    const auto node = static_cast<std::uint32_t>(1 + random.below(network.size()));
    const auto other = static_cast<std::uint32_t>(1 + random.below(network.size()));
    switch (random.below(24)) {
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
    default:
        // At every member, since a deposed leader that does not know it takes proposals too.
        for (auto count = random.below(120); count > 0; --count) {
            network.propose(static_cast<std::uint32_t>(1 + random.below(network.size())), sample(number * 1'000 + count));
        }
    }
}

NetworkFaults roughNetwork()
{
    NetworkFaults faults;
    faults.maximumDelay = 60ms;
    faults.lossPercent = 5;
    faults.duplicatePercent = 5;
    faults.maximumSync = 30ms;
    return faults;
}

/// Runs a schedule and lets the network heal at its end.
void runSchedule(LedgerNetwork& network, int actions)
{
    for (auto number = 0; number < actions && !network.hasViolation(); ++number) {
        act(network, static_cast<std::uint64_t>(number));
        network.run(50ms + Duration { static_cast<Duration::rep>(network.randomSource().below(300'000'000)) });
    }
    network.healAll();
}

}

TEST_CASE("random schedules of faults lose and change no committed entry")
{
    std::uint64_t committed = 0;
    std::uint64_t elections = 0;
    std::vector<std::uint64_t> seeds(120);
    std::iota(seeds.begin(), seeds.end(), 1);
    // A member stayed behind for good: its hint skipped a term back to below what the leader knew to match.
    seeds.push_back(4960);
    for (const auto seed : seeds) {
        CAPTURE(seed);
        LedgerNetwork network { seed, seed % 2 == 0 ? 3U : 5U, roughNetwork() };
        runSchedule(network, 200);
        network.run(8s);
        const auto before = network.lastCommitted();
        const auto leader = network.leaseHolder();
        REQUIRE(network.firstViolation() == "none");
        REQUIRE(leader != 0);
        CHECK(network.propose(leader, sample(1)));
        network.run(3s);
        CHECK(network.firstViolation() == "none");
        CHECK(network.lastCommitted().value > before.value);
        committed += network.lastCommitted().value;
        elections += network.electionCount();
        CHECK(network.isConverged());
    }
    // Guards against schedules in which nothing happens.
    CHECK(committed > 100'000);
    CHECK(elections > 400);
}

TEST_CASE("a second loss right after a repair loses nothing")
{
    for (std::uint64_t seed = 100; seed < 160; ++seed) {
        CAPTURE(seed);
        LedgerNetwork network { seed, seed % 2 == 0 ? 3U : 5U, roughNetwork() };
        for (std::uint32_t loss = 0; loss < 8; ++loss) {
            network.runUntil([&network] { return network.leaseHolder() != 0; }, 30s);
            const auto leader = network.leaseHolder();
            REQUIRE(leader != 0);
            for (std::uint64_t i = 0; i < 200; ++i) {
                network.propose(leader, sample(i));
            }
            network.run(Duration { static_cast<Duration::rep>(network.randomSource().below(200'000'000)) });
            network.compact(leader);
            // Every second loss is that of the leader's disk.
            const auto lost = loss % 2 == 0 ? leader : leader % network.size() + 1;
            network.loseDisk(lost);
            network.start(lost);
            network.runUntil([&network] { return network.repair(); }, 60s);
            REQUIRE(network.repair());
            REQUIRE(network.firstViolation() == "none");
        }
        network.runUntil([&network] { return network.isConverged(); }, 30s);
        CHECK(network.isConverged());
        CHECK(network.firstViolation() == "none");
    }
}

namespace {

/// Kills every member at once and loses the messages on their way, again and again under load.
bool findsViolation(std::uint64_t seed, Mutations mutations)
{
    auto faults = roughNetwork();
    if (mutations.forgetsVote) {
        // A restarted member refuses votes for an election timeout, so only a late request meets the forgotten vote.
        faults.maximumDelay = 1'500ms;
    }
    LedgerNetwork network { seed, 3, faults, mutations };
    auto& random = network.randomSource();
    for (std::uint32_t round = 0; round < 60 && !network.hasViolation(); ++round) {
        network.run(Duration { static_cast<Duration::rep>(random.below(2'000'000'000)) });
        const auto leader = network.leaseHolder();
        for (std::uint64_t i = 0; leader != 0 && i < 20; ++i) {
            network.propose(leader, sample(round * 100 + i));
        }
        network.run(Duration { static_cast<Duration::rep>(random.below(60'000'000)) });
        const auto lost = static_cast<std::uint32_t>(1 + random.below(3));
        if (mutations.keepsDiskIdentity && network.isConverged()) {
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
    return network.hasViolation();
}

int seedsWithViolation(Mutations mutations)
{
    auto count = 0;
    for (std::uint64_t seed = 200; seed < 220; ++seed) {
        count += findsViolation(seed, mutations) ? 1 : 0;
    }
    return count;
}

}

TEST_CASE("the checks notice broken rules")
{
    CHECK(seedsWithViolation({}) == 0);
    CHECK(seedsWithViolation({ .sendsBeforeSync = true }) > 0);
    CHECK(seedsWithViolation({ .keepsDiskIdentity = true }) > 0);
    CHECK(seedsWithViolation({ .forgetsVote = true }) > 0);
}
