#include "core/registry/KeyCoordinator.h"

#include "core/registry/RegistryFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

/// A leader's coordinator with a state to which commands are applied at once, and two upstreams of a sharded service.
struct Leader {
    RegistryState state;
    KeyCoordinator coordinator;
    RegisterUpstream from = announcement("from", "k");
    RegisterUpstream to = announcement("to", "k");
    Instant now { std::chrono::seconds { 100 } };

    Leader()
    {
        this->apply(ChangeItems { { serviceItem("k", true) }, {} });
        this->apply(this->from);
        this->apply(this->to);
        this->apply(AssignKeyRanges { "k", { { 0, keyNumberCount - 1, this->from.key, "" } } });
        this->coordinator.becameLeader(this->now, this->state);
    }

    void apply(const Command& command) { REQUIRE(applyNext(this->state, command) == ResultCode::Ok); }

    KeyHeartbeatReply sendHeartbeat(const KeyHeartbeat& message)
    {
        REQUIRE(this->coordinator.recordHeartbeat(this->now, message));
        return this->coordinator.makeReply(message, this->state);
    }

    /// @return The assignments that follow from a heartbeat within 900 ms.
    std::vector<Command> assignmentsAfter(const KeyHeartbeat& message)
    {
        REQUIRE(this->coordinator.recordHeartbeat(this->now, message));
        this->coordinator.recordReleases(this->now, message, this->state);
        auto commands = this->coordinator.decide(this->now + milliseconds { 900 }, this->state);
        std::erase_if(commands, [](const Command& command) { return !std::holds_alternative<AssignKeyRanges>(command); });
        return commands;
    }
};

bool isGranted(const KeyHeartbeatReply& reply, KeyNumber key)
{
    return std::ranges::any_of(reply.grants, [key](const KeyRange& range) { return range.first <= key && key <= range.last; });
}

std::ptrdiff_t countAssignments(const std::vector<Command>& commands)
{
    return std::ranges::count_if(commands, [](const Command& command) { return std::holds_alternative<AssignKeyRanges>(command); });
}

const HeldKeys allKeys { 0, keyNumberCount - 1, Fence { 4 } };

}

TEST_CASE("moving keys are not granted to their old owner again before the new owner has them")
{
    // Guards against two holders of a key: the reply to the heartbeat that released keys granted them again.
    Leader leader;
    CHECK(isGranted(leader.sendHeartbeat(heartbeat(leader.from, 1, { allKeys })), 5));
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    leader.now += milliseconds { 1'000 };
    const auto revokingReply = leader.sendHeartbeat(heartbeat(leader.from, 2, { allKeys }));
    REQUIRE(!isGranted(revokingReply, 5));
    CHECK(isGranted(revokingReply, 500));
    leader.now += milliseconds { 100 };
    const auto releasingHeartbeat = heartbeat(leader.from, 3, { { 100, keyNumberCount - 1, Fence { 4 } } }, { { 0, 99, "token" } });
    const auto commands = leader.assignmentsAfter(releasingHeartbeat);
    REQUIRE(commands.size() == 1);
    CHECK(std::get<AssignKeyRanges>(commands[0]).grants.at(0) == KeyRangeGrant { 0, 99, leader.to.key, "token" });
    // The assignment is not applied yet.
    CHECK(!isGranted(leader.coordinator.makeReply(releasingHeartbeat, leader.state), 5));
    leader.apply(commands[0]);
    CHECK(!isGranted(leader.sendHeartbeat(heartbeat(leader.from, 4, { { 100, keyNumberCount - 1, Fence { 4 } } })), 5));
    CHECK(isGranted(leader.sendHeartbeat(heartbeat(leader.to, 2)), 5));
}

TEST_CASE("released keys are assigned shortly before the heartbeat of their next owner")
{
    // If entry VMs learn of an owner before the owner itself does, they send it requests that it refuses.
    Leader leader;
    for (int i = 1; i <= 3; ++i) {
        leader.sendHeartbeat(heartbeat(leader.to, static_cast<std::uint64_t>(i)));
        leader.now += milliseconds { 900 };
    }
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    leader.now -= milliseconds { 400 };
    static_cast<void>(leader.sendHeartbeat(heartbeat(leader.from, 1, { allKeys })));
    leader.now += milliseconds { 50 };
    const auto releasingHeartbeat = heartbeat(leader.from, 2, { { 100, keyNumberCount - 1, Fence { 4 } } });
    REQUIRE(leader.coordinator.recordHeartbeat(leader.now, releasingHeartbeat));
    leader.coordinator.recordReleases(leader.now, releasingHeartbeat, leader.state);
    CHECK(countAssignments(leader.coordinator.decide(leader.now, leader.state)) == 0);
    CHECK(countAssignments(leader.coordinator.decide(leader.now + milliseconds { 240 }, leader.state)) == 1);
}

TEST_CASE("released keys are assigned at once if the reply to their next owner's heartbeat is delayed")
{
    // Guards against keys that stay unserved until the next heartbeat although the delayed reply can grant them at
    // once.
    Leader leader;
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    leader.now += milliseconds { 900 };
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    REQUIRE(leader.coordinator.recordHeartbeat(leader.now, heartbeat(leader.to, 2)));
    leader.coordinator.recordDelayedReply(leader.to.key, leader.now + milliseconds { 500 });
    REQUIRE(!isGranted(leader.sendHeartbeat(heartbeat(leader.from, 1, { allKeys })), 5));
    leader.now += milliseconds { 100 };
    const auto releasingHeartbeat = heartbeat(leader.from, 2, { { 100, keyNumberCount - 1, Fence { 4 } } });
    REQUIRE(leader.coordinator.recordHeartbeat(leader.now, releasingHeartbeat));
    leader.coordinator.recordReleases(leader.now, releasingHeartbeat, leader.state);
    const auto commands = leader.coordinator.decide(leader.now, leader.state);
    REQUIRE(countAssignments(commands) == 1);
    CHECK(std::get<AssignKeyRanges>(commands[0]).grants.at(0).expectedDelay == Duration::zero());
}

TEST_CASE("a heartbeat has an update if its sender is to hold other keys than it lists")
{
    Leader leader;
    const auto& state = leader.state;
    const auto hasUpdate = [&](std::vector<HeldKeys> held) { return leader.coordinator.hasUpdate(heartbeat(leader.from, 1, std::move(held)), state); };
    CHECK(hasUpdate({}));
    CHECK(!hasUpdate({ allKeys }));
    CHECK(!hasUpdate({ { 0, 99, Fence { 4 } }, { 100, keyNumberCount - 1, Fence { 4 } } }));
    CHECK(hasUpdate({ { 0, keyNumberCount - 1, Fence { 3 } } }));
    CHECK(!leader.coordinator.hasUpdate(heartbeat(leader.to, 1), state));
    CHECK(leader.coordinator.hasUpdate(heartbeat(leader.to, 1, { { 0, 9, Fence { 2 } } }), state));
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    CHECK(hasUpdate({ allKeys }));
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    REQUIRE(!isGranted(leader.sendHeartbeat(heartbeat(leader.from, 1, { allKeys })), 5));
    // The upstream still has unfinished requests for keys that it was told to release.
    CHECK(hasUpdate({ allKeys }));
    CHECK(!hasUpdate({ { 100, keyNumberCount - 1, Fence { 4 } } }));
}

TEST_CASE("a lease is counted from the arrival of the heartbeat, not from its reply")
{
    Leader leader;
    const auto message = heartbeat(leader.from, 1, { allKeys });
    REQUIRE(leader.coordinator.recordHeartbeat(leader.now, message));
    const KeyLeaseTiming timing;
    const auto leaseEnd = leader.now + timing.lease + timing.lease / timing.driftDivisor;
    leader.now += timing.replyHold;
    static_cast<void>(leader.coordinator.makeReply(message, leader.state));
    leader.apply(RemoveUpstream { leader.from.key, false });
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    CHECK(countAssignments(leader.coordinator.decide(leaseEnd - milliseconds { 1 }, leader.state)) == 0);
    CHECK(countAssignments(leader.coordinator.decide(leaseEnd + milliseconds { 1 }, leader.state)) == 1);
}

TEST_CASE("keys of a later adjacent move are not assigned together with released keys")
{
    // Guards against two holders of a key: both moves have the same owner, fence and target, so their ranges are
    // joined.
    const auto later = GENERATE(KeyRangeMove { 200, 299, {} }, KeyRangeMove { 0, 99, {} });
    Leader leader;
    leader.apply(BeginKeyMoves { "k", { { 100, 199, leader.to.key } } });
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    static_cast<void>(leader.sendHeartbeat(heartbeat(leader.from, 1, { allKeys })));
    leader.now += milliseconds { 2'000 };
    REQUIRE(!isGranted(leader.sendHeartbeat(heartbeat(leader.from, 2, { allKeys })), 150));
    leader.apply(BeginKeyMoves { "k", { { later.first, later.last, leader.to.key } } });
    REQUIRE(leader.state.findRange("k", 150) == leader.state.findRange("k", later.first));
    const std::vector<HeldKeys> held { { 0, 99, Fence { 4 } }, { 200, keyNumberCount - 1, Fence { 4 } } };
    const auto commands = leader.assignmentsAfter(heartbeat(leader.from, 3, held, { { 100, 199, "token" } }));
    REQUIRE(commands.size() == 1);
    CHECK(std::get<AssignKeyRanges>(commands[0]).grants == std::vector<KeyRangeGrant> { { 100, 199, leader.to.key, "token" } });
}

TEST_CASE("keys for which the owner has unfinished requests are not reassigned")
{
    Leader leader;
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    static_cast<void>(leader.sendHeartbeat(heartbeat(leader.from, 1, { allKeys })));
    leader.now += milliseconds { 2'000 };
    REQUIRE(!isGranted(leader.sendHeartbeat(heartbeat(leader.from, 2, { allKeys })), 5));
    leader.now += milliseconds { 100 };
    CHECK(leader.assignmentsAfter(heartbeat(leader.from, 3, { allKeys })).empty());
}

TEST_CASE("a heartbeat that arrives after a later one is ignored")
{
    Leader leader;
    REQUIRE(leader.coordinator.recordHeartbeat(leader.now, heartbeat(leader.from, 5)));
    CHECK(!leader.coordinator.recordHeartbeat(leader.now, heartbeat(leader.from, 4)));
    CHECK(!leader.coordinator.recordHeartbeat(leader.now, heartbeat(leader.from, 5)));
}

TEST_CASE("keys of an unresponsive upstream are reassigned only after its lease has ended")
{
    Leader leader;
    static_cast<void>(leader.sendHeartbeat(heartbeat(leader.from, 1, { allKeys })));
    const KeyLeaseTiming timing;
    const auto leaseEnd = leader.now + timing.lease + timing.lease / timing.driftDivisor;
    leader.apply(RemoveUpstream { leader.from.key, false });
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    leader.now = leaseEnd - milliseconds { 10 };
    CHECK(countAssignments(leader.coordinator.decide(leader.now, leader.state)) == 0);
    leader.now = leaseEnd + milliseconds { 1 };
    CHECK(countAssignments(leader.coordinator.decide(leader.now, leader.state)) == 1);
}

TEST_CASE("a new leader assumes that every lease was granted just before it began")
{
    Leader leader;
    leader.apply(RemoveUpstream { leader.from.key, false });
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    leader.now += milliseconds { 3'900 };
    CHECK(countAssignments(leader.coordinator.decide(leader.now, leader.state)) == 0);
}

TEST_CASE("a restart frees the keys of the former incarnation at once")
{
    Leader leader;
    static_cast<void>(leader.sendHeartbeat(heartbeat(leader.from, 1, { allKeys })));
    auto restarted = leader.from;
    restarted.key.incarnation = 2;
    leader.apply(restarted);
    leader.sendHeartbeat(heartbeat(restarted, 1));
    CHECK(countAssignments(leader.coordinator.decide(leader.now + milliseconds { 1 }, leader.state)) == 1);
}

TEST_CASE("keys of a draining upstream are revoked at once")
{
    Leader leader;
    static_cast<void>(leader.sendHeartbeat(heartbeat(leader.from, 1, { allKeys })));
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    auto leaving = leader.from;
    leaving.isDraining = true;
    leader.apply(leaving);
    const auto commands = leader.coordinator.decide(leader.now + milliseconds { 25 }, leader.state);
    REQUIRE(commands.size() == 1);
    leader.apply(commands[0]);
    leader.now += milliseconds { 50 };
    CHECK(leader.sendHeartbeat(heartbeat(leaving, 2, { allKeys })).grants.empty());
}

TEST_CASE("an unresponsive upstream is removed once its lease has ended")
{
    Leader leader;
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    leader.now += milliseconds { 3'000 };
    leader.sendHeartbeat(heartbeat(leader.to, 2));
    leader.now += milliseconds { 1'500 };
    const auto commands = leader.coordinator.decide(leader.now, leader.state);
    CHECK(std::ranges::any_of(commands, [&](const Command& command) { return command == Command { RemoveUpstream { leader.from.key, false } }; }));
    CHECK(std::ranges::none_of(commands, [&](const Command& command) { return command == Command { RemoveUpstream { leader.to.key, false } }; }));
}

TEST_CASE("a late announcement does not end draining")
{
    Leader leader;
    auto leaving = leader.from;
    leaving.isDraining = true;
    leader.apply(leaving);
    CHECK(!leader.coordinator.registrationFor(heartbeat(leader.from, 9), leader.state));
    CHECK(leader.coordinator.registrationFor(heartbeat(announcement("new", "k"), 1), leader.state));
}

TEST_CASE("an owner that refuses most of its requests is not considered fast")
{
    // Guards against moving more keys to an overloaded owner: refused requests counted as responses that took no time.
    Leader leader;
    leader.apply(AssignKeyRanges { "k", { { 0, 32'767, leader.from.key, "" }, { 32'768, keyNumberCount - 1, leader.to.key, "" } } });
    leader.sendHeartbeat(heartbeat(leader.from, 1));
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    std::size_t movedFrom = 0;
    std::size_t movedTo = 0;
    for (std::uint64_t round = 2; round < 12; ++round) {
        // "from" gets three times the load of "to", serves a third of it, and takes as long as "to" per served request.
        const ServiceKeyLoad load { "k", { { 0, 32'767, 90, 30, 30 * 60 }, { 32'768, keyNumberCount - 1, 30, 30, 30 * 60 } } };
        leader.coordinator.addLoad(leader.now, KeyLoadReport { NodeId { 9 }, { load } }, leader.state);
        leader.now += milliseconds { 600 };
        leader.sendHeartbeat(heartbeat(leader.from, round));
        leader.sendHeartbeat(heartbeat(leader.to, round));
        for (const auto& command : leader.coordinator.decide(leader.now, leader.state)) {
            if (const auto* begun = std::get_if<BeginKeyMoves>(&command)) {
                for (const auto& move : begun->moves) {
                    ++(move.target == leader.to.key ? movedFrom : movedTo);
                }
            }
        }
    }
    CHECK(movedFrom > 0);
    CHECK(movedTo == 0);
}

TEST_CASE("an assignment contains the expected delay until its owner learns of it")
{
    Leader leader;
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        leader.sendHeartbeat(heartbeat(leader.to, sequence));
        leader.now += milliseconds { 900 };
    }
    // The next heartbeat of "to" is due now and 900 ms later.
    leader.sendHeartbeat(heartbeat(leader.to, 4));
    leader.apply(RemoveUpstream { leader.from.key, true });
    leader.now += milliseconds { 100 };
    std::vector<Command> commands;
    for (int step = 0; step < 100 && countAssignments(commands) == 0; ++step) {
        leader.now += milliseconds { 50 };
        commands = leader.coordinator.decide(leader.now, leader.state);
    }
    REQUIRE(countAssignments(commands) == 1);
    const auto& grant = std::get<AssignKeyRanges>(commands.back()).grants.at(0);
    CHECK(grant.owner == leader.to.key);
    CHECK(grant.expectedDelay >= Duration::zero());
    CHECK(grant.expectedDelay <= milliseconds { 900 });
}

TEST_CASE("an upstream that returns is not granted keys that are already proposed for another one")
{
    // Guards against two holders of a key, and a fence that goes back: the dead owner registers again in the log entry
    // before the one that assigns its keys, and the reply to that heartbeat granted them under the old fence.
    Leader leader;
    leader.now += std::chrono::seconds { 10 };
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    leader.apply(RemoveUpstream { leader.from.key, false });
    const auto commands = leader.coordinator.decide(leader.now, leader.state);
    REQUIRE(countAssignments(commands) == 1);
    const auto returning = heartbeat(leader.from, 1);
    REQUIRE(leader.coordinator.registrationFor(returning, leader.state));
    leader.apply(leader.from);
    REQUIRE(leader.coordinator.recordHeartbeat(leader.now, returning));
    CHECK(!leader.coordinator.hasUpdate(returning, leader.state));
    CHECK(!isGranted(leader.coordinator.makeReply(returning, leader.state), 5));
    leader.apply(*std::ranges::find_if(commands, [](const Command& command) { return std::holds_alternative<AssignKeyRanges>(command); }));
    CHECK(!isGranted(leader.sendHeartbeat(heartbeat(leader.from, 2)), 5));
    CHECK(isGranted(leader.sendHeartbeat(heartbeat(leader.to, 2)), 5));
}

TEST_CASE("released keys are not granted to their owner again if their next owner dies while the assignment is proposed")
{
    Leader leader;
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    leader.sendHeartbeat(heartbeat(leader.from, 1, { allKeys }));
    const auto releasing = heartbeat(leader.from, 2, { { 100, keyNumberCount - 1, Fence { 4 } } }, { { 0, 99, "token" } });
    const auto commands = leader.assignmentsAfter(releasing);
    REQUIRE(commands.size() == 1);
    leader.apply(RemoveUpstream { leader.to.key, false });
    CHECK(!isGranted(leader.sendHeartbeat(heartbeat(leader.from, 3, { { 100, keyNumberCount - 1, Fence { 4 } } })), 5));
    leader.apply(commands[0]);
    CHECK(!isGranted(leader.sendHeartbeat(heartbeat(leader.from, 4, { { 100, keyNumberCount - 1, Fence { 4 } } })), 5));
}

TEST_CASE("a heartbeat that never listed keys is no proof of their release while a reply may still grant them")
{
    // Guards against two holders of a key: a reply that granted the keys is late, the next heartbeats do not list them,
    // and the owner takes the reply after another upstream got the keys.
    Leader leader;
    leader.sendHeartbeat(heartbeat(leader.to, 1));
    CHECK(isGranted(leader.sendHeartbeat(heartbeat(leader.from, 1)), 5));
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    leader.now += milliseconds { 100 };
    REQUIRE(!isGranted(leader.sendHeartbeat(heartbeat(leader.from, 2)), 5));
    leader.now += milliseconds { 100 };
    SECTION("no proof") { CHECK(leader.assignmentsAfter(heartbeat(leader.from, 3)).empty()); }
    SECTION("a row of released keys is proof") { CHECK(leader.assignmentsAfter(heartbeat(leader.from, 3, {}, { { 0, 99, "token" } })).size() == 1); }
    SECTION("a heartbeat without keys that were listed before is proof")
    {
        CHECK(leader.assignmentsAfter(heartbeat(leader.from, 3, { allKeys })).empty());
        CHECK(leader.assignmentsAfter(heartbeat(leader.from, 4)).size() == 1);
    }
    SECTION("the end of every lease is proof")
    {
        leader.now += milliseconds { 4'100 };
        CHECK(leader.assignmentsAfter(heartbeat(leader.from, 3)).size() == 1);
    }
}

TEST_CASE("keys are not moved to a cold upstream, which keeps those that it has")
{
    // Guards against a cold upstream that gets more load, and against moves of all its keys as if it were draining.
    Leader leader;
    const auto third = announcement("third", "k");
    leader.apply(third);
    leader.apply(AssignKeyRanges { "k", { { 0, 29'999, leader.to.key, "" } } });
    auto service = serviceItem("k", true, 2);
    auto& content = std::get<ServiceItem>(service.content);
    content.warmUpTime = std::chrono::seconds { 3 };
    content.warmUpMilliRequestsPerSecond = 5'200;
    leader.apply(ChangeItems { { service }, {} });
    for (const auto& upstream : { leader.from, leader.to, third }) {
        REQUIRE(leader.coordinator.recordHeartbeat(leader.now, heartbeat(upstream, 1)));
    }
    auto cold = heartbeat(leader.to, 2);
    cold.warmUpLeft = std::chrono::seconds { 3 };
    const auto command = leader.coordinator.warmUps().commandFor(leader.now, cold, true, leader.state);
    REQUIRE(command);
    leader.coordinator.warmUps().recordProposed(leader.now, *command, content.warmUpTime);
    leader.apply(*command);
    leader.coordinator.warmUps().recordApplied(*command);

    // The cold upstream and the third one are far below their shares.
    KeyLoadReport report { NodeId { 9 }, { { "k", {} } } };
    for (std::uint32_t key = 30'000; key < keyNumberCount; key += 500) {
        report.services[0].loads.push_back({ static_cast<KeyNumber>(key), static_cast<KeyNumber>(key), 20, 0, 0 });
    }
    leader.coordinator.addLoad(leader.now, report, leader.state);
    leader.now += milliseconds { 600 };
    std::size_t moves = 0;
    for (const auto& decision : leader.coordinator.decide(leader.now, leader.state)) {
        const auto* begun = std::get_if<BeginKeyMoves>(&decision);
        REQUIRE(begun != nullptr);
        for (const auto& move : begun->moves) {
            CHECK(move.target == third.key);
            CHECK(move.first >= 30'000);
            ++moves;
        }
    }
    CHECK(moves > 0);

    // If no other upstream can hold them, the cold one gets the keys of the one that drains.
    leader.apply(RemoveUpstream { third.key, true });
    auto draining = leader.from;
    draining.isDraining = true;
    leader.apply(draining);
    leader.now += milliseconds { 600 };
    const auto commands = leader.coordinator.decide(leader.now, leader.state);
    REQUIRE(!commands.empty());
    for (const auto& move : std::get<BeginKeyMoves>(commands.back()).moves) {
        CHECK(move.target == leader.to.key);
    }
}
