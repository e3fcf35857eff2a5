#include "core/ownership/MemberPlan.h"

#include "core/ledger/Configuration.h"
#include "core/support/LedgerNetwork.h"
#include "core/support/SeededRandom.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

using Members = std::vector<MemberSpec>;

MemberSpec voter(std::uint32_t node, std::uint64_t disk) { return { NodeId { node }, DiskId { disk }, true }; }
MemberSpec learner(std::uint32_t node, std::uint64_t disk) { return { NodeId { node }, DiskId { disk }, false }; }
NodeSpec listed(std::uint32_t node, std::uint64_t disk) { return { NodeId { node }, ZoneId { 1 }, {}, DiskId { disk } }; }

std::vector<Members> plan(const Members& current, const std::vector<NodeSpec>& wanted, std::uint32_t leader = 1)
{
    std::vector<Members> changes;
    for (auto& change : planMemberChange(current, wanted, NodeId { leader })) {
        changes.push_back(std::move(change.members));
    }
    return changes;
}

std::size_t voterCount(const Members& members)
{
    return static_cast<std::size_t>(std::ranges::count(members, true, &MemberSpec::voter));
}

}

TEST_CASE("a member is added as a learner and promoted before another one is removed")
{
    // Guards against a ledger with only two of three voters while the new member catches up.
    const std::vector<NodeSpec> wanted { listed(1, 11), listed(2, 12), listed(4, 14) };
    Members current { voter(1, 11), voter(2, 12), voter(3, 13) };
    const Members added { voter(1, 11), voter(2, 12), voter(3, 13), learner(4, 14) };
    CHECK(plan(current, wanted) == std::vector<Members> { added });
    const Members promoted { voter(1, 11), voter(2, 12), voter(3, 13), voter(4, 14) };
    CHECK(plan(added, wanted) == std::vector<Members> { promoted });
    const Members done { voter(1, 11), voter(2, 12), voter(4, 14) };
    CHECK(plan(promoted, wanted) == std::vector<Members> { done });
    CHECK(plan(done, wanted).empty());
    CHECK(plan(done, {}).empty());
}

TEST_CASE("a voter with a replaced disk becomes a learner at once if a majority of the listed members still votes")
{
    // Guards against an operator's bundle with wrong disks that removes the votes of the whole ledger.
    const std::vector<NodeSpec> wanted { listed(1, 91), listed(2, 92), listed(3, 13) };
    const auto first = plan({ voter(1, 11), voter(2, 12), voter(3, 13) }, wanted);
    REQUIRE(first.size() == 2);
    CHECK(first[0] == Members { learner(1, 91), voter(2, 12), voter(3, 13) });
    CHECK(plan(first[0], wanted) == std::vector<Members> { { voter(1, 91), voter(2, 12), voter(3, 13) } });
    // A learner's disk has no effect on the quorum and may change at any time.
    CHECK(plan({ learner(1, 11), voter(2, 12), voter(3, 13) }, wanted)[0] == Members { learner(1, 91), voter(2, 12), voter(3, 13) });
}

TEST_CASE("a member without a disk identity keeps its disk, is not added and causes no removal of another member")
{
    CHECK(plan({ voter(1, 11), voter(2, 12) }, { listed(1, 0), listed(2, 0) }).empty());
    CHECK(plan({ voter(1, 11), learner(2, 12) }, { listed(1, 0), listed(2, 0) }) == std::vector<Members> { { voter(1, 11), voter(2, 12) } });
    CHECK(plan({ voter(1, 11), voter(2, 12), voter(3, 13) }, { listed(1, 0), listed(2, 0), listed(4, 0) }).empty());
}

TEST_CASE("the leader is the last member to be removed")
{
    const auto changes = plan({ voter(1, 11), voter(2, 12), voter(3, 13) }, { listed(3, 0) }, 1);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0] == Members { voter(1, 11), voter(3, 13) });
}

TEST_CASE("the ledger allows every planned change, and any order of the changes leads to the bundle's members")
{
    // Guards against plans that stop halfway or lose the quorum on the way.
    const auto seed = GENERATE(range(1, 200));
    INFO("seed " << seed);
    support::SeededRandom random { static_cast<std::uint64_t>(seed) };
    Members current;
    std::vector<NodeSpec> wanted;
    for (std::uint32_t node = 1; node <= 9; ++node) {
        if (node <= 3 || random.below(2) == 0) {
            current.push_back(voter(node, 10 + node));
        }
        if (random.below(3) > 0) {
            wanted.push_back(listed(node, 10 + node));
        }
    }
    if (wanted.size() >= 3 && random.below(2) == 0) {
        wanted[0].disk = DiskId { 99 };
    }
    if (wanted.empty()) {
        return;
    }
    const auto least = std::min(voterCount(current) - 1, wanted.size() / 2 + 1);
    int steps = 0;
    for (auto changes = plan(current, wanted); !changes.empty(); changes = plan(current, wanted)) {
        for (const auto& change : changes) {
            REQUIRE(checkMemberChange(current, change));
        }
        current = changes[random.below(changes.size())];
        REQUIRE(voterCount(current) >= least);
        REQUIRE(++steps < 40);
    }
    REQUIRE(current.size() == wanted.size());
    for (const auto& spec : wanted) {
        CHECK(std::ranges::count(current, voter(spec.id.value, spec.disk.value)) == 1);
    }
}

TEST_CASE("a ledger with a lost disk is repaired by a bundle that names the new disk")
{
    const std::uint64_t seed = 20261204;
    INFO("seed " << seed);
    support::LedgerNetwork network { seed, 5, {} };
    network.runUntil([&] { return network.leaseHolder() != 0; }, 20s);
    const auto lost = network.leaseHolder();
    network.loseDisk(lost);
    network.start(lost);
    std::vector<NodeSpec> wanted;
    for (std::uint32_t node = 1; node <= network.size(); ++node) {
        wanted.push_back(listed(node, network.at(node).synced.disk.value));
    }
    const auto isRepaired = [&] {
        const auto leader = network.leaseHolder();
        if (leader == 0) {
            return false;
        }
        const auto members = network.at(leader).member->members();
        const auto changes = planMemberChange(members, wanted, NodeId { leader });
        // Only the first change that the ledger accepts is made, as in LedgerService.
        static_cast<void>(std::ranges::any_of(changes, [&](const ChangeMembers& change) { return network.propose(leader, change); }));
        return changes.empty();
    };
    network.runUntil(isRepaired, 30s);
    REQUIRE(isRepaired());
    CHECK(network.at(network.leaseHolder()).member->members().size() == 5);
    CHECK(network.firstViolation() == "none");
}
