#include "core/ledger/Member.h"

#include "core/support/SeededRandom.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

using TestMember = Member<support::SeededRandom>;

MemberSpec voter(std::uint32_t node)
{
    return { NodeId { node }, DiskId { 100 + node }, true };
}

MemberState freshState(std::uint32_t node, std::vector<MemberSpec> members)
{
    MemberState state;
    state.node = NodeId { node };
    state.disk = DiskId { 100 + node };
    state.initialMembers = std::move(members);
    return state;
}

/// Cluster that syncs writes and delivers messages immediately, except to and from disconnected members.
struct LockstepCluster {
    explicit LockstepCluster(const std::vector<MemberSpec>& initial, std::uint32_t learners = 0)
    {
        for (std::uint32_t node = 1; node <= initial.size() + learners; ++node) {
            this->members.emplace(node, TestMember { freshState(node, initial), {}, support::SeededRandom { node }, this->now });
        }
    }

    void flushEffects(std::uint32_t node)
    {
        auto effects = this->members.at(node).takeEffects();
        const auto last = this->members.at(node).lastIndex();
        for (auto* queue : { &effects.immediate, &effects.afterPersist }) {
            for (auto& outbound : *queue) {
                this->inTransit.emplace_back(node, std::move(outbound));
            }
        }
        if (effects.install) {
            this->installed[node] = *effects.install;
        }
        for (auto& entry : effects.committed) {
            this->applied[node].push_back(std::move(entry));
        }
        this->members.at(node).persisted(this->now, last);
    }

    void deliverAll()
    {
        for (auto rounds = 0; rounds < 50; ++rounds) {
            for (auto& [node, member] : this->members) {
                this->flushEffects(node);
            }
            for (auto& [from, outbound] : std::exchange(this->inTransit, {})) {
                const auto to = outbound.to.value;
                if (this->members.contains(to) && !this->disconnected.contains(from) && !this->disconnected.contains(to)) {
                    this->members.at(to).receive(this->now, NodeId { from }, outbound.message);
                }
            }
        }
    }

    void run(Duration length)
    {
        for (const auto end = this->now + length; this->now < end; this->now += 25ms) {
            for (auto& [node, member] : this->members) {
                member.tick(this->now);
            }
            this->deliverAll();
        }
    }

    std::uint32_t leader() const
    {
        for (const auto& [node, member] : this->members) {
            if (!this->disconnected.contains(node) && member.role() == MemberRole::Leader) {
                return node;
            }
        }
        return 0;
    }

    Instant now { 10s };
    std::map<std::uint32_t, TestMember> members;
    std::vector<std::pair<std::uint32_t, OutboundMessage>> inTransit;
    std::set<std::uint32_t> disconnected;
    std::map<std::uint32_t, std::vector<LogEntry>> applied;
    std::map<std::uint32_t, LedgerSnapshot> installed;
};

Command sampleCommand(std::uint64_t number)
{
    return ExpireUpstream { UpstreamId { number }, SessionId { number }, ExpiryReason::Left };
}

}

TEST_CASE("a single member elects itself and commits only synced entries")
{
    // Guards against a member that counts its own vote or log entry before they are synced.
    Instant now { 0s };
    TestMember member { freshState(1, { voter(1) }), {}, support::SeededRandom { 1 }, now };
    now += 2s;
    member.tick(now);
    CHECK(member.role() == MemberRole::Candidate);
    auto effects = member.takeEffects();
    REQUIRE(effects.hardState);
    CHECK(effects.hardState->votedFor == NodeId { 1 });
    CHECK(member.role() == MemberRole::Candidate);
    member.persisted(now, LogIndex {});
    REQUIRE(member.role() == MemberRole::Leader);
    CHECK_FALSE(member.hasLeaderLease(now));
    effects = member.takeEffects();
    REQUIRE(effects.append.size() == 1);
    CHECK(member.commitIndex() == LogIndex { 0 });
    member.persisted(now, LogIndex { 1 });
    CHECK(member.commitIndex() == LogIndex { 1 });
    CHECK(member.hasLeaderLease(now));
    const auto index = member.propose(now, sampleCommand(7));
    REQUIRE(index);
    CHECK(*index == LogIndex { 2 });
    CHECK(member.takeEffects().committed.size() == 1);
    member.persisted(now, LogIndex { 2 });
    CHECK(member.takeEffects().committed == std::vector<LogEntry> { { Term { 1 }, LogIndex { 2 }, sampleCommand(7) } });
}

TEST_CASE("three members elect one leader and apply the same entries")
{
    LockstepCluster cluster { { voter(1), voter(2), voter(3) } };
    cluster.run(3s);
    const auto leader = cluster.leader();
    REQUIRE(leader != 0);
    for (std::uint64_t i = 0; i < 300; ++i) {
        REQUIRE(cluster.members.at(leader).propose(cluster.now, sampleCommand(i)));
    }
    cluster.run(1s);
    CHECK(cluster.applied[leader].size() == 301);
    CHECK(cluster.applied[1] == cluster.applied[2]);
    CHECK(cluster.applied[2] == cluster.applied[3]);
    CHECK(cluster.members.at(leader).hasLeaderLease(cluster.now));
}

TEST_CASE("a leader without a quorum loses its lease, steps down, and does not depose the new leader when it reconnects")
{
    LockstepCluster cluster { { voter(1), voter(2), voter(3) } };
    cluster.run(3s);
    const auto oldLeader = cluster.leader();
    REQUIRE(oldLeader != 0);
    cluster.disconnected.insert(oldLeader);
    cluster.run(600ms);
    CHECK_FALSE(cluster.members.at(oldLeader).hasLeaderLease(cluster.now));
    cluster.run(3s);
    CHECK(cluster.members.at(oldLeader).role() != MemberRole::Leader);
    const auto next = cluster.leader();
    REQUIRE(next != 0);
    const auto term = cluster.members.at(next).term();
    cluster.run(10s);
    cluster.disconnected.clear();
    cluster.run(3s);
    CHECK(cluster.leader() == next);
    CHECK(cluster.members.at(next).term() == term);
}

TEST_CASE("a member that missed hundreds of entries catches up by snapshot and log")
{
    LockstepCluster cluster { { voter(1), voter(2), voter(3) } };
    cluster.run(3s);
    const auto leader = cluster.leader();
    const auto lagging = leader == 1 ? 2U : 1U;
    cluster.disconnected.insert(lagging);
    for (std::uint64_t i = 0; i < 3'000; ++i) {
        REQUIRE(cluster.members.at(leader).propose(cluster.now, sampleCommand(i)));
    }
    cluster.run(500ms);
    auto& member = cluster.members.at(leader);
    REQUIRE(member.commitIndex() >= LogIndex { 3'000 });
    LedgerSnapshot snapshot { LogIndex { 2'900 }, member.term(), {}, std::vector<std::uint8_t>(700'000, 42) };
    member.compacted(snapshot);
    CHECK(member.committedAfter(LogIndex { 5 }, 1'000).error() == ResultCode::LogCompacted);
    cluster.disconnected.clear();
    cluster.run(3s);
    REQUIRE(cluster.installed.contains(lagging));
    CHECK(cluster.installed[lagging].bytes == snapshot.bytes);
    CHECK(cluster.installed[lagging].members.size() == 3);
    CHECK(cluster.members.at(lagging).commitIndex() == member.commitIndex());
    CHECK(cluster.applied[lagging].back().index == member.commitIndex());
}

TEST_CASE("a replaced disk neither votes nor campaigns, and is admitted as a learner first")
{
    LockstepCluster cluster { { voter(1), voter(2), voter(3) } };
    cluster.run(3s);
    const auto leader = cluster.leader();
    const auto lost = leader == 1 ? 2U : 1U;
    auto blank = freshState(lost, { voter(1), voter(2), voter(3) });
    blank.disk = DiskId { 999 };
    cluster.members.erase(lost);
    cluster.members.emplace(lost, TestMember { blank, {}, support::SeededRandom { 9 }, cluster.now });
    cluster.members.at(lost).receive(cluster.now + 10s, NodeId { 3 }, VoteRequest { Term { 90 }, DiskId { 103 }, LogIndex { 50 }, Term { 80 }, false, DiskId { 100 + lost } });
    CHECK(cluster.members.at(lost).takeEffects().afterPersist.empty());
    CHECK(cluster.members.at(lost).role() == MemberRole::Learner);

    auto& member = cluster.members.at(leader);
    std::vector<MemberSpec> admitted;
    for (const auto& spec : member.members()) {
        admitted.push_back(spec.node.value == lost ? MemberSpec { spec.node, DiskId { 999 }, false } : spec);
    }
    auto promoted = admitted;
    for (auto& spec : promoted) {
        spec.voter = true;
    }
    CHECK(member.propose(cluster.now, ChangeMembers { promoted }).error() == ResultCode::MembershipChangeInvalid);
    REQUIRE(member.propose(cluster.now, ChangeMembers { admitted }));
    CHECK(member.propose(cluster.now, ChangeMembers { promoted }).error() == ResultCode::MembershipChangePending);
    cluster.run(1s);
    REQUIRE(member.propose(cluster.now, ChangeMembers { promoted }));
    cluster.run(1s);
    CHECK(cluster.members.at(lost).role() == MemberRole::Follower);
    CHECK(cluster.members.at(lost).commitIndex() == member.commitIndex());
}

TEST_CASE("a removed leader steps down once its removal is committed")
{
    LockstepCluster cluster { { voter(1), voter(2), voter(3) } };
    cluster.run(3s);
    const auto leader = cluster.leader();
    std::vector<MemberSpec> rest;
    for (const auto& spec : cluster.members.at(leader).members()) {
        if (spec.node.value != leader) {
            rest.push_back(spec);
        }
    }
    REQUIRE(cluster.members.at(leader).propose(cluster.now, ChangeMembers { rest }));
    cluster.run(50ms);
    CHECK(cluster.members.at(leader).role() == MemberRole::Learner);
    cluster.run(4s);
    CHECK(cluster.leader() != 0);
    CHECK(cluster.leader() != leader);
}
