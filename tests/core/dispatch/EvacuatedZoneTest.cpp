#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

const auto plainRoute = DispatchFixture::route("plain", RequestKind::Idempotent);
const auto keyedRoute = DispatchFixture::route("keys", RequestKind::Idempotent);

/// An entry VM with upstreams in zones z1 and z2.
struct Zones : DispatchFixture {
    Zones()
        : DispatchFixture({ "z1", { { "z1", "here" }, { "z2", "here" } }, 1, 200, 100, milliseconds { 10'000 } })
    {
    }

    RegisterUpstream registerIn(const std::string& name, const std::string& zone, const std::string& service, std::uint32_t slots = 3)
    {
        auto upstream = announcement(name, service);
        upstream.zone = zone;
        upstream.requestSlots = slots;
        this->apply(upstream);
        return upstream;
    }

    void order(const std::string& zone, bool isEvacuated)
    {
        this->apply(EvacuateZone { zone, isEvacuated });
        this->sync();
    }

    void advance(milliseconds time)
    {
        for (const auto end = this->now + time; this->now < end;) {
            this->now += milliseconds { 10 };
            this->dispatcher.advance(this->now, this->decisions);
        }
    }

    std::size_t count(const RegisterUpstream& upstream) const
    {
        const auto sent = this->decisionsOf<SendRequest>();
        return static_cast<std::size_t>(std::ranges::count(sent, upstream.key, &SendRequest::upstream));
    }

    /// Submits requests at a steady rate and answers each after 40 ms.
    void serve(milliseconds time, milliseconds interval)
    {
        std::vector<std::pair<Instant, PendingRequestId>> running;
        std::size_t seen = this->decisions.size();
        for (const auto end = this->now + time; this->now < end; this->now += interval) {
            this->submit(plainRoute);
            this->dispatcher.advance(this->now, this->decisions);
            for (; seen < this->decisions.size(); ++seen) {
                if (const auto* send = std::get_if<SendRequest>(&this->decisions[seen])) {
                    running.emplace_back(this->now + milliseconds { 40 }, send->id);
                }
            }
            while (!running.empty() && running.front().first <= this->now) {
                this->endAttempt(running.front().second, AttemptOutcome::Answered);
                running.erase(running.begin());
            }
        }
        for (const auto& [at, id] : running) {
            this->endAttempt(id, AttemptOutcome::Answered);
        }
    }
};

/// The same with a sharded service whose keys one upstream of z1 owns.
struct EvacuatedOwner : Zones {
    RegisterUpstream owner = this->registerIn("owner", "z1", "keys");
    RegisterUpstream next = this->registerIn("next", "z2", "keys");

    EvacuatedOwner()
    {
        this->apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, this->owner.key, "" } } });
        this->sync();
        this->order("z1", true);
    }
};

}

TEST_CASE("requests without keys leave an evacuated zone at once, also those that are retried")
{
    Zones fixture;
    const auto leaving = fixture.registerIn("leaving", "z1", "plain");
    const auto staying = fixture.registerIn("staying", "z2", "plain");
    fixture.sync();
    fixture.order("z1", true);
    const auto id = fixture.submit(plainRoute);
    fixture.submit(plainRoute);
    CHECK(fixture.count(staying) == 2);
    fixture.endAttempt(id, AttemptOutcome::Overloaded);
    CHECK(fixture.count(leaving) == 0);
}

TEST_CASE("an upstream that registers in an evacuated zone gets no requests")
{
    // Guards against an order that covers only the upstreams that were known when it was applied.
    Zones fixture;
    fixture.order("z1", true);
    const auto late = fixture.registerIn("late", "z1", "plain");
    fixture.sync();
    fixture.submit(plainRoute);
    CHECK(fixture.count(late) == 0);
}

TEST_CASE("requests are refused at once if all upstreams are in evacuated zones")
{
    Zones fixture;
    fixture.registerIn("only", "z1", "plain", 1);
    fixture.sync();
    for (int i = 0; i < 3; ++i) {
        fixture.submit(plainRoute);
    }
    const auto sent = fixture.decisionsOf<SendRequest>().size();
    REQUIRE(sent < 3);
    fixture.order("z1", true);
    // Queued requests are refused too.
    CHECK(fixture.decisionsOf<RefuseRequest>().size() == 3 - sent);
    fixture.submit(plainRoute);
    for (const auto& refusal : fixture.decisionsOf<RefuseRequest>()) {
        CHECK(refusal.reason == ResultCode::RequestZoneEvacuated);
    }
    CHECK(fixture.decisionsOf<SendRequest>().size() == sent);
}

TEST_CASE("the owner of a key in an evacuated zone serves until shortly before the bound, and gets nothing after it")
{
    // Guards against keys that are not served while they move, and against sends after the bound.
    EvacuatedOwner fixture;
    fixture.now += milliseconds { 3'000 };
    const auto first = fixture.submit(keyedRoute, 5);
    CHECK(fixture.count(fixture.owner) == 1);
    fixture.endAttempt(first, AttemptOutcome::Answered);
    // The acknowledgement, from which the 5 s count, can be older than the order at this entry VM.
    fixture.now += milliseconds { 1'000 };
    fixture.submit(keyedRoute, 5);
    CHECK(fixture.count(fixture.owner) == 1);
    REQUIRE(fixture.decisionsOf<RefuseRequest>().size() == 1);
    CHECK(fixture.decisionsOf<RefuseRequest>()[0].reason == ResultCode::RequestZoneEvacuated);
}

TEST_CASE("retries and probes of an owner in an evacuated zone end with the bound")
{
    EvacuatedOwner fixture;
    const auto outcome = GENERATE(AttemptOutcome::Misdirected, AttemptOutcome::Overloaded, AttemptOutcome::NotSent, AttemptOutcome::Lost);
    fixture.now += milliseconds { 3'450 };
    const auto id = fixture.submit(keyedRoute, 5);
    REQUIRE(fixture.count(fixture.owner) == 1);
    fixture.now += milliseconds { 60 };
    fixture.endAttempt(id, outcome);
    fixture.advance(milliseconds { 900 });
    CHECK(fixture.count(fixture.owner) == 1);
    CHECK(fixture.dispatcher.pendingRequestCount() == 0);
}

TEST_CASE("a request that waits for an owner in an evacuated zone is refused when its time is over")
{
    // Guards against requests that wait for their deadline although their owner may not be sent them any more.
    EvacuatedOwner fixture;
    fixture.now += milliseconds { 3'450 };
    const auto id = fixture.submit(keyedRoute, 5);
    fixture.endAttempt(id, AttemptOutcome::Misdirected);
    REQUIRE(fixture.dispatcher.pendingRequestCount() == 1);
    REQUIRE(fixture.dispatcher.nextDeadline());
    fixture.now = std::max(fixture.now, *fixture.dispatcher.nextDeadline());
    CHECK(fixture.now <= Instant { std::chrono::milliseconds { 1'003'500 } });
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    REQUIRE(fixture.decisionsOf<RefuseRequest>().size() == 1);
    CHECK(fixture.decisionsOf<RefuseRequest>()[0].reason == ResultCode::RequestZoneEvacuated);
}

TEST_CASE("a key that has moved out of an evacuated zone is served by its new owner")
{
    EvacuatedOwner fixture;
    fixture.apply(BeginKeyMoves { "keys", { { 0, keyNumberCount - 1, fixture.next.key } } });
    fixture.sync();
    const auto first = fixture.submit(keyedRoute, 5);
    fixture.endAttempt(first, AttemptOutcome::Misdirected);
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, fixture.next.key, "token" } } });
    fixture.sync();
    CHECK(fixture.count(fixture.next) == 1);
    fixture.now += milliseconds { 6'000 };
    fixture.submit(keyedRoute, 5);
    CHECK(fixture.count(fixture.next) == 2);
}

TEST_CASE("the bound counts from the time at which the copy of the registry was last current")
{
    // Guards against an entry VM that was cut off from the registry and sends to the zone for as long again.
    Zones fixture;
    const auto owner = fixture.registerIn("owner", "z1", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "" } } });
    fixture.sync();
    fixture.apply(EvacuateZone { "z1", true });
    fixture.dispatcher.sync(fixture.now, fixture.now - milliseconds { 4'000 }, fixture.state, fixture.decisions);
    fixture.submit(keyedRoute, 5);
    CHECK(fixture.count(owner) == 0);
    // A later order for another zone leaves the time of the first one as it is.
    fixture.order("z2", true);
    fixture.submit(keyedRoute, 5);
    CHECK(fixture.count(owner) == 0);
}

TEST_CASE("orders are kept while the registry is unreachable, and a repeated snapshot does not restart their bound")
{
    EvacuatedOwner fixture;
    fixture.now += milliseconds { 3'000 };
    fixture.state.restore(fixture.state.snapshot());
    fixture.sync();
    fixture.now += milliseconds { 600 };
    fixture.submit(keyedRoute, 5);
    CHECK(fixture.count(fixture.owner) == 0);
    fixture.now += std::chrono::minutes { 10 };
    fixture.submit(keyedRoute, 5);
    CHECK(fixture.count(fixture.owner) == 0);
}

TEST_CASE("after a withdrawal requests without keys return gradually")
{
    // Guards against a step of load onto upstreams that are idle and perhaps cold.
    Zones fixture;
    const auto returning = fixture.registerIn("returning", "z1", "plain", 4);
    for (int i = 0; i < 3; ++i) {
        fixture.registerIn("staying" + std::to_string(i), "z2", "plain", 4);
    }
    fixture.sync();
    fixture.order("z1", true);
    fixture.serve(milliseconds { 2'000 }, milliseconds { 4 });
    REQUIRE(fixture.count(returning) == 0);
    fixture.order("z1", false);
    std::vector<std::size_t> perSecond;
    for (int second = 0; second < 10; ++second) {
        fixture.clearDecisions();
        fixture.serve(milliseconds { 1'000 }, milliseconds { 4 });
        perSecond.push_back(fixture.count(returning));
    }
    CAPTURE(perSecond);
    CHECK(perSecond[0] <= 15);
    CHECK(perSecond[1] <= 45);
    CHECK(perSecond[9] > 45);
}

TEST_CASE("requests wait for returning upstreams if there are no others")
{
    // Guards against requests that are refused, or wait for their deadline, because the ramp does not permit them yet.
    Zones fixture;
    const auto returning = fixture.registerIn("returning", "z1", "plain", 4);
    fixture.sync();
    fixture.order("z1", true);
    fixture.order("z1", false);
    const auto id = fixture.submit(plainRoute);
    CHECK(fixture.count(returning) == 0);
    CHECK(fixture.decisionsOf<RefuseRequest>().empty());
    // No other event follows.
    fixture.advance(milliseconds { 600 });
    REQUIRE(fixture.decisionsOf<SendRequest>().size() == 1);
    CHECK(fixture.decisionsOf<SendRequest>()[0].id == id);
}
