#include "core/ownership/BoundedLoadPlacement.h"
#include "core/ownership/Coordinator.h"
#include "core/ownership/LeaseManager.h"

#include "core/support/OwnershipFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1h };
constexpr auto delegation = timing::withDrift(timing::delegationLength);
constexpr NodeId firstEntry { 1 };
constexpr NodeId secondEntry { 2 };

/// Model of an upstream according to the platform's specification: it counts its lease from before it sent the
/// heartbeat, accepts only the reply to its latest heartbeat, and ignores sessions older than its current one.
struct ModelUpstream {
    std::string name;
    SessionId session;
    std::uint64_t version {};
    std::vector<SlotRelease> grants;
    Instant leaseEnd;
    std::uint64_t sent {};
    Instant sentAt;

    Heartbeat makeHeartbeat(Instant now)
    {
        ++this->sent;
        this->sentAt = now;
        return { this->name, 7, this->sent, this->session, tills, paarl, { "127.0.0.1", 8080 }, 3, 110, true, false, this->version };
    }

    void handleReply(std::uint64_t replySequence, const HeartbeatReply& reply)
    {
        if (replySequence != this->sent || reply.session < this->session) {
            return;
        }
        this->session = reply.session;
        if (reply.grantsIncluded) {
            this->grants = reply.grants;
            this->version = reply.grantsVersion;
        }
        this->leaseEnd = reply.lease > 0ms ? this->sentAt + reply.lease : this->leaseEnd;
    }

    bool serves(Instant now, SlotId slot) const
    {
        return now < this->leaseEnd && std::ranges::count(this->grants, slot, &SlotRelease::slot) > 0;
    }
};

/// Two entry VMs, of which the first may lag, and a leader.
struct ScenarioFixture : OwnershipFixture {
    Coordinator<BoundedLoadPlacement> coordinator { BoundedLoadPlacement {} };
    LeaseManager first { firstEntry, BootId { 1 } };
    LeaseManager second { secondEntry, BootId { 1 } };
    Instant now { start };
    std::uint64_t sequence {};

    ScenarioFixture()
    {
        this->onApplied = [this](const LogEntry& entry) { this->coordinator.applied(this->now, entry, this->outcomeOf(entry), this->state); };
        this->apply(AcceptBundle { this->bundle(1) });
        this->coordinator.becameLeader(this->now, this->state);
    }

    /// @return The outcome passed to the coordinator, which reads only those of attachments and expiries.
    ApplyOutcome outcomeOf(const LogEntry& entry) const
    {
        ApplyOutcome outcome;
        if (const auto* attached = std::get_if<AttachUpstream>(&entry.command)) {
            const auto* record = this->state.findUpstream(attached->name, attached->incarnation);
            outcome = { ResultCode::Ok, record->id, record->session };
        }
        return outcome;
    }

    DelegationReply renew(NodeId entry)
    {
        const DelegationRequest request { ++this->sequence, BootId { 1 }, this->state.appliedIndex(), { 1 }, true, {}, {} };
        auto reply = this->coordinator.delegate(this->now, entry, request, this->state);
        this->coordinator.delegationSent(this->now, entry, BootId { 1 });
        return reply;
    }

    /// Applies the coordinator's decisions until it has none left; fails after ten rounds.
    void commitDecisions()
    {
        for (int round = 0; round < 10; ++round) {
            const auto commands = this->coordinator.decide(this->now, this->state);
            if (commands.empty()) {
                return;
            }
            for (const auto& command : commands) {
                this->apply(command);
            }
        }
        FAIL("the coordinator still has decisions after ten rounds");
    }
};

}

TEST_CASE("a lease manager that was frozen grants no lease to queued heartbeats once its sessions may be taken over")
{
    // Guards against two owners: the frozen VM resumes with an old state and handles the heartbeats that queued up
    // meanwhile.
    ScenarioFixture fixture;
    const auto attached = fixture.attach("a", tills, firstEntry);
    fixture.commitDecisions();
    const auto sentAt = fixture.now;
    const auto delegationReply = fixture.renew(firstEntry);
    fixture.first.addDelegation(sentAt, delegationReply);
    ModelUpstream a { "a", attached.session };
    const auto served = fixture.first.handleHeartbeat(fixture.now, a.makeHeartbeat(fixture.now), fixture.state);
    a.handleReply(a.sent, served.reply);
    REQUIRE(a.serves(fixture.now, { tills, 0 }));
    const OwnershipState frozenState = fixture.state;
    std::vector<Heartbeat> queue;
    for (int i = 0; i < 8; ++i) {
        fixture.now += 250ms;
        queue.push_back(a.makeHeartbeat(fixture.now));
    }
    fixture.now = sentAt + delegation;
    fixture.attach("b", tills, secondEntry);
    fixture.renew(secondEntry);
    CHECK_FALSE(a.serves(fixture.now, { tills, 0 }));
    fixture.commitDecisions();
    CHECK(fixture.state.findSlot({ tills, 0 })->owner != attached.upstream);
    // The reply to a renewal that was sent before the freeze arrives now as well.
    fixture.first.addDelegation(sentAt - 1s, delegationReply);
    for (const auto& heartbeat : queue) {
        const auto decision = fixture.first.handleHeartbeat(fixture.now, heartbeat, frozenState);
        CHECK(decision.reply.lease == 0ms);
        a.handleReply(a.sent, decision.reply);
        CHECK_FALSE(a.serves(fixture.now, { tills, 0 }));
    }
    // With the current state it requires the upstream to attach again, even under a new delegation.
    fixture.first.addDelegation(fixture.now, fixture.renew(firstEntry));
    const auto again = fixture.first.handleHeartbeat(fixture.now, queue.back(), fixture.state);
    CHECK(again.reply.lease == 0ms);
    REQUIRE(again.proposal);
    CHECK(std::holds_alternative<AttachUpstream>(*again.proposal));
}

TEST_CASE("a leader change during a move neither repeats the move nor assigns the slot to a third upstream")
{
    // Guards against a new leader that has no record of moves begun by the former one.
    ScenarioFixture fixture;
    const auto a = fixture.attach("a", tills);
    fixture.commitDecisions();
    const auto b = fixture.attach("b", tills);
    fixture.attach("c", tills);
    fixture.apply(DrainUpstream { a.upstream, a.session });
    fixture.commitDecisions();
    const SlotId slot { tills, 0 };
    const auto target = fixture.state.findSlot(slot)->moveTarget;
    REQUIRE(target != UpstreamId {});
    const auto fence = fixture.fenceOf(slot);
    fixture.coordinator.becameLeader(fixture.now, fixture.state);
    const auto check = [&] {
        fixture.now += 1s;
        fixture.renew(firstEntry);
        return fixture.coordinator.decide(fixture.now, fixture.state);
    };
    for (int i = 0; i < 20; ++i) {
        CHECK(check().empty());
    }
    const bool targetDies = GENERATE(false, true);
    if (targetDies) {
        const auto* record = fixture.state.findUpstream(target);
        fixture.apply(ExpireUpstream { target, record->session, ExpiryReason::LeaseEnded });
    }
    fixture.apply(ReleaseSlots { a.upstream, a.session, { { slot, fence } } });
    fixture.commitDecisions();
    const auto* record = fixture.state.findSlot(slot);
    CHECK(record->fence > fence);
    CHECK(record->owner != UpstreamId {});
    CHECK(record->owner != a.upstream);
    CHECK((record->owner == target) == !targetDies);
    // The former leader's proposal, committed late, has no effect.
    CHECK(fixture.apply(BeginMove { { { slot, b.upstream, fence } } }).code == ResultCode::FenceOutdated);
}

TEST_CASE("heartbeat replies in any order never let an upstream serve beyond the lease end that its lease manager recorded")
{
    // Guards against an old reply with a long lease or a released slot that arrives last.
    ScenarioFixture fixture;
    const auto attached = fixture.attach("a", tills, firstEntry);
    const auto b = fixture.attach("b", tills, firstEntry);
    const SlotId slot { tills, 0 };
    fixture.assign(slot, attached.upstream);
    fixture.first.addDelegation(fixture.now, fixture.renew(firstEntry));
    ModelUpstream a { "a", attached.session };
    struct SentReply {
        std::uint64_t sequence {};
        HeartbeatReply reply;
    };
    std::vector<SentReply> replies;
    for (int i = 0; i < 4; ++i) {
        fixture.now += (timing::delegationLength - 400ms) / 4;
        const auto heartbeat = a.makeHeartbeat(fixture.now);
        if (i == 2) {
            fixture.move(slot, b.upstream);
        }
        replies.push_back({ a.sent, fixture.first.handleHeartbeat(fixture.now, heartbeat, fixture.state).reply });
    }
    // 400 ms of the delegation are left at the end, so that the last lease is the shortest.
    REQUIRE(replies[3].reply.lease == 400ms);
    std::vector<std::size_t> order { 0, 1, 2, 3 };
    do {
        auto upstream = a;
        for (const auto i : order) {
            upstream.handleReply(replies[i].sequence, replies[i].reply);
            CHECK(upstream.leaseEnd <= start + timing::delegationLength);
        }
        CHECK_FALSE(upstream.serves(fixture.now, slot));
    } while (std::ranges::next_permutation(order).found);
    // No expiry is proposed before every one of these leases has ended.
    fixture.now = start + timing::delegationLength - 1ns;
    CHECK(fixture.first.tick(fixture.now, fixture.state).empty());
}
