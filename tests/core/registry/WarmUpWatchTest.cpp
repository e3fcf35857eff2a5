#include "core/registry/WarmUpWatch.h"

#include "adapters/codec/RegistryCodec.h"
#include "core/registry/RegistryFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

ConfigItem warmUpService(const std::string& name)
{
    auto item = serviceItem(name, true);
    auto& content = std::get<ServiceItem>(item.content);
    content.warmUpTime = std::chrono::seconds { 3 };
    content.warmUpMilliRequestsPerSecond = 5'200;
    return item;
}

/// A leader whose commands are applied at once unless a test holds them back.
struct Leader {
    RegistryState state;
    WarmUpWatch watch;
    Instant now { std::chrono::seconds { 100 } };
    RegisterUpstream upstream = announcement("u", "k");
    std::uint64_t sequence {};

    Leader() { REQUIRE(applyNext(this->state, ChangeItems { { warmUpService("k"), serviceItem("none", false) }, {} }) == ResultCode::Ok); }

    void registerUpstream() { REQUIRE(applyNext(this->state, this->upstream) == ResultCode::Ok); }

    std::optional<BeginWarmUp> propose(milliseconds timeLeft, bool isRegistered = true)
    {
        auto message = heartbeat(this->upstream, ++this->sequence);
        message.warmUpLeft = timeLeft;
        auto command = this->watch.commandFor(this->now, message, isRegistered, this->state);
        if (command) {
            this->watch.recordProposed(this->now, *command, std::chrono::seconds { 3 });
        }
        return command;
    }

    bool commit(milliseconds timeLeft, bool isRegistered = true)
    {
        const auto command = this->propose(timeLeft, isRegistered);
        if (command) {
            REQUIRE(applyNext(this->state, *command) == ResultCode::Ok);
            this->watch.recordApplied(*command);
        }
        return command.has_value();
    }
};

}

TEST_CASE("a warm-up is recorded once, not with each heartbeat, and so is its end")
{
    Leader leader;
    leader.registerUpstream();
    CHECK(leader.commit(milliseconds { 3'000 }));
    CHECK(leader.watch.isLimited(leader.now, leader.upstream.key, leader.state));
    leader.now += milliseconds { 900 };
    CHECK(!leader.commit(milliseconds { 2'100 }));
    leader.now += milliseconds { 1'100 };
    // This heartbeat took 200 ms longer.
    CHECK(!leader.commit(milliseconds { 1'200 }));
    leader.now += milliseconds { 1'100 };
    CHECK(leader.commit(milliseconds { 0 }));
    // Entry VMs limit it while load returns; keys that it got in that time would not be served.
    CHECK(leader.watch.isLimited(leader.now + milliseconds { 2'800 }, leader.upstream.key, leader.state));
    CHECK(!leader.watch.isLimited(leader.now + milliseconds { 3'000 }, leader.upstream.key, leader.state));
    leader.now += milliseconds { 900 };
    CHECK(!leader.commit(milliseconds { 0 }));
}

TEST_CASE("an upstream that turns cold again, or stays cold for longer, is recorded again")
{
    Leader leader;
    leader.registerUpstream();
    CHECK(leader.commit(milliseconds { 3'000 }));
    leader.now += milliseconds { 1'000 };
    CHECK(leader.commit(milliseconds { 2'800 }));
    leader.now += milliseconds { 4'000 };
    CHECK(leader.commit(milliseconds { 0 }));
    CHECK(leader.commit(milliseconds { 3'000 }));
    // Turned cold again before a heartbeat stated that it was warm.
    leader.now += milliseconds { 3'200 };
    CHECK(leader.commit(milliseconds { 2'500 }));
}

TEST_CASE("a warm-up that is proposed is not proposed again before it is applied")
{
    Leader leader;
    CHECK(leader.propose(milliseconds { 3'000 }, false));
    leader.now += milliseconds { 50 };
    CHECK(!leader.propose(milliseconds { 2'950 }, false));
}

TEST_CASE("a new upstream's start is recorded even if it is warm, a known warm upstream is not")
{
    // Entry VMs would take a new upstream for cold otherwise, and delay the start of the whole system.
    Leader leader;
    CHECK(leader.propose(milliseconds { 0 }, false));
    Leader other;
    other.registerUpstream();
    CHECK(!other.propose(milliseconds { 0 }));
    other.upstream = announcement("v", "none");
    CHECK(!other.propose(milliseconds { 3'000 }, false));
}

TEST_CASE("a new leader records the state of an upstream that the former one recorded as cold")
{
    // Guards against upstreams that stay cold for entry VMs that start later, and against an end that is too early: the
    // new leader does not know when the former one recorded the warm-up.
    Leader leader;
    leader.registerUpstream();
    CHECK(leader.commit(milliseconds { 3'000 }));
    leader.watch.becameLeader();
    CHECK(leader.watch.isLimited(leader.now, leader.upstream.key, leader.state));
    CHECK(leader.commit(milliseconds { 2'000 }));
    leader.watch.becameLeader();
    CHECK(leader.commit(milliseconds { 0 }));
    leader.watch.becameLeader();
    CHECK(!leader.commit(milliseconds { 0 }));
    CHECK(!leader.watch.isLimited(leader.now, leader.upstream.key, leader.state));
}

TEST_CASE("an upstream that was removed as unresponsive and returns is recorded again")
{
    Leader leader;
    leader.registerUpstream();
    CHECK(leader.commit(milliseconds { 3'000 }));
    REQUIRE(applyNext(leader.state, RemoveUpstream { leader.upstream.key, false }) == ResultCode::Ok);
    leader.registerUpstream();
    CHECK(leader.commit(milliseconds { 1'000 }));
}

TEST_CASE("a warm-up ends moves to the cold upstream, and a snapshot keeps it")
{
    Leader leader;
    leader.registerUpstream();
    const auto from = announcement("from", "k");
    REQUIRE(applyNext(leader.state, from) == ResultCode::Ok);
    REQUIRE(applyNext(leader.state, AssignKeyRanges { "k", { { 0, keyNumberCount - 1, from.key, "" } } }) == ResultCode::Ok);
    REQUIRE(applyNext(leader.state, BeginKeyMoves { "k", { { 0, 99, leader.upstream.key } } }) == ResultCode::Ok);
    CHECK(leader.commit(milliseconds { 3'000 }));
    CHECK(!leader.state.findRange("k", 5)->isMoving());
    RegistryState restored;
    const auto decoded = decodeRegistrySnapshot(encodeRegistrySnapshot(leader.state.snapshot()));
    REQUIRE(decoded);
    restored.restore(*decoded);
    REQUIRE(restored.warmUps().contains(leader.upstream.key));
    CHECK(restored.warmUps().at(leader.upstream.key).timeLeft == milliseconds { 3'000 });
    CHECK(restored.warmUps().at(leader.upstream.key).changedAt == restored.appliedIndex());
    CHECK(restored.snapshot() == leader.state.snapshot());
}
