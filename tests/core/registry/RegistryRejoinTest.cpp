#include "core/registry/RegistryCluster.h"
#include "core/registry/RegistryFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

/// Longer than JoinLimits::removeAfter.
constexpr milliseconds longFreeze { 7'500 };
/// Time in which a member that is back has to count again.
constexpr milliseconds catchUpTime { 4'000 };

constexpr NodeId fourth { 4 };

std::size_t joinRequestsFrom(const RegistryCluster& cluster, NodeId node)
{
    return static_cast<std::size_t>(std::ranges::count_if(cluster.sent, [node](const auto& item) { return item.first == node && std::holds_alternative<JoinRequest>(item.second.message); }));
}

/// Four voters, of which one was frozen until the others removed it.
struct RemovedMember : RegistryCluster {
    NodeId removed = fourth;

    RemovedMember()
        : RegistryCluster(4)
    {
        this->advance(milliseconds { 3'000 });
        REQUIRE(this->isVoter(fourth));
        if (this->leader() == fourth) {
            this->removed = NodeId { 1 };
        }
        this->setFrozen(this->removed, true);
        this->advance(longFreeze);
        REQUIRE(this->members().size() == 3);
        REQUIRE(!this->isVoter(this->removed));
    }
};

}

TEST_CASE("a member that was removed while it was frozen becomes a voter again")
{
    // Guards against a member that waits for good: nobody tells it that it was removed, and its own log still lists it.
    RemovedMember cluster;
    cluster.sent.clear();
    cluster.setFrozen(cluster.removed, false);
    cluster.advance(catchUpTime);
    CHECK(joinRequestsFrom(cluster, cluster.removed) > 0);
    CHECK(cluster.isVoter(cluster.removed));
    CHECK(cluster.members().size() == 4);
}

TEST_CASE("a member that was removed while it was down becomes a voter again")
{
    RemovedMember cluster;
    cluster.end(cluster.removed);
    cluster.setFrozen(cluster.removed, false);
    cluster.start(cluster.removed);
    cluster.advance(catchUpTime);
    CHECK(cluster.isVoter(cluster.removed));
}

TEST_CASE("a registry bears two further losses, one at a time, after a member was frozen")
{
    // Guards against the loss of every acknowledged change: a voter is replaced, then the leader loses its disk.
    RemovedMember cluster;
    cluster.setFrozen(cluster.removed, false);
    cluster.advance(catchUpTime);
    const auto leader = cluster.leader();
    const auto members = cluster.members();
    const auto replaced = std::ranges::find_if(members, [&](const MemberSpec& spec) { return spec.node != leader && spec.node != cluster.removed; })->node;
    cluster.end(replaced);
    cluster.advance(milliseconds { 1'000 });
    cluster.add(NodeId { 5 }, DiskId { 5 });
    cluster.advance(catchUpTime);
    REQUIRE(cluster.leader() == leader);
    cluster.service(leader).changeItems(cluster.now, ControlRequestId { 1 }, { { serviceItem("k", false) }, {} });
    cluster.advance(milliseconds { 200 });
    REQUIRE(cluster.service(leader).state().findService("k") != nullptr);
    cluster.end(leader);
    cluster.advance(milliseconds { 3'000 });
    cluster.add(leader, DiskId { 99 });
    cluster.advance(catchUpTime);
    REQUIRE(cluster.leader() != NodeId {});
    CHECK(cluster.service(cluster.leader()).state().findService("k") != nullptr);
}

TEST_CASE("members that hear from their leader send no join requests")
{
    RegistryCluster cluster { 4 };
    cluster.advance(milliseconds { 3'000 });
    cluster.sent.clear();
    cluster.advance(milliseconds { 5'000 });
    for (std::uint32_t node = 1; node <= 4; ++node) {
        CHECK(joinRequestsFrom(cluster, NodeId { node }) == 0);
    }
}
