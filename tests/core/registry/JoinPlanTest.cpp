#include "core/registry/JoinPlan.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

MemberContact voter(std::uint32_t node, Duration timeSinceReply = {})
{
    return { { NodeId { node }, DiskId { node }, true }, timeSinceReply };
}

const std::vector<MemberContact> threeVoters { voter(1), voter(2), voter(3) };

}

TEST_CASE("a process that requests to join becomes a learner first")
{
    const std::vector<JoinCandidate> candidates { { NodeId { 4 }, DiskId { 44 } } };
    const auto changes = planMembershipChanges(threeVoters, candidates, {});
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].members.back() == MemberSpec { NodeId { 4 }, DiskId { 44 }, false });
}

TEST_CASE("a learner is promoted")
{
    auto contacts = threeVoters;
    contacts.push_back({ { NodeId { 4 }, DiskId { 44 }, false }, {} });
    const auto changes = planMembershipChanges(contacts, {}, {});
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].members.back().voter);
}

TEST_CASE("a node with a replaced disk becomes a learner before it gets entries again")
{
    // Guards against counting a disk in a quorum after it lost entries that it had acknowledged.
    const std::vector<JoinCandidate> candidates { { NodeId { 2 }, DiskId { 22 } } };
    const auto changes = planMembershipChanges(threeVoters, candidates, {});
    REQUIRE(!changes.empty());
    CHECK(changes[0].members[1] == MemberSpec { NodeId { 2 }, DiskId { 22 }, false });
}

TEST_CASE("an unresponsive voter is removed only if enough voters remain")
{
    const auto unresponsive = std::chrono::seconds { 8 };
    CHECK(planMembershipChanges(std::vector { voter(1), voter(2), voter(3, unresponsive) }, {}, {}).empty());
    const auto changes = planMembershipChanges(std::vector { voter(1), voter(2), voter(3, unresponsive), voter(4) }, {}, {});
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].members.size() == 3);
    CHECK(planMembershipChanges(std::vector { voter(1), voter(2), voter(3, unresponsive), voter(4) }, {}, { 5, std::chrono::seconds { 7 } }).empty());
}
