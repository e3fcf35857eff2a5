#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

RegisterUpstream registerSlots(DispatchFixture& fixture, const std::string& name, std::uint32_t slots)
{
    auto upstream = announcement(name, "plain");
    upstream.requestSlots = slots;
    fixture.apply(upstream);
    return upstream;
}

std::shared_ptr<const CompiledRoute> routeTo(milliseconds target)
{
    return DispatchFixture::route("plain", RequestKind::AtMostOnce, target);
}

}

TEST_CASE("the first requests fill this entry VM's share of an upstream's slots")
{
    // Guards against slow work that leaves slots empty for many round trips after the start.
    DispatchFixture fixture;
    fixture.dispatcher.setEntryCount(2);
    registerSlots(fixture, "only", 16);
    fixture.sync();
    for (int i = 0; i < 16; ++i) {
        fixture.submit(routeTo(milliseconds { 5'000 }), std::nullopt, milliseconds { 10'000 });
    }
    // A load that is uneven between entry VMs is allowed for by half of an equal share.
    CHECK(fixture.decisionsOf<SendRequest>().size() == 12);
}

TEST_CASE("an entry VM that does not know of the others takes no share of the slots")
{
    // Guards against many entry VMs that start together and each fill all slots.
    DispatchFixture fixture;
    registerSlots(fixture, "only", 16);
    fixture.sync();
    for (int i = 0; i < 16; ++i) {
        fixture.submit(routeTo(milliseconds { 5'000 }), std::nullopt, milliseconds { 10'000 });
    }
    CHECK(fixture.decisionsOf<SendRequest>().size() == 2);
}

TEST_CASE("work of varying length does not hold requests back")
{
    // Guards against ordinary variation of the work that is taken for a queue at the upstream.
    DispatchFixture fixture;
    fixture.dispatcher.setEntryCount(1);
    registerSlots(fixture, "only", 8);
    fixture.sync();
    constexpr std::array latencies { 1'900, 700, 2'400, 500, 1'200, 2'100, 900, 2'500, 1'600, 600, 1'100, 2'300, 1'400 };
    for (int i = 0; i < 60; ++i) {
        const auto id = fixture.submit(routeTo(milliseconds { 5'000 }), std::nullopt, milliseconds { 10'000 });
        fixture.now += milliseconds { latencies[static_cast<std::size_t>(i) % latencies.size()] };
        fixture.endAttempt(id, AttemptOutcome::Answered);
    }
    fixture.clearDecisions();
    for (int i = 0; i < 8; ++i) {
        fixture.submit(routeTo(milliseconds { 5'000 }), std::nullopt, milliseconds { 10'000 });
    }
    CHECK(fixture.decisionsOf<SendRequest>().size() == 8);
}

TEST_CASE("a limit that refusals have lowered recovers within a second")
{
    // Guards against slots that stay empty long after a short congestion.
    DispatchFixture fixture;
    fixture.dispatcher.setEntryCount(1);
    registerSlots(fixture, "only", 8);
    fixture.sync();
    for (int i = 0; i < 3; ++i) {
        fixture.endAttempt(fixture.submit(routeTo(milliseconds { 5'000 })), AttemptOutcome::Overloaded);
        fixture.now += milliseconds { 110 };
    }
    const auto sentAfter = [&fixture](milliseconds time) {
        fixture.now += time;
        fixture.clearDecisions();
        for (int i = 0; i < 8; ++i) {
            fixture.submit(routeTo(milliseconds { 5'000 }), std::nullopt, milliseconds { 10'000 });
        }
        return fixture.decisionsOf<SendRequest>().size();
    };
    SECTION("at once it is low")
    {
        CHECK(sentAfter(milliseconds { 0 }) <= 2);
    }
    SECTION("after a second it is back at the share")
    {
        CHECK(sentAfter(milliseconds { 1'000 }) == 8);
    }
}

TEST_CASE("a target latency that the work never meets does not refuse what the deadline allows")
{
    DispatchFixture fixture;
    fixture.dispatcher.setEntryCount(1);
    registerSlots(fixture, "only", 4);
    fixture.sync();
    auto item = routeTo(milliseconds { 1'000 })->item;
    item.timeout = milliseconds { 8'000 };
    const auto route = std::make_shared<const CompiledRoute>(CompiledRoute { "r", 1, item });
    for (int i = 0; i < 80; ++i) {
        const auto id = fixture.submit(route, std::nullopt, milliseconds { 8'000 });
        fixture.now += milliseconds { 1'500 };
        fixture.endAttempt(id, AttemptOutcome::Answered);
    }
    fixture.clearDecisions();
    for (int i = 0; i < 8; ++i) {
        fixture.submit(route, std::nullopt, milliseconds { 8'000 });
    }
    CHECK(fixture.decisionsOf<RefuseRequest>().empty());
    CHECK(fixture.dispatcher.pendingRequestCount() == 8);
    fixture.clearDecisions();
    for (int i = 0; i < 40; ++i) {
        fixture.submit(route, std::nullopt, milliseconds { 8'000 });
    }
    CHECK(fixture.decisionsOf<RefuseRequest>().size() > 20);
}

TEST_CASE("a queued request that can no longer be answered is refused before its deadline")
{
    // Guards against requests that wait for their deadline behind an upstream that became slow.
    DispatchFixture fixture;
    registerSlots(fixture, "only", 1);
    fixture.sync();
    const auto route = routeTo(milliseconds { 1'000 });
    for (int i = 0; i < 100; ++i) {
        const auto id = fixture.submit(route);
        fixture.now += milliseconds { 200 };
        fixture.endAttempt(id, AttemptOutcome::Answered);
    }
    // One runs, and one waits at the upstream.
    fixture.submit(route);
    fixture.submit(route);
    const auto waiting = fixture.submit(route);
    fixture.clearDecisions();
    const auto expiresAt = fixture.now + milliseconds { 1'000 };
    while (fixture.decisionsOf<RefuseRequest>().empty()) {
        REQUIRE(fixture.dispatcher.nextDeadline());
        fixture.now = *fixture.dispatcher.nextDeadline();
        fixture.dispatcher.advance(fixture.now, fixture.decisions);
    }
    CHECK(fixture.decisionsOf<RefuseRequest>()[0].id == waiting);
    CHECK(expiresAt - fixture.now >= milliseconds { 90 });
}

TEST_CASE("requests that a limit far under the slots holds back are counted once")
{
    DispatchFixture fixture;
    fixture.dispatcher.setEntryCount(1);
    registerSlots(fixture, "only", 8);
    fixture.sync();
    const auto route = routeTo(milliseconds { 5'000 });
    for (int i = 0; i < 3; ++i) {
        fixture.endAttempt(fixture.submit(route), AttemptOutcome::Overloaded);
        fixture.now += milliseconds { 110 };
    }
    for (int i = 0; i < 4; ++i) {
        fixture.submit(route);
    }
    fixture.sync();
    const auto sent = fixture.decisionsOf<SendRequest>().size() - 3;
    const auto held = fixture.dispatcher.takeHeldBack();
    CHECK(held.count >= 1);
    CHECK(held.count <= 4 - sent);
    CHECK(held.upstream.name == "only");
    CHECK(fixture.dispatcher.takeHeldBack().count == 0);
}
