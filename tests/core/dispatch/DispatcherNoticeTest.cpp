#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

const auto plainRoute = DispatchFixture::route("plain", RequestKind::Idempotent);
const auto keyedRoute = DispatchFixture::route("keys", RequestKind::AtMostOnce);

/// A service of two upstreams, and a sharded one whose keys all have one owner.
struct Upstreams : DispatchFixture {
    RegisterUpstream first = registerUpstream("first", "plain");
    RegisterUpstream second = registerUpstream("second", "plain");
    RegisterUpstream owner = registerUpstream("owner", "keys");

    Upstreams()
    {
        this->apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, this->owner.key, "" } } });
        this->sync();
    }

    /// Ends the attempt of a request as a response with a notice ends it.
    void respond(PendingRequestId id, const UpstreamNotice& notice, AttemptOutcome outcome)
    {
        this->dispatcher.noticeReceived(this->now, id, notice, this->decisions);
        this->endAttempt(id, outcome);
    }

    /// Sends requests for a time, each answered at once.
    /// @return Number of requests that reached the upstream.
    std::size_t countSends(const std::shared_ptr<const CompiledRoute>& route, const UpstreamKey& to, milliseconds time)
    {
        std::size_t count = 0;
        for (const auto end = this->now + time; this->now < end; this->now += milliseconds { 20 }) {
            this->decisions.clear();
            this->dispatcher.advance(this->now, this->decisions);
            this->submit(route, KeyNumber { 5 });
            for (const auto& send : this->decisionsOf<SendRequest>()) {
                count += send.upstream == to ? 1 : 0;
                this->endAttempt(send.id, AttemptOutcome::Answered);
            }
        }
        return count;
    }
};

const UpstreamNotice leaving { true, {} };

UpstreamNotice pause(milliseconds time) { return { false, time }; }

}

TEST_CASE("an upstream whose response says that it leaves gets no request after the drain time")
{
    // The registry learns of the departure later, or never.
    Upstreams fixture;
    const auto id = fixture.submit(plainRoute);
    const auto to = fixture.decisionsOf<SendRequest>().at(0).upstream;
    fixture.respond(id, leaving, AttemptOutcome::Answered);
    CHECK(fixture.countSends(plainRoute, to, milliseconds { 1'000 }) == 0);

    const auto keyed = fixture.submit(keyedRoute, KeyNumber { 5 });
    fixture.respond(keyed, leaving, AttemptOutcome::Answered);
    CHECK(fixture.countSends(keyedRoute, fixture.owner.key, milliseconds { 1'900 }) > 0);
    fixture.now += milliseconds { 100 };
    CHECK(fixture.countSends(keyedRoute, fixture.owner.key, milliseconds { 3'000 }) == 0);
    CHECK(!fixture.decisionsOf<RefuseRequest>().empty());
}

TEST_CASE("a late heartbeat of a leaving upstream does not make it usable, but its next incarnation is")
{
    Upstreams fixture;
    const auto id = fixture.submit(keyedRoute, KeyNumber { 5 });
    fixture.respond(id, leaving, AttemptOutcome::Answered);
    fixture.now += milliseconds { 2'100 };
    fixture.apply(RemoveUpstream { fixture.owner.key, false });
    fixture.sync();
    fixture.apply(fixture.owner);
    fixture.sync();
    CHECK(fixture.countSends(keyedRoute, fixture.owner.key, milliseconds { 500 }) == 0);
    auto next = fixture.owner;
    next.key.incarnation = 2;
    fixture.apply(next);
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, next.key, "" } } });
    fixture.sync();
    CHECK(fixture.countSends(keyedRoute, next.key, milliseconds { 500 }) > 0);
}

TEST_CASE("an upstream gets no request during the pause that it asked for, and its callers are told when to return")
{
    Upstreams fixture;
    const auto sent = fixture.submit(keyedRoute, KeyNumber { 5 });
    std::vector<PendingRequestId> queued;
    queued.reserve(6);
    for (int i = 0; i < 6; ++i) {
        queued.push_back(fixture.submit(keyedRoute, KeyNumber { 5 }));
    }
    fixture.decisions.clear();
    fixture.respond(sent, pause(milliseconds { 1'500 }), AttemptOutcome::Overloaded);
    CHECK(fixture.decisionsOf<SendRequest>().empty());
    // Nothing that waits can be served in time, so it is refused at once.
    const auto refused = fixture.decisionsOf<RefuseRequest>();
    CHECK(refused.size() >= 5);
    for (const auto& refusal : refused) {
        CHECK(refusal.retryAfter >= milliseconds { 1'500 });
    }
    CHECK(fixture.countSends(keyedRoute, fixture.owner.key, milliseconds { 1'480 }) == 0);
    fixture.now += milliseconds { 40 };
    CHECK(fixture.countSends(keyedRoute, fixture.owner.key, milliseconds { 200 }) > 0);
}

TEST_CASE("requests go to other upstreams while one pauses, and an absurd pause is bounded")
{
    Upstreams fixture;
    const auto id = fixture.submit(plainRoute);
    const auto paused = fixture.decisionsOf<SendRequest>().at(0).upstream;
    const auto& other = paused == fixture.first.key ? fixture.second.key : fixture.first.key;
    fixture.respond(id, pause(std::chrono::hours { 24 }), AttemptOutcome::Overloaded);
    CHECK(fixture.countSends(plainRoute, paused, milliseconds { 2'000 }) == 0);
    CHECK(fixture.countSends(plainRoute, other, milliseconds { 200 }) > 0);
    fixture.now += std::chrono::seconds { 30 };
    // The pause has ended, and the other upstream leaves: the paused one serves again.
    const auto last = fixture.submit(plainRoute);
    fixture.respond(last, leaving, AttemptOutcome::Answered);
    const auto left = fixture.submit(plainRoute);
    CHECK(left != PendingRequestId {});
    CHECK(!fixture.decisionsOf<SendRequest>().empty());
}
