#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

const auto atMostOnce = DispatchFixture::route("plain", RequestKind::AtMostOnce);
const auto idempotent = DispatchFixture::route("plain", RequestKind::Idempotent);
const auto keyedRoute = DispatchFixture::route("keys", RequestKind::Idempotent);

}

TEST_CASE("an at-most-once request is not retried if it may have run")
{
    DispatchFixture fixture;
    fixture.registerUpstream("a", "plain");
    fixture.registerUpstream("b", "plain");
    fixture.sync();
    const auto id = fixture.submit(atMostOnce);
    REQUIRE(fixture.decisionsOf<SendRequest>().size() == 1);
    fixture.clearDecisions();
    SECTION("the response is lost")
    {
        fixture.endAttempt(id, AttemptOutcome::Lost);
        CHECK(fixture.decisionsOf<FailRequest>().size() == 1);
    }
    SECTION("the response does not tell whether the request ran")
    {
        fixture.endAttempt(id, AttemptOutcome::Ambiguous);
        REQUIRE(fixture.decisionsOf<FailRequest>().size() == 1);
        CHECK(fixture.decisionsOf<FailRequest>()[0].reason == ResultCode::ResponseAmbiguous);
        CHECK(fixture.decisionsOf<DeliverResponse>().empty());
    }
    SECTION("the upstream reports a failure")
    {
        fixture.endAttempt(id, AttemptOutcome::Failed);
        CHECK(fixture.decisionsOf<DeliverResponse>().size() == 1);
    }
    CHECK(fixture.decisionsOf<SendRequest>().empty());
    CHECK(fixture.decisionsOf<RefuseRequest>().empty());
}

TEST_CASE("a request that did not run is retried at another upstream")
{
    DispatchFixture fixture;
    fixture.registerUpstream("a", "plain");
    fixture.registerUpstream("b", "plain");
    fixture.sync();
    const auto id = fixture.submit(atMostOnce);
    const auto first = fixture.decisionsOf<SendRequest>().at(0).upstream;
    fixture.clearDecisions();
    fixture.endAttempt(id, AttemptOutcome::Overloaded);
    REQUIRE(fixture.decisionsOf<SendRequest>().size() == 1);
    CHECK(fixture.decisionsOf<SendRequest>()[0].upstream != first);
}

TEST_CASE("a request is refused immediately if no other upstream is left")
{
    DispatchFixture fixture;
    fixture.registerUpstream("only", "plain");
    fixture.sync();
    const auto id = fixture.submit(atMostOnce);
    fixture.clearDecisions();
    fixture.endAttempt(id, AttemptOutcome::NotSent);
    CHECK(fixture.decisionsOf<RefuseRequest>().size() == 1);
    CHECK(fixture.dispatcher.pendingRequestCount() == 0);
}

TEST_CASE("a request is sent no more often than its route's attempts allow")
{
    DispatchFixture fixture;
    for (const auto* name : { "a", "b", "c" }) {
        fixture.registerUpstream(name, "plain");
    }
    fixture.sync();
    const auto id = fixture.submit(atMostOnce);
    fixture.endAttempt(id, AttemptOutcome::Overloaded);
    fixture.endAttempt(id, AttemptOutcome::Overloaded);
    CHECK(fixture.decisionsOf<SendRequest>().size() == 2);
    CHECK(fixture.decisionsOf<RefuseRequest>().size() == 1);
}

TEST_CASE("an idempotent request that may have run fails instead of being refused")
{
    DispatchFixture fixture;
    fixture.registerUpstream("a", "plain");
    fixture.sync();
    const auto id = fixture.submit(idempotent);
    fixture.endAttempt(id, AttemptOutcome::Lost);
    fixture.now += milliseconds { 1'001 };
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    CHECK(fixture.decisionsOf<RefuseRequest>().empty());
    CHECK(fixture.decisionsOf<FailRequest>().size() == 1);
}

TEST_CASE("retries of a service stay within the budget of the window")
{
    DispatchFixture fixture { { "z1", {}, 1, 200, 10, milliseconds { 10'000 } } };
    fixture.dispatcher.setEntryCount(10);
    for (int i = 0; i < 20; ++i) {
        fixture.registerUpstream("u" + std::to_string(i), "plain");
    }
    fixture.sync();
    std::size_t retries = 0;
    for (int i = 0; i < 200; ++i) {
        fixture.clearDecisions();
        const auto id = fixture.submit(atMostOnce);
        if (fixture.decisionsOf<SendRequest>().empty()) {
            continue;
        }
        fixture.clearDecisions();
        fixture.endAttempt(id, AttemptOutcome::Overloaded);
        retries += fixture.decisionsOf<SendRequest>().size();
        if (!fixture.decisionsOf<SendRequest>().empty()) {
            fixture.endAttempt(id, AttemptOutcome::Answered);
        }
    }
    CHECK(retries <= 200 / 5 + 10 / 10);
}

TEST_CASE("a draining upstream gets no requests after the drain time")
{
    DispatchFixture fixture;
    auto owner = fixture.registerUpstream("owner", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "" } } });
    owner.isDraining = true;
    fixture.apply(owner);
    fixture.sync();
    fixture.submit(keyedRoute, 5);
    CHECK(fixture.decisionsOf<SendRequest>().size() == 1);
    fixture.clearDecisions();
    fixture.now += milliseconds { 2'000 };
    fixture.submit(keyedRoute, 6);
    CHECK(fixture.decisionsOf<SendRequest>().empty());
    CHECK(fixture.decisionsOf<RefuseRequest>().size() == 1);
}

TEST_CASE("a draining upstream of a service that is not sharded gets no further requests")
{
    DispatchFixture fixture;
    auto leaving = fixture.registerUpstream("leaving", "plain");
    leaving.isDraining = true;
    fixture.apply(leaving);
    fixture.sync();
    fixture.submit(atMostOnce);
    CHECK(fixture.decisionsOf<SendRequest>().empty());
}

TEST_CASE("failures open the circuit of an upstream, and then one request at a time probes it")
{
    DispatchFixture fixture;
    fixture.registerUpstream("only", "plain");
    fixture.sync();
    for (int i = 0; i < 2; ++i) {
        fixture.endAttempt(fixture.submit(atMostOnce), AttemptOutcome::Lost);
    }
    fixture.clearDecisions();
    fixture.submit(atMostOnce);
    CHECK(fixture.decisionsOf<RefuseRequest>().at(0).reason == ResultCode::RequestCircuitOpen);
    fixture.now += milliseconds { 300 };
    fixture.clearDecisions();
    fixture.submit(atMostOnce);
    fixture.submit(atMostOnce);
    CHECK(fixture.decisionsOf<SendRequest>().size() == 1);
}

TEST_CASE("cancelling a request cancels its attempt and frees capacity")
{
    DispatchFixture fixture;
    fixture.registerUpstream("only", "plain");
    fixture.sync();
    const auto first = fixture.submit(atMostOnce);
    fixture.submit(atMostOnce);
    fixture.submit(atMostOnce);
    fixture.clearDecisions();
    fixture.dispatcher.cancel(fixture.now, first, fixture.decisions);
    CHECK(fixture.decisionsOf<CancelAttempt>().size() == 1);
    CHECK(fixture.decisionsOf<SendRequest>().size() == 1);
    CHECK(fixture.dispatcher.pendingRequestCount() == 2);
}

TEST_CASE("at the deadline a sent request fails with an unknown outcome and a queued request is refused")
{
    DispatchFixture fixture;
    fixture.registerUpstream("only", "plain");
    fixture.sync();
    for (int i = 0; i < 3; ++i) {
        fixture.submit(DispatchFixture::route("plain", RequestKind::AtMostOnce, milliseconds { 1'000 }));
    }
    const auto sent = fixture.decisionsOf<SendRequest>().size();
    REQUIRE(sent == 2);
    fixture.clearDecisions();
    fixture.now += milliseconds { 1'000 };
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    CHECK(fixture.decisionsOf<FailRequest>().size() >= 2);
    CHECK(fixture.decisionsOf<FailRequest>().size() + fixture.decisionsOf<RefuseRequest>().size() == 3);
    CHECK(fixture.dispatcher.pendingRequestCount() == 0);
}

TEST_CASE("a burst that exceeds the capacity is refused on arrival")
{
    // Many simultaneous requests to a service with few slots.
    DispatchFixture fixture;
    fixture.registerUpstream("a", "plain");
    fixture.registerUpstream("b", "plain");
    fixture.sync();
    for (int i = 0; i < 200; ++i) {
        fixture.submit(atMostOnce);
    }
    const auto refused = fixture.decisionsOf<RefuseRequest>();
    CHECK(refused.size() > 150);
    for (const auto& refusal : refused) {
        CHECK(refusal.reason == ResultCode::RequestShed);
        CHECK(refusal.retryAfter > Duration::zero());
    }
}

TEST_CASE("refused callers get different retry times")
{
    DispatchFixture fixture;
    fixture.sync();
    std::set<Duration> times;
    for (int i = 0; i < 20; ++i) {
        fixture.submit(atMostOnce);
    }
    for (const auto& refusal : fixture.decisionsOf<RefuseRequest>()) {
        times.insert(refusal.retryAfter);
    }
    CHECK(times.size() > 15);
}

TEST_CASE("entry VMs prefer different upstreams before any latency is measured")
{
    std::set<std::string> chosen;
    for (std::uint64_t preferenceSeed = 1; preferenceSeed <= 20; ++preferenceSeed) {
        DispatchFixture fixture { { "z1", {}, preferenceSeed, 200, 100, milliseconds { 10'000 } } };
        for (int i = 0; i < 10; ++i) {
            fixture.registerUpstream("u" + std::to_string(i), "plain");
        }
        fixture.sync();
        fixture.submit(atMostOnce);
        chosen.insert(fixture.decisionsOf<SendRequest>().at(0).upstream.name);
    }
    CHECK(chosen.size() >= 5);
}

TEST_CASE("upstreams in the same region are preferred")
{
    DispatchFixture fixture { { "z1", { { "z1", "r1" }, { "z9", "r9" } }, 1, 200, 100, milliseconds { 10'000 } } };
    auto far = announcement("far", "plain");
    far.zone = "z9";
    fixture.apply(far);
    fixture.registerUpstream("near", "plain");
    fixture.sync();
    fixture.submit(atMostOnce);
    CHECK(fixture.decisionsOf<SendRequest>().at(0).upstream.name == "near");
}

TEST_CASE("requests are split exactly by the weights of a route")
{
    DispatchFixture fixture;
    fixture.apply(ChangeItems { { serviceItem("second", false) }, {} });
    fixture.sync();
    auto item = std::get<RouteItem>(routeItem("r", "plain").content);
    item.shares = { { "plain", 90'000 }, { "second", 10'000 } };
    const auto split = std::make_shared<const CompiledRoute>(CompiledRoute { "split", 1, item });
    fixture.registerUpstream("a", "plain");
    fixture.registerUpstream("b", "second");
    fixture.sync();
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        fixture.clearDecisions();
        const auto id = fixture.submit(split);
        REQUIRE(fixture.decisionsOf<SendRequest>().size() == 1);
        ++counts[fixture.decisionsOf<SendRequest>()[0].upstream.name];
        fixture.endAttempt(id, AttemptOutcome::Answered);
    }
    CHECK(counts["a"] == 90);
    CHECK(counts["b"] == 10);
}

TEST_CASE("requests that exceed the link's bandwidth are refused immediately, the least urgent first")
{
    // Callers overload one entry VM with a slow link. Without the limit every response is delayed and the registry's
    // feed is lost.
    DispatchOptions options { "z1", {}, 1, 200, 100, milliseconds { 10'000 } };
    options.linkBytesPerSecond = 100'000;
    DispatchFixture fixture { options };
    for (int i = 0; i < 40; ++i) {
        fixture.registerUpstream("u" + std::to_string(i), "plain");
    }
    fixture.sync();
    auto urgent = std::get<RouteItem>(routeItem("urgent", "plain", 1, RequestKind::AtMostOnce).content);
    urgent.targetLatency = milliseconds { 300 };
    auto bulk = urgent;
    urgent.priority = 0;
    bulk.priority = 2;
    const auto urgentRoute = std::make_shared<const CompiledRoute>(CompiledRoute { "urgent", 1, urgent });
    const auto bulkRoute = std::make_shared<const CompiledRoute>(CompiledRoute { "bulk", 1, bulk });
    const auto serve = [&fixture](const std::shared_ptr<const CompiledRoute>& route, std::size_t bytes) {
        const auto id = fixture.submit(route);
        const bool isSent = !fixture.decisionsOf<SendRequest>().empty();
        fixture.dispatcher.responseReceived(id, bytes);
        fixture.endAttempt(id, AttemptOutcome::Answered);
        return isSent;
    };
    int served = 0;
    for (int i = 0; i < 100; ++i) {
        fixture.clearDecisions();
        served += serve(bulkRoute, 5'000) ? 1 : 0;
        fixture.now += milliseconds { 10 };
    }
    // The link carries 85,000 usable bytes in one second; a backlog of a fifth of the target latency is allowed on top.
    CHECK(served >= 16);
    CHECK(served <= 20);
    fixture.clearDecisions();
    fixture.submit(bulkRoute);
    REQUIRE(fixture.decisionsOf<RefuseRequest>().size() == 1);
    CHECK(fixture.decisionsOf<RefuseRequest>()[0].reason == ResultCode::RequestLinkFull);
    CHECK(fixture.decisionsOf<RefuseRequest>()[0].retryAfter <= milliseconds { 200 });
    fixture.clearDecisions();
    CHECK(serve(urgentRoute, 400));
    fixture.now += milliseconds { 1'000 };
    fixture.clearDecisions();
    CHECK(serve(bulkRoute, 5'000));
}
