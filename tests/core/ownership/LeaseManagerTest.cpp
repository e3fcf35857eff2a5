#include "core/ownership/LeaseManager.h"

#include "core/support/OwnershipFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1h };
constexpr NodeId node { 1 };
constexpr BootId boot { 1 };
constexpr SlotId slot { tills, 3 };

struct LeaseManagerFixture : OwnershipFixture {
    LeaseManager leaseManager { node, boot };

    LeaseManagerFixture() { this->apply(AcceptBundle { this->bundle(1) }); }

    void delegate(Instant sentAt)
    {
        this->leaseManager.addDelegation(sentAt, { 1, ResultCode::Ok, timing::delegationLength, this->state.appliedIndex(), {} });
    }

    static Heartbeat makeHeartbeat(const std::string& name, ServiceId service, SessionId session = {})
    {
        return { name, 7, 1, session, service, paarl, { "127.0.0.1", 8080 }, 3, 110, true };
    }

    HeartbeatDecision heartbeat(Instant now, const std::string& name, SessionId session = {}, ServiceId service = tills)
    {
        return this->leaseManager.handleHeartbeat(now, makeHeartbeat(name, service, session), this->state);
    }

    /// Attaches an upstream to this lease manager, with one slot.
    ApplyOutcome attachOwner(const std::string& name, ServiceId service = tills)
    {
        auto attached = this->attach(name, service, node, boot);
        this->assign({ service, 3 }, attached.upstream);
        return attached;
    }

    std::vector<Command> tick(Instant now) { return this->leaseManager.tick(now, this->state); }
};

bool isExpiry(const std::vector<Command>& commands, const ApplyOutcome& attached)
{
    return commands == std::vector<Command> { ExpireUpstream { attached.upstream, attached.session, ExpiryReason::LeaseEnded } };
}

}

TEST_CASE("an unknown upstream is attached and gets its session in the reply to a later heartbeat")
{
    // Guards against a lost attach reply that leaves the upstream without a session or attaches it repeatedly.
    LeaseManagerFixture fixture;
    fixture.delegate(start);
    const auto first = fixture.heartbeat(start, "a");
    CHECK(first.code == ResultCode::SessionOutdated);
    REQUIRE(first.proposal);
    CHECK(std::holds_alternative<AttachUpstream>(*first.proposal));
    CHECK_FALSE(fixture.heartbeat(start + 250ms, "a").proposal);
    CHECK(fixture.heartbeat(start + 500ms, "a").proposal);
    const auto attached = fixture.apply(*first.proposal);
    const auto attachReply = fixture.heartbeat(start + 750ms, "a");
    CHECK(attachReply.code == ResultCode::SessionOutdated);
    CHECK(attachReply.reply.session == attached.session);
    CHECK(attachReply.reply.lease == 0ms);
    CHECK_FALSE(attachReply.proposal);
    const auto granted = fixture.heartbeat(start + 800ms, "a", attached.session);
    CHECK(granted.code == ResultCode::Ok);
    CHECK(granted.reply.lease == timing::leaseLength);
}

TEST_CASE("a lease never outlasts the delegation, except for a service with the rule keep")
{
    // Guards against an owner that keeps serving after the leader has reassigned its slots.
    LeaseManagerFixture fixture;
    const auto mover = fixture.attachOwner("a", tills);
    const auto keeper = fixture.attachOwner("b", catalogue);
    fixture.delegate(start);
    const auto end = start + timing::delegationLength;
    CHECK(fixture.leaseManager.delegationEnd() == end);
    CHECK(fixture.heartbeat(end - 1001ms, "a", mover.session).reply.lease == 1000ms);
    CHECK(fixture.heartbeat(end - 300ms, "a", mover.session).reply.lease == 300ms);
    CHECK(fixture.heartbeat(end - 1ns, "a", mover.session).reply.lease == 0ms);
    const auto ended = fixture.heartbeat(end, "a", mover.session);
    CHECK(ended.code == ResultCode::DelegationMissing);
    CHECK(ended.reply.lease == 0ms);
    CHECK(ended.reply.grants.empty());
    CHECK(ended.reply.grantsVersion == 0);
    const auto kept = fixture.heartbeat(end + 1h, "b", keeper.session, catalogue);
    CHECK(kept.reply.lease == timing::leaseLength);
    CHECK(kept.reply.grants.size() == 1);
}

TEST_CASE("a delegation is usable only once its commit index is applied")
{
    // Guards against a lease manager with an old table that renews a session which another lease manager has taken
    // over.
    LeaseManagerFixture fixture;
    const auto attached = fixture.attachOwner("a");
    const LogIndex ahead { fixture.state.appliedIndex().value + 1 };
    fixture.leaseManager.addDelegation(start, { 1, ResultCode::Ok, timing::delegationLength, ahead, {} });
    CHECK(fixture.heartbeat(start, "a", attached.session).reply.lease == 0ms);
    CHECK_FALSE(fixture.leaseManager.isTableFresh(start, fixture.state.appliedIndex()));
    fixture.apply(NoOperation {});
    CHECK(fixture.heartbeat(start, "a", attached.session).reply.lease == timing::leaseLength);
    CHECK(fixture.leaseManager.isTableFresh(start + timing::delegationLength - 1ms, fixture.state.appliedIndex()));
    CHECK_FALSE(fixture.leaseManager.isTableFresh(start + timing::delegationLength, fixture.state.appliedIndex()));
}

TEST_CASE("a lease is expired only once it has certainly ended, and nothing is granted afterwards")
{
    // Guards against an upstream that resumes after a freeze while its expiry is still being committed.
    LeaseManagerFixture fixture;
    const auto attached = fixture.attachOwner("a");
    fixture.delegate(start);
    fixture.heartbeat(start, "a", attached.session);
    fixture.leaseManager.handleHeartbeatReplySent(start + 40ms, attached.upstream, attached.session, 1000ms);
    const auto end = start + 40ms + timing::withDrift(timing::leaseLength);
    CHECK(fixture.tick(end - 1ns).empty());
    CHECK(isExpiry(fixture.tick(end), attached));
    CHECK(fixture.tick(end + 499ms).empty());
    CHECK(isExpiry(fixture.tick(end + 500ms), attached));
    fixture.delegate(end);
    const auto back = fixture.heartbeat(end, "a", attached.session);
    CHECK(back.code == ResultCode::SessionOutdated);
    CHECK(back.reply.lease == 0ms);
    REQUIRE(back.proposal);

    // The attachment is applied before the expiry: the upstream keeps its slots and the expiry has no effect.
    const auto again = fixture.apply(*back.proposal);
    CHECK(again.upstream == attached.upstream);
    CHECK(fixture.tick(end + 1000ms).empty());
    CHECK(fixture.heartbeat(end + 1000ms, "a", again.session).code == ResultCode::Ok);
}

TEST_CASE("an upstream that attached here is not expired while its former lease manager may still renew it")
{
    // Guards against the loss of the attach reply: the upstream returns to its former lease manager, whose table is
    // old.
    LeaseManagerFixture fixture;
    const auto service = GENERATE(tills, catalogue);
    const auto before = fixture.attach("a", service, NodeId { 2 });
    const auto attached = fixture.attach("a", service, node, boot);
    REQUIRE(attached.upstream == before.upstream);
    const auto end = start + timing::withDrift(timing::delegationLength);
    CHECK(fixture.tick(start).empty());
    CHECK(fixture.tick(end - 1ns).empty());
    CHECK(isExpiry(fixture.tick(end), attached) == (service == tills));
    if (service == catalogue) {
        // Once the upstream has sent the session, it refuses leases of its former lease manager.
        fixture.heartbeat(end, "a", attached.session, catalogue);
        CHECK(fixture.tick(end + timing::withDrift(timing::leaseLength) - 1ns).empty());
        CHECK(isExpiry(fixture.tick(end + timing::withDrift(timing::leaseLength)), attached));
    }
}

TEST_CASE("sessions of another lease manager, another boot or a later number are not renewed")
{
    LeaseManagerFixture fixture;
    fixture.delegate(start);
    const auto other = fixture.attach("a", tills, NodeId { 2 });
    CHECK(fixture.heartbeat(start, "a", other.session).reply.lease == 0ms);
    const auto oldBoot = fixture.attach("b", tills, node, BootId { boot.value - 1 });
    CHECK(fixture.heartbeat(start, "b", oldBoot.session).reply.lease == 0ms);
    CHECK(fixture.tick(start + 1h).empty());
    const auto mine = fixture.attach("c", tills, node, boot);
    CHECK(fixture.heartbeat(start, "c", SessionId { mine.session.value + 1 }).reply.lease == 0ms);
    // Removed here once the state has a later session.
    CHECK(fixture.heartbeat(start, "c", mine.session).reply.lease == 1000ms);
    fixture.attach("c", tills, NodeId { 2 });
    CHECK(fixture.tick(start + 1h).empty());
    CHECK(fixture.leaseManager.upstreamCount() == 0);
}

TEST_CASE("a moving slot is withheld, and its release is proposed until it is applied")
{
    LeaseManagerFixture fixture;
    const auto a = fixture.attachOwner("a");
    const auto b = fixture.attach("b", tills, node, boot);
    fixture.delegate(start);
    const auto granted = fixture.heartbeat(start, "a", a.session).reply;
    CHECK(granted.grants == fixture.state.slotsOf(a.upstream));
    fixture.move(slot, b.upstream);
    auto heartbeat = LeaseManagerFixture::makeHeartbeat("a", tills, a.session);
    heartbeat.grantsVersion = granted.grantsVersion;
    const auto withheld = fixture.leaseManager.handleHeartbeat(start + 250ms, heartbeat, fixture.state);
    CHECK(withheld.reply.grantsIncluded);
    CHECK(withheld.reply.grants.empty());
    CHECK(withheld.reply.releaseWanted == fixture.state.slotsOf(a.upstream));
    CHECK_FALSE(withheld.proposal);
    heartbeat.released = withheld.reply.releaseWanted;
    heartbeat.grantsVersion = withheld.reply.grantsVersion;
    const auto released = fixture.leaseManager.handleHeartbeat(start + 500ms, heartbeat, fixture.state);
    REQUIRE(released.proposal == Command { ReleaseSlots { a.upstream, a.session, heartbeat.released } });
    // A duplicate heartbeat does not propose again; the resend does.
    CHECK_FALSE(fixture.leaseManager.handleHeartbeat(start + 500ms, heartbeat, fixture.state).proposal);
    CHECK(fixture.tick(start + 999ms).empty());
    CHECK(fixture.tick(start + 1000ms) == std::vector<Command> { *released.proposal });
    CHECK(fixture.apply(*released.proposal).code == ResultCode::Ok);
    CHECK(fixture.state.findSlot(slot)->owner == b.upstream);
    CHECK(fixture.heartbeat(start + 1100ms, "a", a.session).reply.releaseWanted.empty());
}

TEST_CASE("a leaving upstream is drained, keeps its slots until it has released them, and then expires")
{
    LeaseManagerFixture fixture;
    const auto a = fixture.attachOwner("a");
    fixture.delegate(start);
    auto heartbeat = LeaseManagerFixture::makeHeartbeat("a", tills, a.session);
    heartbeat.isLeaving = true;
    const auto leaving = fixture.leaseManager.handleHeartbeat(start, heartbeat, fixture.state);
    CHECK(leaving.reply.grants.size() == 1);
    REQUIRE(leaving.proposal == Command { DrainUpstream { a.upstream, a.session } });
    fixture.apply(*leaving.proposal);
    CHECK_FALSE(fixture.leaseManager.handleHeartbeat(start + 250ms, heartbeat, fixture.state).proposal);
    fixture.release(a, slot);
    const auto left = fixture.leaseManager.handleHeartbeat(start + 500ms, heartbeat, fixture.state);
    REQUIRE(left.proposal == Command { ExpireUpstream { a.upstream, a.session, ExpiryReason::Left } });
    CHECK(fixture.leaseManager.handleHeartbeat(start + 750ms, heartbeat, fixture.state).reply.lease == 0ms);
    fixture.apply(*left.proposal);
    CHECK(fixture.leaseManager.handleHeartbeat(start + 1s, heartbeat, fixture.state).code == ResultCode::UpstreamUnknown);
}

TEST_CASE("a leaving upstream releases its slots even if no other upstream takes them over")
{
    // Guards the time limit for new work at a leaving upstream, and against an upstream that waits indefinitely because
    // every other upstream of the service is leaving too.
    LeaseManagerFixture fixture;
    const auto a = fixture.attachOwner("a");
    fixture.delegate(start);
    auto heartbeat = LeaseManagerFixture::makeHeartbeat("a", tills, a.session);
    heartbeat.isLeaving = true;
    fixture.apply(*fixture.leaseManager.handleHeartbeat(start, heartbeat, fixture.state).proposal);
    CHECK(fixture.leaseManager.handleHeartbeat(start + leavingTimeout - 1ms, heartbeat, fixture.state).reply.releaseWanted.empty());
    const auto withheld = fixture.leaseManager.handleHeartbeat(start + leavingTimeout, heartbeat, fixture.state).reply;
    REQUIRE(withheld.releaseWanted.size() == 1);
    CHECK(withheld.grants.empty());
    heartbeat.released = withheld.releaseWanted;
    const auto released = fixture.leaseManager.handleHeartbeat(start + leavingTimeout + 50ms, heartbeat, fixture.state);
    REQUIRE(released.proposal.has_value());
    CHECK(fixture.apply(*released.proposal).code == ResultCode::Ok);
    CHECK(fixture.state.findSlot(slot)->owner == UpstreamId {});
    const auto left = fixture.leaseManager.handleHeartbeat(start + leavingTimeout + 100ms, heartbeat, fixture.state);
    CHECK(left.proposal == Command { ExpireUpstream { a.upstream, a.session, ExpiryReason::Left } });
}
