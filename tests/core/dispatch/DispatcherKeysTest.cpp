#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

const auto keyed = DispatchFixture::route("keys", RequestKind::Idempotent);

}

TEST_CASE("a request for a key goes to its owner, and one without an owner is refused at once")
{
    DispatchFixture fixture;
    const auto owner = fixture.add("owner", "keys");
    fixture.add("other", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, 999, owner.key, "" } } });
    fixture.sync();
    fixture.submit(keyed, 500);
    CHECK(fixture.decided<SendRequest>().at(0).upstream == owner.key);
    fixture.forget();
    fixture.submit(keyed, 5'000);
    CHECK(fixture.decided<RefuseRequest>().at(0).reason == ResultCode::RequestNoOwner);
}

TEST_CASE("requests of a moving key wait for the next owner without asking the former one again")
{
    DispatchFixture fixture;
    const auto from = fixture.add("from", "keys");
    const auto to = fixture.add("to", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, from.key, "" } } });
    fixture.apply(BeginKeyMoves { "keys", { { 0, 99, to.key } } });
    fixture.sync();
    const auto first = fixture.submit(keyed, 5);
    fixture.end(first, AttemptOutcome::Misdirected);
    fixture.forget();
    fixture.submit(keyed, 6);
    fixture.now += milliseconds { 200 };
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    CHECK(fixture.decided<SendRequest>().empty());
    fixture.apply(AssignKeyRanges { "keys", { { 0, 99, to.key, "token" } } });
    fixture.sync();
    REQUIRE(fixture.decided<SendRequest>().size() == 2);
    CHECK(fixture.decided<SendRequest>()[0].upstream == to.key);
}

TEST_CASE("requests wait until the owner of assigned keys is expected to hear of them")
{
    // Guards against sends that the next owner refuses because its heartbeat is still to come.
    DispatchFixture fixture;
    const auto owner = fixture.add("owner", "keys");
    fixture.sync();
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "", milliseconds { 150 } } } });
    fixture.sync();
    fixture.submit(keyed, 5);
    CHECK(fixture.decided<SendRequest>().empty());
    CHECK(fixture.decided<RefuseRequest>().empty());
    fixture.now += milliseconds { 100 };
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    CHECK(fixture.decided<SendRequest>().size() == 1);
}

TEST_CASE("a request for keys that nobody holds in time is refused at once")
{
    DispatchFixture fixture;
    const auto owner = fixture.add("owner", "keys");
    fixture.sync();
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "", milliseconds { 800 } } } });
    fixture.sync();
    fixture.submit(keyed, 5);
    REQUIRE(fixture.decided<RefuseRequest>().size() == 1);
    CHECK(fixture.decided<RefuseRequest>()[0].reason == ResultCode::RequestShed);
}

TEST_CASE("each further refusal of an owner that lost its keys doubles the wait")
{
    // Guards against arrivals in vain while an owner is cut off from the registry and its lease has ended.
    DispatchFixture fixture;
    const auto owner = fixture.add("owner", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "" } } });
    fixture.sync();
    std::size_t sends = 0;
    for (int step = 0; step < 200; ++step) {
        fixture.forget();
        fixture.submit(keyed, 5);
        fixture.now += milliseconds { 10 };
        fixture.dispatcher.advance(fixture.now, fixture.decisions);
        for (const auto& send : fixture.decided<SendRequest>()) {
            ++sends;
            fixture.end(send.id, AttemptOutcome::Misdirected);
        }
    }
    CHECK(sends >= 2);
    CHECK(sends <= 8);
}
