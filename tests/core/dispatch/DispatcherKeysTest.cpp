#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

const auto keyedRoute = DispatchFixture::route("keys", RequestKind::Idempotent);

}

TEST_CASE("a request is sent to the owner of its key and refused immediately if the key has no owner")
{
    DispatchFixture fixture;
    const auto owner = fixture.registerUpstream("owner", "keys");
    fixture.registerUpstream("other", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, 999, owner.key, "" } } });
    fixture.sync();
    fixture.submit(keyedRoute, 500);
    CHECK(fixture.decisionsOf<SendRequest>().at(0).upstream == owner.key);
    fixture.clearDecisions();
    fixture.submit(keyedRoute, 5'000);
    CHECK(fixture.decisionsOf<RefuseRequest>().at(0).reason == ResultCode::RequestNoOwner);
}

TEST_CASE("requests for a moving key wait for the next owner and are not sent to the former owner again")
{
    DispatchFixture fixture;
    const auto from = fixture.registerUpstream("from", "keys");
    const auto to = fixture.registerUpstream("to", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, from.key, "" } } });
    fixture.apply(BeginKeyMoves { "keys", { { 0, 99, to.key } } });
    fixture.sync();
    const auto first = fixture.submit(keyedRoute, 5);
    fixture.endAttempt(first, AttemptOutcome::Misdirected);
    fixture.clearDecisions();
    fixture.submit(keyedRoute, 6);
    fixture.now += milliseconds { 200 };
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    CHECK(fixture.decisionsOf<SendRequest>().empty());
    fixture.apply(AssignKeyRanges { "keys", { { 0, 99, to.key, "token" } } });
    fixture.sync();
    REQUIRE(fixture.decisionsOf<SendRequest>().size() == 2);
    CHECK(fixture.decisionsOf<SendRequest>()[0].upstream == to.key);
}

TEST_CASE("requests wait until the new owner is expected to know of its keys")
{
    // Guards against sending requests that the new owner refuses because it learns of its keys only with its next
    // heartbeat.
    DispatchFixture fixture;
    const auto owner = fixture.registerUpstream("owner", "keys");
    fixture.sync();
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "", milliseconds { 150 } } } });
    fixture.sync();
    fixture.submit(keyedRoute, 5);
    CHECK(fixture.decisionsOf<SendRequest>().empty());
    CHECK(fixture.decisionsOf<RefuseRequest>().empty());
    fixture.now += milliseconds { 100 };
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    CHECK(fixture.decisionsOf<SendRequest>().size() == 1);
}

TEST_CASE("a request is refused immediately if no owner is expected to hold its key in time")
{
    DispatchFixture fixture;
    const auto owner = fixture.registerUpstream("owner", "keys");
    fixture.sync();
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "", milliseconds { 800 } } } });
    fixture.sync();
    fixture.submit(keyedRoute, 5);
    REQUIRE(fixture.decisionsOf<RefuseRequest>().size() == 1);
    CHECK(fixture.decisionsOf<RefuseRequest>()[0].reason == ResultCode::RequestShed);
}

TEST_CASE("the retry delay doubles with each refusal by an owner that lost its keys")
{
    // Guards against repeated misdirected requests while the owner is cut off from the registry and its lease has
    // expired.
    DispatchFixture fixture;
    const auto owner = fixture.registerUpstream("owner", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "" } } });
    fixture.sync();
    std::size_t sends = 0;
    for (int step = 0; step < 200; ++step) {
        fixture.clearDecisions();
        fixture.submit(keyedRoute, 5);
        fixture.now += milliseconds { 10 };
        fixture.dispatcher.advance(fixture.now, fixture.decisions);
        for (const auto& send : fixture.decisionsOf<SendRequest>()) {
            ++sends;
            fixture.endAttempt(send.id, AttemptOutcome::Misdirected);
        }
    }
    CHECK(sends >= 2);
    CHECK(sends <= 8);
}
