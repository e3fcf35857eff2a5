#include "core/registry/JoinPlan.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

MemberContact voter(std::uint32_t node, Duration silentFor = {})
{
    return { { NodeId { node }, DiskId { node }, true }, silentFor };
}

const std::vector<MemberContact> three { voter(1), voter(2), voter(3) };

}

TEST_CASE("a process that asks becomes a learner first")
{
    const std::vector<JoinCandidate> candidates { { NodeId { 4 }, DiskId { 44 } } };
    const auto changes = planJoins(three, candidates, {});
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].members.back() == MemberSpec { NodeId { 4 }, DiskId { 44 }, false });
}

TEST_CASE("a learner is promoted")
{
    auto contacts = three;
    contacts.push_back({ { NodeId { 4 }, DiskId { 44 }, false }, {} });
    const auto changes = planJoins(contacts, {}, {});
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].members.back().voter);
}

TEST_CASE("a node with an empty disk loses its vote before it learns anew")
{
    // Guards against a quorum that counts a disk which has lost what it acknowledged.
    const std::vector<JoinCandidate> candidates { { NodeId { 2 }, DiskId { 22 } } };
    const auto changes = planJoins(three, candidates, {});
    REQUIRE(!changes.empty());
    CHECK(changes[0].members[1] == MemberSpec { NodeId { 2 }, DiskId { 22 }, false });
}

TEST_CASE("a silent member is removed only while enough voters stay")
{
    const auto silent = std::chrono::seconds { 8 };
    CHECK(planJoins(std::vector { voter(1), voter(2), voter(3, silent) }, {}, {}).empty());
    const auto changes = planJoins(std::vector { voter(1), voter(2), voter(3, silent), voter(4) }, {}, {});
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].members.size() == 3);
    CHECK(planJoins(std::vector { voter(1), voter(2), voter(3, silent), voter(4) }, {}, { 5, std::chrono::seconds { 7 } }).empty());
}
