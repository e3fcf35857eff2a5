#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

const auto once = DispatchFixture::route("plain", RequestKind::AtMostOnce);
const auto repeatable = DispatchFixture::route("plain", RequestKind::Idempotent);
const auto keyed = DispatchFixture::route("keys", RequestKind::Idempotent);

}

TEST_CASE("a request that must not run twice is not sent again once it may have run")
{
    DispatchFixture fixture;
    fixture.add("a", "plain");
    fixture.add("b", "plain");
    fixture.sync();
    const auto id = fixture.submit(once);
    REQUIRE(fixture.decided<SendRequest>().size() == 1);
    fixture.forget();
    SECTION("the answer is lost")
    {
        fixture.end(id, AttemptOutcome::Lost);
        CHECK(fixture.decided<FailRequest>().size() == 1);
    }
    SECTION("the upstream failed while it ran")
    {
        fixture.end(id, AttemptOutcome::Failed);
        CHECK(fixture.decided<DeliverResponse>().size() == 1);
    }
    CHECK(fixture.decided<SendRequest>().empty());
    CHECK(fixture.decided<RefuseRequest>().empty());
}

TEST_CASE("a request that did not run goes to another upstream")
{
    DispatchFixture fixture;
    fixture.add("a", "plain");
    fixture.add("b", "plain");
    fixture.sync();
    const auto id = fixture.submit(once);
    const auto first = fixture.decided<SendRequest>().at(0).upstream;
    fixture.forget();
    fixture.end(id, AttemptOutcome::Overloaded);
    REQUIRE(fixture.decided<SendRequest>().size() == 1);
    CHECK(fixture.decided<SendRequest>()[0].upstream != first);
}

TEST_CASE("a request that no other upstream can serve is refused at once")
{
    DispatchFixture fixture;
    fixture.add("only", "plain");
    fixture.sync();
    const auto id = fixture.submit(once);
    fixture.forget();
    fixture.end(id, AttemptOutcome::NotSent);
    CHECK(fixture.decided<RefuseRequest>().size() == 1);
    CHECK(fixture.dispatcher.openRequests() == 0);
}

TEST_CASE("attempts bound how often a request is sent")
{
    DispatchFixture fixture;
    for (const auto* name : { "a", "b", "c" }) {
        fixture.add(name, "plain");
    }
    fixture.sync();
    const auto id = fixture.submit(once);
    fixture.end(id, AttemptOutcome::Overloaded);
    fixture.end(id, AttemptOutcome::Overloaded);
    CHECK(fixture.decided<SendRequest>().size() == 2);
    CHECK(fixture.decided<RefuseRequest>().size() == 1);
}

TEST_CASE("a repeatable request that may have run is never refused as not run")
{
    DispatchFixture fixture;
    fixture.add("a", "plain");
    fixture.sync();
    const auto id = fixture.submit(repeatable);
    fixture.end(id, AttemptOutcome::Lost);
    fixture.now += milliseconds { 1'001 };
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    CHECK(fixture.decided<RefuseRequest>().empty());
    CHECK(fixture.decided<FailRequest>().size() == 1);
}

TEST_CASE("retries of a service stay within the budget of the window")
{
    DispatchFixture fixture { { "z1", {}, 1, 200, 10, milliseconds { 10'000 } } };
    fixture.dispatcher.setEntryCount(10);
    for (int i = 0; i < 20; ++i) {
        fixture.add("u" + std::to_string(i), "plain");
    }
    fixture.sync();
    std::size_t retries = 0;
    for (int i = 0; i < 200; ++i) {
        fixture.forget();
        const auto id = fixture.submit(once);
        if (fixture.decided<SendRequest>().empty()) {
            continue;
        }
        fixture.forget();
        fixture.end(id, AttemptOutcome::Overloaded);
        retries += fixture.decided<SendRequest>().size();
        if (!fixture.decided<SendRequest>().empty()) {
            fixture.end(id, AttemptOutcome::Answered);
        }
    }
    CHECK(retries <= 200 / 5 + 10 / 10);
}

TEST_CASE("an upstream that leaves gets no request after the drain time")
{
    DispatchFixture fixture;
    auto owner = fixture.add("owner", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "" } } });
    owner.isDraining = true;
    fixture.apply(owner);
    fixture.sync();
    fixture.submit(keyed, 5);
    CHECK(fixture.decided<SendRequest>().size() == 1);
    fixture.forget();
    fixture.now += milliseconds { 2'000 };
    fixture.submit(keyed, 6);
    CHECK(fixture.decided<SendRequest>().empty());
    CHECK(fixture.decided<RefuseRequest>().size() == 1);
}

TEST_CASE("an upstream without keys that leaves gets no further request")
{
    DispatchFixture fixture;
    auto leaving = fixture.add("leaving", "plain");
    leaving.isDraining = true;
    fixture.apply(leaving);
    fixture.sync();
    fixture.submit(once);
    CHECK(fixture.decided<SendRequest>().empty());
}

TEST_CASE("failures close an upstream, and one request at a time tries it again")
{
    DispatchFixture fixture;
    fixture.add("only", "plain");
    fixture.sync();
    for (int i = 0; i < 2; ++i) {
        fixture.end(fixture.submit(once), AttemptOutcome::Lost);
    }
    fixture.forget();
    fixture.submit(once);
    CHECK(fixture.decided<RefuseRequest>().at(0).reason == ResultCode::RequestCircuitOpen);
    fixture.now += milliseconds { 300 };
    fixture.forget();
    fixture.submit(once);
    fixture.submit(once);
    CHECK(fixture.decided<SendRequest>().size() == 1);
}

TEST_CASE("a caller that leaves ends the attempt and makes room")
{
    DispatchFixture fixture;
    fixture.add("only", "plain");
    fixture.sync();
    const auto first = fixture.submit(once);
    fixture.submit(once);
    fixture.submit(once);
    fixture.forget();
    fixture.dispatcher.cancel(fixture.now, first, fixture.decisions);
    CHECK(fixture.decided<CancelAttempt>().size() == 1);
    CHECK(fixture.decided<SendRequest>().size() == 1);
    CHECK(fixture.dispatcher.openRequests() == 2);
}

TEST_CASE("a request under way at its deadline ends as unknown, a queued one as not run")
{
    DispatchFixture fixture;
    fixture.add("only", "plain");
    fixture.sync();
    for (int i = 0; i < 3; ++i) {
        fixture.submit(DispatchFixture::route("plain", RequestKind::AtMostOnce, milliseconds { 1'000 }));
    }
    const auto sent = fixture.decided<SendRequest>().size();
    REQUIRE(sent == 2);
    fixture.forget();
    fixture.now += milliseconds { 1'000 };
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    CHECK(fixture.decided<FailRequest>().size() >= 2);
    CHECK(fixture.decided<FailRequest>().size() + fixture.decided<RefuseRequest>().size() == 3);
    CHECK(fixture.dispatcher.openRequests() == 0);
}

TEST_CASE("a burst beyond what can be answered in time is refused on arrival")
{
    // Replays the load pattern of many users at once at a service with few slots.
    DispatchFixture fixture;
    fixture.add("a", "plain");
    fixture.add("b", "plain");
    fixture.sync();
    for (int i = 0; i < 200; ++i) {
        fixture.submit(once);
    }
    const auto refused = fixture.decided<RefuseRequest>();
    CHECK(refused.size() > 150);
    for (const auto& refusal : refused) {
        CHECK(refusal.reason == ResultCode::RequestShed);
        CHECK(refusal.retryAfter > Duration::zero());
    }
}

TEST_CASE("refused callers are asked to return at different times")
{
    DispatchFixture fixture;
    fixture.sync();
    std::set<Duration> times;
    for (int i = 0; i < 20; ++i) {
        fixture.submit(once);
    }
    for (const auto& refusal : fixture.decided<RefuseRequest>()) {
        times.insert(refusal.retryAfter);
    }
    CHECK(times.size() > 15);
}

TEST_CASE("entry VMs prefer different upstreams where nothing is measured")
{
    std::set<std::string> chosen;
    for (std::uint64_t preferenceSeed = 1; preferenceSeed <= 20; ++preferenceSeed) {
        DispatchFixture fixture { { "z1", {}, preferenceSeed, 200, 100, milliseconds { 10'000 } } };
        for (int i = 0; i < 10; ++i) {
            fixture.add("u" + std::to_string(i), "plain");
        }
        fixture.sync();
        fixture.submit(once);
        chosen.insert(fixture.decided<SendRequest>().at(0).upstream.name);
    }
    CHECK(chosen.size() >= 5);
}

TEST_CASE("upstreams of the own region come first")
{
    DispatchFixture fixture { { "z1", { { "z1", "r1" }, { "z9", "r9" } }, 1, 200, 100, milliseconds { 10'000 } } };
    auto far = announcement("far", "plain");
    far.zone = "z9";
    fixture.apply(far);
    fixture.add("near", "plain");
    fixture.sync();
    fixture.submit(once);
    CHECK(fixture.decided<SendRequest>().at(0).upstream.name == "near");
}

TEST_CASE("weights of a route are kept exactly")
{
    DispatchFixture fixture;
    fixture.apply(ChangeItems { { serviceItem("second", false) }, {} });
    fixture.sync();
    auto item = std::get<RouteItem>(routeItem("r", "plain").content);
    item.shares = { { "plain", 90'000 }, { "second", 10'000 } };
    const auto split = std::make_shared<const CompiledRoute>(CompiledRoute { "split", 1, item });
    fixture.add("a", "plain");
    fixture.add("b", "second");
    fixture.sync();
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        fixture.forget();
        const auto id = fixture.submit(split);
        REQUIRE(fixture.decided<SendRequest>().size() == 1);
        ++counts[fixture.decided<SendRequest>()[0].upstream.name];
        fixture.end(id, AttemptOutcome::Answered);
    }
    CHECK(counts["a"] == 90);
    CHECK(counts["b"] == 10);
}

TEST_CASE("requests beyond what the link carries are refused at once, the least urgent first")
{
    // Replays the load pattern of callers that crowd at one entry VM with a slow link: without the bound every answer
    // waits, and the registry's feed is lost.
    DispatchOptions options { "z1", {}, 1, 200, 100, milliseconds { 10'000 } };
    options.linkBytesPerSecond = 100'000;
    DispatchFixture fixture { options };
    for (int i = 0; i < 40; ++i) {
        fixture.add("u" + std::to_string(i), "plain");
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
        const bool isSent = !fixture.decided<SendRequest>().empty();
        fixture.dispatcher.responseReceived(id, bytes);
        fixture.end(id, AttemptOutcome::Answered);
        return isSent;
    };
    int served = 0;
    for (int i = 0; i < 100; ++i) {
        fixture.forget();
        served += serve(bulkRoute, 5'000) ? 1 : 0;
        fixture.now += milliseconds { 10 };
    }
    // The second carries 85,000 bytes, and a fifth of the target latency may be taken in advance.
    CHECK(served >= 16);
    CHECK(served <= 20);
    fixture.forget();
    fixture.submit(bulkRoute);
    REQUIRE(fixture.decided<RefuseRequest>().size() == 1);
    CHECK(fixture.decided<RefuseRequest>()[0].reason == ResultCode::RequestLinkFull);
    CHECK(fixture.decided<RefuseRequest>()[0].retryAfter <= milliseconds { 200 });
    fixture.forget();
    CHECK(serve(urgentRoute, 400));
    fixture.now += milliseconds { 1'000 };
    fixture.forget();
    CHECK(serve(bulkRoute, 5'000));
}
