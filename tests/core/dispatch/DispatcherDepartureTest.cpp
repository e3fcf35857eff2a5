#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

const auto keyedRoute = DispatchFixture::route("keys", RequestKind::Idempotent);
constexpr KeyNumber key { 5 };

/// A sharded service with an upstream that owns all keys and works on a request, so that its load is still of use.
struct Departure : DispatchFixture {
    RegisterUpstream owner = registerUpstream("owner", "keys");

    Departure()
    {
        this->registerUpstream("other", "keys");
        this->apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, this->owner.key, "" } } });
        this->sync();
    }

    /// Sends a request that stays in flight.
    void beginLongRequest() { this->submit(keyedRoute, key, milliseconds { 20'000 }); }

    /// @param learnedAfter Time since the copy of the registry was last known to be current.
    void leave(milliseconds learnedAfter = milliseconds { 0 })
    {
        this->apply(RemoveUpstream { this->owner.key, true });
        this->dispatcher.sync(this->now, this->now - learnedAfter, this->state, this->decisions);
    }

    /// Sends requests for a time, each answered at once.
    /// @return Number of requests that were sent to the owner.
    std::size_t countSends(milliseconds time)
    {
        std::size_t count = 0;
        for (const auto end = this->now + time; this->now < end; this->now += milliseconds { 20 }) {
            this->clearDecisions();
            this->dispatcher.advance(this->now, this->decisions);
            this->submit(keyedRoute, key);
            for (const auto& send : this->decisionsOf<SendRequest>()) {
                count += send.upstream == this->owner.key ? 1 : 0;
                this->endAttempt(send.id, AttemptOutcome::Answered);
            }
        }
        return count;
    }

    /// @return True if a request is refused at once because its key has no owner.
    bool isRefusedAtOnce()
    {
        this->clearDecisions();
        this->submit(keyedRoute, key);
        const auto refused = this->decisionsOf<RefuseRequest>();
        return refused.size() == 1 && refused[0].reason == ResultCode::RequestNoOwner;
    }
};

}

TEST_CASE("an upstream that left without draining gets no request after the drain time, though it still works on earlier ones")
{
    // Guards against sending to a departed upstream for as long as a request to it is in flight.
    Departure fixture;
    fixture.beginLongRequest();
    fixture.leave();
    CHECK(fixture.countSends(milliseconds { 1'980 }) > 0);
    fixture.now += milliseconds { 20 };
    CHECK(fixture.countSends(milliseconds { 3'000 }) == 0);
    CHECK(fixture.isRefusedAtOnce());
}

TEST_CASE("an upstream that left without draining serves its keys until the drain time, though nothing was in flight")
{
    // Guards against refusing requests for its keys for the rest of its lease: it goes on serving for the drain time.
    Departure fixture;
    fixture.leave();
    CHECK(fixture.countSends(milliseconds { 1'980 }) == 99);
    fixture.now += milliseconds { 20 };
    CHECK(fixture.countSends(milliseconds { 3'000 }) == 0);
}

TEST_CASE("other changes of the registry do not extend the time of an upstream that left")
{
    Departure fixture;
    fixture.beginLongRequest();
    fixture.leave();
    fixture.now += milliseconds { 1'500 };
    fixture.registerUpstream("third", "keys");
    fixture.sync();
    fixture.now += milliseconds { 500 };
    CHECK(fixture.countSends(milliseconds { 1'000 }) == 0);
}

TEST_CASE("an upstream that had been draining gets no request once it has left")
{
    // It ends with its removal; a late copy of the registry must not give it another drain time.
    Departure fixture;
    fixture.beginLongRequest();
    auto draining = fixture.owner;
    draining.isDraining = true;
    fixture.apply(draining);
    fixture.sync();
    fixture.leave();
    CHECK(fixture.countSends(milliseconds { 1'000 }) == 0);
}

TEST_CASE("the drain time of an upstream that left counts from the last current copy of the registry")
{
    Departure fixture;
    fixture.beginLongRequest();
    fixture.leave(milliseconds { 1'500 });
    CHECK(fixture.countSends(milliseconds { 480 }) > 0);
    fixture.now += milliseconds { 20 };
    CHECK(fixture.countSends(milliseconds { 1'000 }) == 0);
}

TEST_CASE("the drain time of a draining upstream counts from the last current copy of the registry")
{
    // Guards against sending for a whole drain time after the entry VM learned late of the acknowledgement.
    Departure fixture;
    auto draining = fixture.owner;
    draining.isDraining = true;
    fixture.apply(draining);
    fixture.dispatcher.sync(fixture.now, fixture.now - milliseconds { 1'500 }, fixture.state, fixture.decisions);
    CHECK(fixture.countSends(milliseconds { 480 }) > 0);
    fixture.now += milliseconds { 20 };
    fixture.registerUpstream("third", "keys");
    fixture.sync();
    CHECK(fixture.countSends(milliseconds { 1'000 }) == 0);
}

TEST_CASE("an upstream whose address belongs to another one gets no request")
{
    Departure fixture;
    fixture.beginLongRequest();
    auto successor = announcement("successor", "plain", 2);
    successor.endpoint = fixture.owner.endpoint;
    fixture.apply(successor);
    fixture.sync();
    CHECK(fixture.countSends(milliseconds { 1'000 }) == 0);
}

TEST_CASE("an earlier incarnation of an upstream gets no request, though one to it is in flight")
{
    Departure fixture;
    fixture.beginLongRequest();
    auto next = fixture.owner;
    next.key.incarnation = 2;
    fixture.apply(next);
    fixture.sync();
    CHECK(fixture.countSends(milliseconds { 1'000 }) == 0);
    CHECK(fixture.isRefusedAtOnce());
}
