#include "core/ownership/Coordinator.h"
#include "core/ownership/BoundedLoadPlacement.h"

#include "core/support/OwnershipFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1h };
constexpr auto delegation = timing::withDrift(timing::delegationLength);
constexpr SlotId slot { tills, 3 };

struct CoordinatorFixture : OwnershipFixture {
    Coordinator<BoundedLoadPlacement> coordinator { BoundedLoadPlacement {} };
    Instant now { start };
    std::uint64_t sequence {};

    CoordinatorFixture()
    {
        this->apply(AcceptBundle { this->bundle(1) });
        this->coordinator.becameLeader(this->now, this->state);
    }

    ApplyOutcome commit(const Command& command)
    {
        auto outcome = this->apply(command);
        this->coordinator.applied(this->now, { Term { 1 }, this->state.appliedIndex(), command }, outcome, this->state);
        return outcome;
    }

    ApplyOutcome join(const std::string& name, NodeId leaseManager, ServiceId service = tills, BootId boot = { 1 }, bool checksGrants = true)
    {
        return this->commit(attachment(name, service, leaseManager, boot, checksGrants));
    }

    DelegationReply renew(NodeId entry, BootId boot = { 1 }, BundleVersion version = { 1 }, bool isHealthy = true)
    {
        return this->renewAt(entry, this->state.appliedIndex(), boot, version, isHealthy);
    }

    DelegationReply renewAt(NodeId entry, LogIndex applied, BootId boot = { 1 }, BundleVersion version = { 1 }, bool isHealthy = true)
    {
        const DelegationRequest request { ++this->sequence, boot, applied, version, isHealthy, {}, {} };
        auto reply = this->coordinator.delegate(this->now, entry, request, this->state);
        if (reply.code == ResultCode::Ok) {
            this->coordinator.delegationSent(this->now, entry, boot);
        }
        return reply;
    }

    std::vector<Command> decide() { return this->coordinator.decide(this->now, this->state); }

    /// Commits the coordinator's decisions until it has none left.
    void commitDecisions()
    {
        for (auto commands = this->decide(); !commands.empty(); commands = this->decide()) {
            for (const auto& command : commands) {
                this->commit(command);
            }
        }
    }
};

template <typename T>
std::vector<T> commandsOf(const std::vector<Command>& commands)
{
    std::vector<T> found;
    for (const auto& command : commands) {
        if (const auto* match = std::get_if<T>(&command)) {
            found.push_back(*match);
        }
    }
    return found;
}

}

TEST_CASE("unowned slots are spread over the live upstreams of their service and proposed once")
{
    CoordinatorFixture fixture;
    const auto a = fixture.join("a", { 1 });
    const auto b = fixture.join("b", { 2 });
    const auto first = commandsOf<AssignSlots>(fixture.decide());
    REQUIRE(first.size() == 1);
    CHECK(first[0].assignments.size() == fixturePartitions);
    CHECK(fixture.decide().empty());
    fixture.coordinator.handleDroppedProposals();
    const auto second = commandsOf<AssignSlots>(fixture.decide());
    REQUIRE(second == first);
    fixture.commit(second[0]);
    CHECK(fixture.state.slotCount(a.upstream) == fixturePartitions / 2);
    CHECK(fixture.state.slotCount(b.upstream) == fixturePartitions / 2);
}

TEST_CASE("a session is taken over once its lease manager's delegation has certainly ended, not earlier, and only under the rule move")
{
    CoordinatorFixture fixture;
    const auto mover = fixture.join("a", { 1 }, tills);
    fixture.join("b", { 1 }, catalogue);
    fixture.commitDecisions();
    fixture.now += 5s;
    fixture.renew({ 1 });
    CHECK(commandsOf<ExpireUpstream>(fixture.decide()).empty());
    fixture.now += delegation - 1ns;
    CHECK(commandsOf<ExpireUpstream>(fixture.decide()).empty());
    fixture.now += 1ns;
    CHECK(commandsOf<ExpireUpstream>(fixture.decide()) == std::vector<ExpireUpstream> { { mover.upstream, mover.session, ExpiryReason::DelegationEnded } });
}

TEST_CASE("a new leader waits one delegation length before it takes over sessions of an unresponsive entry VM")
{
    // The former leader may have granted a delegation just before it was cut off.
    CoordinatorFixture fixture;
    fixture.join("a", { 1 });
    fixture.commitDecisions();
    fixture.now += 1h;
    fixture.coordinator.becameLeader(fixture.now, fixture.state);
    fixture.now += delegation - 1ns;
    CHECK(commandsOf<ExpireUpstream>(fixture.decide()).empty());
    fixture.now += 1ns;
    CHECK(commandsOf<ExpireUpstream>(fixture.decide()).size() == 1);
}

TEST_CASE("an entry VM gets no delegation while the expiry of a session attached to it is pending")
{
    // Guards against a lease manager that reconnects, gets a delegation, and renews a session whose expiry commits a
    // moment later.
    CoordinatorFixture fixture;
    fixture.join("a", { 1 });
    fixture.commitDecisions();
    fixture.now += 10s;
    const auto expiries = commandsOf<ExpireUpstream>(fixture.decide());
    REQUIRE(expiries.size() == 1);
    CHECK(fixture.renew({ 1 }).code == ResultCode::DelegationMissing);
    fixture.coordinator.handleDroppedProposals();
    CHECK(fixture.renew({ 1 }).code == ResultCode::DelegationMissing);
    CHECK(commandsOf<ExpireUpstream>(fixture.decide()) == expiries);
    fixture.commit(expiries[0]);
    const auto renewed = fixture.renew({ 1 });
    CHECK(renewed.code == ResultCode::Ok);
    CHECK(renewed.commitIndex == fixture.state.appliedIndex());
}

TEST_CASE("sessions of an old boot end with its last delegation, even if the entry VM has restarted")
{
    CoordinatorFixture fixture;
    const auto a = fixture.join("a", { 1 });
    fixture.commitDecisions();
    fixture.now += 5s;
    fixture.renew({ 1 }, { 1 });
    fixture.now += 500ms;
    fixture.renew({ 1 }, { 2 });
    CHECK(fixture.renew({ 1 }, { 1 }).code == ResultCode::DelegationMissing);
    fixture.now += delegation - 500ms - 1ns;
    CHECK(commandsOf<ExpireUpstream>(fixture.decide()).empty());
    fixture.now += 1ns;
    CHECK(commandsOf<ExpireUpstream>(fixture.decide()).size() == 1);
    CHECK(fixture.state.findUpstream(a.upstream) != nullptr);
}

TEST_CASE("after a change of rule from keep to move, a lease manager that may not have applied it keeps its sessions")
{
    // Guards against two owners: a lease manager that is cut off follows the rule in its own copy of the state.
    CoordinatorFixture fixture;
    fixture.join("a", { 1 }, catalogue);
    auto next = fixture.bundle(2);
    next.bundle.services[0].zoneRule = ZoneRule::Move;
    fixture.commitDecisions();
    const bool hasAppliedRule = GENERATE(true, false);
    if (!hasAppliedRule) {
        fixture.renew({ 1 });
    }
    fixture.commit(AcceptBundle { next });
    fixture.renew({ 2 });
    fixture.renew({ 3 });
    if (hasAppliedRule) {
        fixture.renew({ 1 });
    }
    fixture.now += 1h;
    CHECK(commandsOf<ExpireUpstream>(fixture.decide()).size() == (hasAppliedRule ? 1 : 0));
}

TEST_CASE("a slot of an owner that does not check grants is reassigned only once every table is current")
{
    // Guards against an entry VM that still sends requests to the former owner, which would accept them.
    CoordinatorFixture fixture;
    const auto a = fixture.join("a", { 1 }, tills, { 1 }, false);
    fixture.commitDecisions();
    const auto b = fixture.join("b", { 2 });
    fixture.now += 10s;
    const auto before = fixture.state.appliedIndex();
    fixture.renew({ 2 });
    fixture.commit(ExpireUpstream { a.upstream, a.session, ExpiryReason::LeaseEnded });
    const auto renewedAt = fixture.now;
    const auto changesLeader = GENERATE(false, true);
    if (changesLeader) {
        // The wait counts from when this member applied the entry as a follower: any delegation of the earlier leader
        // whose holder lacks the entry was granted before that.
        fixture.now += 1s;
        fixture.coordinator.becameLeader(fixture.now, fixture.state);
    }
    // Entry VM 2 keeps renewing with a table that lacks the expiry.
    fixture.now = renewedAt + delegation - 1ns;
    fixture.renewAt({ 2 }, before);
    CHECK(commandsOf<AssignSlots>(fixture.decide()).empty());
    fixture.now += 1ns;
    const auto assigned = commandsOf<AssignSlots>(fixture.decide());
    REQUIRE(assigned.size() == 1);
    CHECK(assigned[0].assignments.front().owner == b.upstream);
}

TEST_CASE("a slot of an owner that does not check grants is reassigned as soon as every holder of a delegation has applied its release")
{
    // Guards against reassigning the slot while an entry VM still sends to the former owner, and against an outage of
    // one delegation length if none does.
    CoordinatorFixture fixture;
    const auto a = fixture.join("a", { 1 }, tills, { 1 }, false);
    fixture.commitDecisions();
    const auto b = fixture.join("b", { 2 });
    fixture.now += 10s;
    const auto before = fixture.state.appliedIndex();
    fixture.renew({ 1 });
    fixture.renew({ 2 });
    fixture.commit(ExpireUpstream { a.upstream, a.session, ExpiryReason::LeaseEnded });
    fixture.now += 1ms;
    fixture.renew({ 1 });
    fixture.renewAt({ 2 }, before);
    CHECK(commandsOf<AssignSlots>(fixture.decide()).empty());
    fixture.renew({ 2 });
    const auto assigned = commandsOf<AssignSlots>(fixture.decide());
    REQUIRE(assigned.size() == 1);
    CHECK(assigned[0].assignments.front().owner == b.upstream);
}

TEST_CASE("slots of a draining upstream move at once, regardless of the service's limit on rebalancing moves")
{
    CoordinatorFixture fixture;
    const auto a = fixture.join("a", { 1 });
    fixture.commitDecisions();
    const auto b = fixture.join("b", { 1 });
    fixture.commitDecisions();
    fixture.commit(DrainUpstream { a.upstream, a.session });
    const auto moves = commandsOf<BeginMove>(fixture.decide());
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].moves.size() == fixture.state.slotCount(a.upstream));
    CHECK(moves[0].moves.front().owner == b.upstream);
}

TEST_CASE("a new upstream gets slots by moves, at most as many per minute as its service allows")
{
    CoordinatorFixture fixture;
    auto next = fixture.bundle(2);
    next.bundle.services[1].movesPerMinute = 2;
    fixture.commit(AcceptBundle { next });
    fixture.join("a", { 1 });
    fixture.commitDecisions();
    const auto b = fixture.join("b", { 2 });
    std::size_t moved = 0;
    for (int second = 0; second < 130; ++second) {
        fixture.now += 1s;
        fixture.renew({ 1 });
        fixture.renew({ 2 });
        for (const auto& command : fixture.decide()) {
            fixture.commit(command);
            for (const auto& begun : commandsOf<BeginMove>({ command })) {
                moved += begun.moves.size();
                CHECK(begun.moves.front().owner == b.upstream);
            }
        }
        // Moves start 10 s after the election, when loads are known.
        CHECK(moved <= (second < 69 ? 2U : 4U));
    }
    CHECK(moved == 4);
}

TEST_CASE("a bundle reaches the next region once the entry VMs in contact run it and are healthy")
{
    CoordinatorFixture fixture;
    auto next = fixture.bundle(2);
    next.bundle.rollout = { wcape, ecape };
    for (std::uint32_t entry = 1; entry <= 3; ++entry) {
        fixture.renew({ entry });
    }
    fixture.now += delegation;
    fixture.commit(AcceptBundle { next });
    fixture.renew({ 1 }, { 1 }, { 2 });
    fixture.renew({ 2 }, { 1 }, { 1 });
    fixture.renew({ 3 }, { 1 }, { 1 });
    CHECK(commandsOf<AdvanceRollout>(fixture.decide()).empty());
    SECTION("unhealthy")
    {
        fixture.renew({ 2 }, { 1 }, { 2 }, false);
        CHECK(commandsOf<AdvanceRollout>(fixture.decide()).empty());
    }
    SECTION("no contact since the bundle reached it")
    {
        // Guards against a bundle that stops the entry VMs of its first region and is then rolled out to the next one.
        fixture.now += delegation;
        fixture.renew({ 3 }, { 1 }, { 1 });
        CHECK(commandsOf<AdvanceRollout>(fixture.decide()).empty());
    }
    SECTION("healthy")
    {
        fixture.renew({ 2 }, { 1 }, { 2 });
        const auto advanced = commandsOf<AdvanceRollout>(fixture.decide());
        REQUIRE(advanced == std::vector<AdvanceRollout> { { { 2 }, 2 } });
        CHECK(commandsOf<AdvanceRollout>(fixture.decide()).empty());
        fixture.commit(advanced[0]);
        CHECK(fixture.state.bundleInForce(ecape)->bundle.version == BundleVersion { 2 });
    }
}

TEST_CASE("hot keys are isolated by their share of the load and merged when cold")
{
    CoordinatorFixture fixture;
    fixture.join("a", { 1 });
    fixture.join("b", { 1 });
    fixture.commitDecisions();
    const auto report = [&](std::uint32_t hot) {
        fixture.now += 500ms;
        DelegationRequest request { ++fixture.sequence, { 1 }, fixture.state.appliedIndex(), { 1 }, true, {}, {} };
        request.loads = { { slot, 1000 } };
        request.hotKeys = { { tills, "fabric", hot }, { tills, "thread", 2 } };
        fixture.coordinator.delegate(fixture.now, { 1 }, request, fixture.state);
        fixture.commitDecisions();
    };
    for (int i = 0; i < 30; ++i) {
        report(100);
    }
    REQUIRE(fixture.state.findHotKey(tills, "fabric") != nullptr);
    CHECK(fixture.state.findHotKey(tills, "thread") == nullptr);
    for (int i = 0; i < 30; ++i) {
        report(3);
    }
    // Between both thresholds the key stays isolated.
    CHECK(fixture.state.findHotKey(tills, "fabric") != nullptr);
    for (int i = 0; i < 30; ++i) {
        report(0);
        fixture.state.forEachUpstream([&](const UpstreamRecord& upstream) {
            for (const auto& owned : fixture.state.slotsOf(upstream.id)) {
                if (fixture.state.findSlot(owned.slot)->moveTarget != UpstreamId {}) {
                    fixture.commit(ReleaseSlots { upstream.id, upstream.session, { owned } });
                    return;
                }
            }
        });
    }
    CHECK(fixture.state.findHotKey(tills, "fabric") == nullptr);
}
