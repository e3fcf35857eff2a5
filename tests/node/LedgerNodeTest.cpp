#include "node/LedgerNode.h"

#include "NodeFakes.h"
#include "core/support/OwnershipFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

constexpr DiskId disk { 9 };

BundleCheck acceptAll()
{
    return [](const SignedBundle&, const Bundle*) { return success(); };
}

MemberState singleMember()
{
    MemberState state;
    state.node = NodeId { 1 };
    state.disk = disk;
    state.initialMembers = { { NodeId { 1 }, disk, true } };
    return state;
}

/// A ledger node with fakes for network, disk and clock.
struct LedgerFixture {
    RecordingSender sender;
    StoreControl store;
    ManualClock clock;
    std::atomic<int> failures { 0 };
    LedgerNode<RecordingSender, FakeStore, ManualClock> node;

    explicit LedgerFixture(MemberState state = singleMember())
        : node(sender, FakeStore { store }, std::move(state), acceptAll(), clock, nullptr, { {}, [this](const Failure&) { this->fail(); } })
    {
        REQUIRE(this->node.start());
    }
    /// Unblocks the store: a writer thread blocked in it would never end.
    ~LedgerFixture() { this->store.set(&StoreControl::isBlocked, false); }

    void fail()
    {
        ++this->failures;
        this->store.set(&StoreControl::isFailing, true);
    }

    /// Advances the clock by 25 ms and ticks the node until a condition holds.
    /// @return False if it does not hold within testTimeout.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= end) {
                return false;
            }
            this->clock.advance(std::chrono::milliseconds { 25 });
            this->node.tick();
            std::this_thread::sleep_for(std::chrono::milliseconds { 1 });
        }
        return true;
    }

    void waitForLeadership()
    {
        REQUIRE(this->runUntil([this] { return this->node.view().hasLeaderLease; }));
    }

    int startedWrites()
    {
        const MutexLock lock { this->store.mutex };
        return this->store.started;
    }

    std::size_t storedEntries()
    {
        const MutexLock lock { this->store.mutex };
        return this->store.entries.size();
    }
};

ProposeRequest bundleProposal(std::uint64_t sequence, std::uint64_t version)
{
    return { sequence, AcceptBundle { OwnershipFixture {}.bundle(version) } };
}

}

TEST_CASE("the reply to a proposal is sent only after the entry is on disk", "[node]")
{
    // Guards I2: a reply sent before the sync would acknowledge an entry that a power loss can still remove.
    LedgerFixture fixture;
    fixture.waitForLeadership();
    const auto before = fixture.storedEntries();
    const auto started = fixture.startedWrites();
    fixture.store.set(&StoreControl::isBlocked, true);
    fixture.node.receive(NodeId { 7 }, bundleProposal(1, 1));
    REQUIRE(fixture.store.waitFor([&] {
        fixture.store.mutex.assertHeld();
        return fixture.store.started > started;
    }));
    // The node doesn't hold its lock during a slow write, so other threads can still call tick() and view().
    for (int i = 0; i < 20; ++i) {
        fixture.node.tick();
        static_cast<void>(fixture.node.view());
    }
    CHECK(fixture.sender.count<ProposeReply>() == 0);
    fixture.store.set(&StoreControl::isBlocked, false);
    const auto reply = fixture.sender.next<ProposeReply>();
    REQUIRE(reply.has_value());
    CHECK(reply->code == ResultCode::Ok);
    CHECK(reply->outcome.code == ResultCode::Ok);
    CHECK(fixture.storedEntries() == before + 1);
}

TEST_CASE("a resent proposal is appended once", "[node]")
{
    // Guards against applying a command twice if it is resent after a lost reply or during a slow write.
    LedgerFixture fixture;
    fixture.waitForLeadership();
    const auto before = fixture.storedEntries();
    fixture.store.set(&StoreControl::isBlocked, true);
    for (int i = 0; i < 5; ++i) {
        fixture.node.receive(NodeId { 7 }, bundleProposal(1, 1));
    }
    fixture.store.set(&StoreControl::isBlocked, false);
    const auto first = fixture.sender.next<ProposeReply>();
    REQUIRE(first.has_value());
    fixture.node.receive(NodeId { 7 }, bundleProposal(1, 1));
    const auto second = fixture.sender.next<ProposeReply>();
    REQUIRE(second.has_value());
    CHECK(*first == *second);
    CHECK(fixture.storedEntries() == before + 1);
}

TEST_CASE("a member reports a disk failure once and acknowledges nothing afterwards", "[node]")
{
    LedgerFixture fixture;
    fixture.waitForLeadership();
    fixture.store.set(&StoreControl::isFailing, true);
    fixture.node.receive(NodeId { 7 }, bundleProposal(1, 1));
    REQUIRE(fixture.runUntil([&] { return fixture.failures > 0; }));
    fixture.store.set(&StoreControl::isFailing, false);
    fixture.node.receive(NodeId { 7 }, bundleProposal(2, 2));
    fixture.node.tick();
    CHECK(fixture.failures == 1);
    CHECK(fixture.sender.count<ProposeReply>() == 0);
}

TEST_CASE("a feed request without new entries gets its reply on the next commit", "[node]")
{
    // The time budget of a takeover assumes that grants reach entry VMs without waiting for their next feed request.
    LedgerFixture fixture;
    fixture.waitForLeadership();
    REQUIRE(fixture.runUntil([&] { return fixture.node.withState([](const OwnershipState& state) { return state.appliedIndex().value; }) >= 1; }));
    const auto applied = fixture.node.withState([](const OwnershipState& state) { return state.appliedIndex(); });
    fixture.node.receive(NodeId { 7 }, FeedRequest { 3, applied, {}, 0 });
    fixture.node.receive(NodeId { 8 }, bundleProposal(1, 1));
    const auto reply = fixture.sender.next<FeedReply>();
    REQUIRE(reply.has_value());
    CHECK(reply->sequence == 3);
    REQUIRE(reply->entries.size() == 1);
    CHECK(reply->entries.front().index.value == applied.value + 1);
}

TEST_CASE("the log is compacted into a snapshot after snapshotInterval entries", "[node]")
{
    LedgerFixture fixture;
    fixture.waitForLeadership();
    // Refused commands are log entries too, and quick to apply.
    for (std::uint64_t i = 1; i <= limits::snapshotInterval + 10; ++i) {
        fixture.node.receive(NodeId { 7 }, ProposeRequest { i, DrainUpstream {} });
        if (i % 200 == 0) {
            fixture.node.tick();
            REQUIRE(fixture.runUntil([&] { return fixture.storedEntries() >= i; }));
        }
    }
    CHECK(fixture.store.waitFor([&] {
        fixture.store.mutex.assertHeld();
        return fixture.store.snapshots >= 1;
    }));
    REQUIRE(fixture.runUntil([&] { return fixture.storedEntries() >= limits::snapshotInterval + 10; }));
    // Compacted entries are sent as a snapshot. The log is truncated shortly after the snapshot was stored, so the test
    // repeats the feed request until the reply is a snapshot.
    std::uint64_t sequence = 0;
    std::optional<FeedReply> reply;
    CHECK(fixture.runUntil([&] {
        fixture.node.receive(NodeId { 8 }, FeedRequest { ++sequence, {}, {}, 0 });
        do {
            reply = fixture.sender.next<FeedReply>();
        } while (reply && reply->sequence != sequence);
        return !reply || reply->snapshotTotalBytes > 0;
    }));
    REQUIRE(reply.has_value());
    CHECK(reply->snapshotTotalBytes > 0);
}

TEST_CASE("a member that cannot reach a quorum replies NotLeader and grants no delegation", "[node]")
{
    auto state = singleMember();
    state.initialMembers.push_back({ NodeId { 2 }, DiskId { 2 }, true });
    state.initialMembers.push_back({ NodeId { 3 }, DiskId { 3 }, true });
    LedgerFixture fixture { std::move(state) };
    REQUIRE(fixture.runUntil([&] { return fixture.sender.count<VoteRequest>() > 0; }));
    fixture.node.receive(NodeId { 7 }, bundleProposal(1, 1));
    const auto proposal = fixture.sender.next<ProposeReply>();
    REQUIRE(proposal.has_value());
    CHECK(proposal->code == ResultCode::NotLeader);
    fixture.node.receive(NodeId { 7 }, DelegationRequest { 1, BootId { 1 }, {}, {}, true, {}, {} });
    const auto delegation = fixture.sender.next<DelegationReply>();
    REQUIRE(delegation.has_value());
    CHECK(delegation->code == ResultCode::NotLeader);
    CHECK(delegation->length.count() == 0);
}
