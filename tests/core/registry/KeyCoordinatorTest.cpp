#include "core/registry/KeyCoordinator.h"

#include "core/registry/RegistryFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

/// A coordinator over a state whose entries are applied at once, with two upstreams of a sharded service.
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

    KeyHeartbeatReply beat(const KeyHeartbeat& message)
    {
        REQUIRE(this->coordinator.note(this->now, message));
        return this->coordinator.answer(message, this->state);
    }

    /// @return The assignments that follow from a heartbeat, at whatever time they are due.
    std::vector<Command> releases(const KeyHeartbeat& message)
    {
        REQUIRE(this->coordinator.note(this->now, message));
        this->coordinator.takeReleases(this->now, message, this->state);
        auto commands = this->coordinator.decide(this->now + milliseconds { 900 }, this->state);
        std::erase_if(commands, [](const Command& command) { return !std::holds_alternative<AssignKeyRanges>(command); });
        return commands;
    }
};

bool grants(const KeyHeartbeatReply& answer, KeyNumber key)
{
    return std::ranges::any_of(answer.grants, [key](const KeyRange& range) { return range.first <= key && key <= range.last; });
}

std::ptrdiff_t assignments(const std::vector<Command>& commands)
{
    return std::ranges::count_if(commands, [](const Command& command) { return std::holds_alternative<AssignKeyRanges>(command); });
}

const HeldKeys everything { 0, keyNumberCount - 1, Fence { 4 } };

}

TEST_CASE("keys on their way are not granted again before the next owner has them")
{
    // Guards against two holders: the heartbeat that shows the release was answered with the released keys.
    Leader leader;
    CHECK(grants(leader.beat(heartbeat(leader.from, 1, { everything })), 5));
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    leader.beat(heartbeat(leader.to, 1));
    leader.now += milliseconds { 1'000 };
    const auto omitting = leader.beat(heartbeat(leader.from, 2, { everything }));
    REQUIRE(!grants(omitting, 5));
    CHECK(grants(omitting, 500));
    leader.now += milliseconds { 100 };
    const auto showing = heartbeat(leader.from, 3, { { 100, keyNumberCount - 1, Fence { 4 } } }, { { 0, 99, "token" } });
    const auto commands = leader.releases(showing);
    REQUIRE(commands.size() == 1);
    CHECK(std::get<AssignKeyRanges>(commands[0]).grants.at(0) == KeyRangeGrant { 0, 99, leader.to.key, "token" });
    // The assignment is not applied yet.
    CHECK(!grants(leader.coordinator.answer(showing, leader.state), 5));
    leader.apply(commands[0]);
    CHECK(!grants(leader.beat(heartbeat(leader.from, 4, { { 100, keyNumberCount - 1, Fence { 4 } } })), 5));
    CHECK(grants(leader.beat(heartbeat(leader.to, 2)), 5));
}

TEST_CASE("released keys are assigned shortly before the heartbeat of their next owner")
{
    // Entry VMs that hear of an owner before it does send it requests that it refuses.
    Leader leader;
    for (int i = 1; i <= 3; ++i) {
        leader.beat(heartbeat(leader.to, static_cast<std::uint64_t>(i)));
        leader.now += milliseconds { 900 };
    }
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    leader.now -= milliseconds { 400 };
    static_cast<void>(leader.beat(heartbeat(leader.from, 1, { everything })));
    leader.now += milliseconds { 50 };
    const auto showing = heartbeat(leader.from, 2, { { 100, keyNumberCount - 1, Fence { 4 } } });
    REQUIRE(leader.coordinator.note(leader.now, showing));
    leader.coordinator.takeReleases(leader.now, showing, leader.state);
    CHECK(assignments(leader.coordinator.decide(leader.now, leader.state)) == 0);
    CHECK(assignments(leader.coordinator.decide(leader.now + milliseconds { 240 }, leader.state)) == 1);
}

TEST_CASE("released keys are assigned at once where the answer to their next owner's heartbeat is held back")
{
    // Guards against keys that nobody serves until the next heartbeat although news could reach their owner at once.
    Leader leader;
    leader.beat(heartbeat(leader.to, 1));
    leader.now += milliseconds { 900 };
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    REQUIRE(leader.coordinator.note(leader.now, heartbeat(leader.to, 2)));
    leader.coordinator.answerHeld(leader.to.key, leader.now + milliseconds { 500 });
    REQUIRE(!grants(leader.beat(heartbeat(leader.from, 1, { everything })), 5));
    leader.now += milliseconds { 100 };
    const auto showing = heartbeat(leader.from, 2, { { 100, keyNumberCount - 1, Fence { 4 } } });
    REQUIRE(leader.coordinator.note(leader.now, showing));
    leader.coordinator.takeReleases(leader.now, showing, leader.state);
    const auto commands = leader.coordinator.decide(leader.now, leader.state);
    REQUIRE(assignments(commands) == 1);
    CHECK(std::get<AssignKeyRanges>(commands[0]).grants.at(0).expectedDelay == Duration::zero());
}

TEST_CASE("a heartbeat has news where its sender is to hold other keys than it does")
{
    Leader leader;
    const auto& state = leader.state;
    const auto hasNews = [&](std::vector<HeldKeys> held) { return leader.coordinator.hasNews(heartbeat(leader.from, 1, std::move(held)), state); };
    CHECK(hasNews({}));
    CHECK(!hasNews({ everything }));
    CHECK(!hasNews({ { 0, 99, Fence { 4 } }, { 100, keyNumberCount - 1, Fence { 4 } } }));
    CHECK(hasNews({ { 0, keyNumberCount - 1, Fence { 3 } } }));
    CHECK(!leader.coordinator.hasNews(heartbeat(leader.to, 1), state));
    CHECK(leader.coordinator.hasNews(heartbeat(leader.to, 1, { { 0, 9, Fence { 2 } } }), state));
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    CHECK(hasNews({ everything }));
    leader.beat(heartbeat(leader.to, 1));
    REQUIRE(!grants(leader.beat(heartbeat(leader.from, 1, { everything })), 5));
    // It still works on the keys that it was told to release.
    CHECK(hasNews({ everything }));
    CHECK(!hasNews({ { 100, keyNumberCount - 1, Fence { 4 } } }));
}

TEST_CASE("a lease counts from when the heartbeat came, not from when it was answered")
{
    Leader leader;
    const auto message = heartbeat(leader.from, 1, { everything });
    REQUIRE(leader.coordinator.note(leader.now, message));
    const KeyLeaseTiming timing;
    const auto leaseEnd = leader.now + timing.lease + timing.lease / timing.driftDivisor;
    leader.now += timing.answerHold;
    static_cast<void>(leader.coordinator.answer(message, leader.state));
    leader.apply(RemoveUpstream { leader.from.key, false });
    leader.beat(heartbeat(leader.to, 1));
    CHECK(assignments(leader.coordinator.decide(leaseEnd - milliseconds { 1 }, leader.state)) == 0);
    CHECK(assignments(leader.coordinator.decide(leaseEnd + milliseconds { 1 }, leader.state)) == 1);
}

TEST_CASE("a later move next to released keys is not passed on with them")
{
    // Guards against two holders: both moves have one owner, fence and target, so their ranges are joined.
    const auto later = GENERATE(KeyRangeMove { 200, 299, {} }, KeyRangeMove { 0, 99, {} });
    Leader leader;
    leader.apply(BeginKeyMoves { "k", { { 100, 199, leader.to.key } } });
    leader.beat(heartbeat(leader.to, 1));
    static_cast<void>(leader.beat(heartbeat(leader.from, 1, { everything })));
    leader.now += milliseconds { 2'000 };
    REQUIRE(!grants(leader.beat(heartbeat(leader.from, 2, { everything })), 150));
    leader.apply(BeginKeyMoves { "k", { { later.first, later.last, leader.to.key } } });
    REQUIRE(leader.state.findRange("k", 150) == leader.state.findRange("k", later.first));
    const std::vector<HeldKeys> held { { 0, 99, Fence { 4 } }, { 200, keyNumberCount - 1, Fence { 4 } } };
    const auto commands = leader.releases(heartbeat(leader.from, 3, held, { { 100, 199, "token" } }));
    REQUIRE(commands.size() == 1);
    CHECK(std::get<AssignKeyRanges>(commands[0]).grants == std::vector<KeyRangeGrant> { { 100, 199, leader.to.key, "token" } });
}

TEST_CASE("keys that their owner still works on are not passed on")
{
    Leader leader;
    leader.apply(BeginKeyMoves { "k", { { 0, 99, leader.to.key } } });
    leader.beat(heartbeat(leader.to, 1));
    static_cast<void>(leader.beat(heartbeat(leader.from, 1, { everything })));
    leader.now += milliseconds { 2'000 };
    REQUIRE(!grants(leader.beat(heartbeat(leader.from, 2, { everything })), 5));
    leader.now += milliseconds { 100 };
    CHECK(leader.releases(heartbeat(leader.from, 3, { everything })).empty());
}

TEST_CASE("a heartbeat that a later one overtook renews nothing")
{
    Leader leader;
    REQUIRE(leader.coordinator.note(leader.now, heartbeat(leader.from, 5)));
    CHECK(!leader.coordinator.note(leader.now, heartbeat(leader.from, 4)));
    CHECK(!leader.coordinator.note(leader.now, heartbeat(leader.from, 5)));
}

TEST_CASE("keys of a silent upstream wait for the end of its lease")
{
    Leader leader;
    static_cast<void>(leader.beat(heartbeat(leader.from, 1, { everything })));
    const KeyLeaseTiming timing;
    const auto leaseEnd = leader.now + timing.lease + timing.lease / timing.driftDivisor;
    leader.apply(RemoveUpstream { leader.from.key, false });
    leader.beat(heartbeat(leader.to, 1));
    leader.now = leaseEnd - milliseconds { 10 };
    CHECK(assignments(leader.coordinator.decide(leader.now, leader.state)) == 0);
    leader.now = leaseEnd + milliseconds { 1 };
    CHECK(assignments(leader.coordinator.decide(leader.now, leader.state)) == 1);
}

TEST_CASE("a new leader assumes that every lease was granted just before it began")
{
    Leader leader;
    leader.apply(RemoveUpstream { leader.from.key, false });
    leader.beat(heartbeat(leader.to, 1));
    leader.now += milliseconds { 3'900 };
    CHECK(assignments(leader.coordinator.decide(leader.now, leader.state)) == 0);
}

TEST_CASE("a restart frees the keys of the former start at once")
{
    Leader leader;
    static_cast<void>(leader.beat(heartbeat(leader.from, 1, { everything })));
    auto restarted = leader.from;
    restarted.key.incarnation = 2;
    leader.apply(restarted);
    leader.beat(heartbeat(restarted, 1));
    CHECK(assignments(leader.coordinator.decide(leader.now + milliseconds { 1 }, leader.state)) == 1);
}

TEST_CASE("an upstream that leaves is asked for its keys at once")
{
    Leader leader;
    static_cast<void>(leader.beat(heartbeat(leader.from, 1, { everything })));
    leader.beat(heartbeat(leader.to, 1));
    auto leaving = leader.from;
    leaving.isDraining = true;
    leader.apply(leaving);
    const auto commands = leader.coordinator.decide(leader.now + milliseconds { 25 }, leader.state);
    REQUIRE(commands.size() == 1);
    leader.apply(commands[0]);
    leader.now += milliseconds { 50 };
    CHECK(leader.beat(heartbeat(leaving, 2, { everything })).grants.empty());
}

TEST_CASE("a silent upstream is reported once its lease has ended")
{
    Leader leader;
    leader.beat(heartbeat(leader.to, 1));
    leader.now += milliseconds { 3'000 };
    leader.beat(heartbeat(leader.to, 2));
    leader.now += milliseconds { 1'500 };
    const auto commands = leader.coordinator.decide(leader.now, leader.state);
    CHECK(std::ranges::any_of(commands, [&](const Command& command) { return command == Command { RemoveUpstream { leader.from.key, false } }; }));
    CHECK(std::ranges::none_of(commands, [&](const Command& command) { return command == Command { RemoveUpstream { leader.to.key, false } }; }));
}

TEST_CASE("a late announcement does not undo the departure")
{
    Leader leader;
    auto leaving = leader.from;
    leaving.isDraining = true;
    leader.apply(leaving);
    CHECK(!leader.coordinator.registration(heartbeat(leader.from, 9), leader.state));
    CHECK(leader.coordinator.registration(heartbeat(announcement("new", "k"), 1), leader.state));
}

TEST_CASE("an owner that refuses most of its requests does not pass for a fast one")
{
    // Guards against more keys for an overloaded owner: refused requests took no time at all.
    Leader leader;
    leader.apply(AssignKeyRanges { "k", { { 0, 32'767, leader.from.key, "" }, { 32'768, keyNumberCount - 1, leader.to.key, "" } } });
    leader.beat(heartbeat(leader.from, 1));
    leader.beat(heartbeat(leader.to, 1));
    std::size_t movedFrom = 0;
    std::size_t movedTo = 0;
    for (std::uint64_t round = 2; round < 12; ++round) {
        // "from" gets three times the load, serves a third of it and takes as long as "to" for what it serves.
        const ServiceKeyLoad load { "k", { { 0, 32'767, 90, 30, 30 * 60 }, { 32'768, keyNumberCount - 1, 30, 30, 30 * 60 } } };
        leader.coordinator.addLoad(leader.now, KeyLoadReport { NodeId { 9 }, { load } }, leader.state);
        leader.now += milliseconds { 600 };
        leader.beat(heartbeat(leader.from, round));
        leader.beat(heartbeat(leader.to, round));
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

TEST_CASE("an assignment tells when its owner hears of it")
{
    Leader leader;
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        leader.beat(heartbeat(leader.to, sequence));
        leader.now += milliseconds { 900 };
    }
    // The next heartbeat of "to" is due now and 900 ms later.
    leader.beat(heartbeat(leader.to, 4));
    leader.apply(RemoveUpstream { leader.from.key, true });
    leader.now += milliseconds { 100 };
    std::vector<Command> commands;
    for (int step = 0; step < 100 && assignments(commands) == 0; ++step) {
        leader.now += milliseconds { 50 };
        commands = leader.coordinator.decide(leader.now, leader.state);
    }
    REQUIRE(assignments(commands) == 1);
    const auto& grant = std::get<AssignKeyRanges>(commands.back()).grants.at(0);
    CHECK(grant.owner == leader.to.key);
    CHECK(grant.expectedDelay >= Duration::zero());
    CHECK(grant.expectedDelay <= milliseconds { 900 });
}
