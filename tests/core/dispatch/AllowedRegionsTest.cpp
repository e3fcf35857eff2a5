#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

std::shared_ptr<const CompiledRoute> confinedRoute(const std::string& service, std::vector<std::string> regions, RequestKind kind = RequestKind::Idempotent)
{
    auto route = *DispatchFixture::route(service, kind);
    route.item.allowedRegions = std::move(regions);
    return std::make_shared<const CompiledRoute>(std::move(route));
}

const auto hereRoute = confinedRoute("plain", { "here" });
const auto thereRoute = confinedRoute("plain", { "there" });
const auto anywhereRoute = DispatchFixture::route("plain", RequestKind::Idempotent);

/// Upstreams in the region of the entry VM ("here"), in another one ("there"), and in a zone without a known region.
struct Regions : DispatchFixture {
    Regions()
        : DispatchFixture({ "z1", { { "z1", "here" }, { "z2", "here" }, { "z3", "there" } }, 1, 200, 100, milliseconds { 10'000 } })
    {
    }

    RegisterUpstream registerIn(const std::string& name, const std::string& zone, const std::string& service = "plain", std::uint32_t slots = 3)
    {
        auto upstream = announcement(name, service);
        upstream.zone = zone;
        upstream.requestSlots = slots;
        this->apply(upstream);
        return upstream;
    }

    std::size_t count(const RegisterUpstream& upstream) const
    {
        const auto sent = this->decisionsOf<SendRequest>();
        return static_cast<std::size_t>(std::ranges::count(sent, upstream.key, &SendRequest::upstream));
    }

    ResultCode onlyRefusal() const
    {
        const auto refusals = this->decisionsOf<RefuseRequest>();
        REQUIRE(refusals.size() == 1);
        return refusals[0].reason;
    }
};

}

TEST_CASE("a request is sent only to upstreams in regions that its route allows")
{
    // Guards against requests that run where the law or the data forbid it.
    Regions fixture;
    const auto near = fixture.registerIn("near", "z1");
    const auto far = fixture.registerIn("far", "z3");
    const auto unknown = fixture.registerIn("unknown", "z9");
    fixture.sync();
    for (int i = 0; i < 12; ++i) {
        fixture.submit(hereRoute);
    }
    CHECK(fixture.count(near) > 0);
    CHECK(fixture.count(far) == 0);
    CHECK(fixture.count(unknown) == 0);
}

TEST_CASE("a route without allowed regions uses all upstreams, also in zones without a known region")
{
    Regions fixture;
    const auto unknown = fixture.registerIn("unknown", "z9");
    fixture.sync();
    fixture.submit(anywhereRoute);
    CHECK(fixture.count(unknown) == 1);
    fixture.clearDecisions();
    fixture.submit(hereRoute);
    CHECK(fixture.onlyRefusal() == ResultCode::RequestRegionUnavailable);
}

TEST_CASE("callers of one region are served by a route that is allowed only in another")
{
    // The handicap of other regions orders upstreams, it must not keep requests from the only ones that may serve them.
    Regions fixture;
    fixture.registerIn("near", "z1");
    const auto far = fixture.registerIn("far", "z3");
    fixture.sync();
    const auto id = fixture.submit(thereRoute);
    CHECK(fixture.count(far) == 1);
    fixture.endAttempt(id, AttemptOutcome::Answered);
    CHECK(fixture.decisionsOf<DeliverResponse>().size() == 1);
}

TEST_CASE("a request is refused at once if the service has upstreams in other regions only")
{
    Regions fixture;
    fixture.registerIn("far", "z3");
    fixture.sync();
    fixture.submit(hereRoute);
    CHECK(fixture.onlyRefusal() == ResultCode::RequestRegionUnavailable);
    CHECK(fixture.decisionsOf<SendRequest>().empty());
}

TEST_CASE("a queued request is refused as soon as the last upstream of its regions has left")
{
    // Guards against requests that wait for their deadline although no upstream can serve them.
    Regions fixture;
    const auto near = fixture.registerIn("near", "z1", "plain", 1);
    fixture.registerIn("far", "z3");
    fixture.sync();
    const auto running = fixture.submit(hereRoute, std::nullopt, milliseconds { 3'000 });
    fixture.submit(hereRoute, std::nullopt, milliseconds { 3'000 });
    fixture.submit(hereRoute, std::nullopt, milliseconds { 3'000 });
    REQUIRE(fixture.dispatcher.pendingRequestCount() == 3);
    const auto sent = fixture.decisionsOf<SendRequest>().size();
    fixture.apply(RemoveUpstream { near.key, true });
    fixture.sync();
    CHECK(fixture.decisionsOf<RefuseRequest>().size() == 3 - sent);
    CHECK(fixture.decisionsOf<SendRequest>().size() == sent);
    for (const auto& refusal : fixture.decisionsOf<RefuseRequest>()) {
        CHECK(refusal.reason == ResultCode::RequestRegionUnavailable);
        CHECK(refusal.id != running);
    }
}

TEST_CASE("a retry stays in the allowed regions")
{
    Regions fixture;
    fixture.registerIn("near", "z1");
    const auto far = fixture.registerIn("far", "z3");
    fixture.sync();
    const auto outcome = GENERATE(AttemptOutcome::Overloaded, AttemptOutcome::NotSent, AttemptOutcome::Failed);
    const auto id = fixture.submit(hereRoute);
    fixture.endAttempt(id, outcome);
    CHECK(fixture.count(far) == 0);
    CHECK(fixture.dispatcher.pendingRequestCount() == 0);
}

TEST_CASE("a keyed request whose owner is in another region is refused at once")
{
    Regions fixture;
    const auto far = fixture.registerIn("owner", "z3", "keys");
    fixture.registerIn("other", "z1", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, far.key, "" } } });
    fixture.sync();
    fixture.submit(confinedRoute("keys", { "here" }), 5);
    CHECK(fixture.onlyRefusal() == ResultCode::RequestRegionUnavailable);
    fixture.submit(confinedRoute("keys", { "there" }), 5);
    CHECK(fixture.count(far) == 1);
}

TEST_CASE("a keyed request that waits is refused if its key moves to another region")
{
    // Guards against a probe or a queued request that follows its key into a region that is not allowed.
    Regions fixture;
    const auto near = fixture.registerIn("near", "z1", "keys");
    const auto far = fixture.registerIn("far", "z3", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, near.key, "" } } });
    fixture.apply(BeginKeyMoves { "keys", { { 0, 99, far.key } } });
    fixture.sync();
    const auto id = fixture.submit(confinedRoute("keys", { "here" }), 5);
    fixture.endAttempt(id, AttemptOutcome::Misdirected);
    REQUIRE(fixture.decisionsOf<RefuseRequest>().empty());
    fixture.apply(AssignKeyRanges { "keys", { { 0, 99, far.key, "token" } } });
    fixture.sync();
    CHECK(fixture.onlyRefusal() == ResultCode::RequestRegionUnavailable);
    CHECK(fixture.count(far) == 0);
}

TEST_CASE("requests confined to a region are admitted by the capacity of that region")
{
    // Guards against a queue for a small region that is as long as if the service's upstreams in all regions served it.
    Regions fixture;
    fixture.registerIn("near", "z1", "plain", 1);
    for (int i = 0; i < 9; ++i) {
        fixture.registerIn("far" + std::to_string(i), "z3", "plain", 4);
    }
    fixture.sync();
    for (int i = 0; i < 40; ++i) {
        fixture.submit(hereRoute);
    }
    const auto admitted = fixture.dispatcher.pendingRequestCount();
    CHECK(admitted <= 10);
    CHECK(fixture.decisionsOf<SendRequest>().size() <= 2);
    for (const auto& refusal : fixture.decisionsOf<RefuseRequest>()) {
        CHECK(refusal.reason == ResultCode::RequestShed);
    }
    fixture.clearDecisions();
    fixture.submit(anywhereRoute);
    CHECK(fixture.decisionsOf<SendRequest>().size() == 1);
}

TEST_CASE("requests that wait for a full region neither delay others nor count as waiting before them")
{
    Regions fixture;
    fixture.registerIn("near", "z1", "plain", 1);
    const auto far = fixture.registerIn("far", "z3", "plain", 4);
    fixture.sync();
    for (int i = 0; i < 6; ++i) {
        fixture.submit(hereRoute);
    }
    fixture.clearDecisions();
    const auto first = fixture.submit(thereRoute);
    const auto second = fixture.submit(thereRoute);
    fixture.submit(thereRoute);
    CHECK(fixture.count(far) == 2);
    fixture.endAttempt(first, AttemptOutcome::Answered);
    fixture.endAttempt(second, AttemptOutcome::Answered);
    CHECK(fixture.count(far) == 3);
    CHECK(fixture.decisionsOf<RefuseRequest>().empty());
}

TEST_CASE("a request that waits follows a change of its route's regions")
{
    // Guards against requests that are sent to a region long after the route has left it.
    Regions fixture;
    fixture.registerIn("near", "z1", "plain", 1);
    const auto far = fixture.registerIn("far", "z3", "plain", 1);
    fixture.sync();
    std::vector<PendingRequestId> running(6);
    for (auto& id : running) {
        id = fixture.submit(anywhereRoute);
    }
    REQUIRE(fixture.decisionsOf<RefuseRequest>().empty());
    REQUIRE(fixture.decisionsOf<SendRequest>().size() < running.size());
    auto changed = routeItem("r", "plain", 2, RequestKind::Idempotent);
    std::get<RouteItem>(changed.content).allowedRegions = { "here" };
    fixture.apply(ChangeItems { { changed }, {} });
    fixture.sync();
    const auto sentBefore = fixture.count(far);
    const auto sends = fixture.decisionsOf<SendRequest>();
    for (const auto& send : sends) {
        fixture.endAttempt(send.id, AttemptOutcome::Answered);
    }
    CHECK(fixture.decisionsOf<SendRequest>().size() > sends.size());
    CHECK(fixture.count(far) == sentBefore);
}

TEST_CASE("unknown names of regions allow nothing")
{
    const RegionTable table { { { "z1", "here" }, { "z3", "there" } } };
    const std::vector<std::string> unknown { "elsewhere" };
    const std::vector<std::string> here { "here", "elsewhere" };
    CHECK(!table.allowed(unknown).overlaps(table.regionOf("z1")));
    CHECK(!table.allowed(unknown).overlaps(table.regionOf("z9")));
    CHECK(table.allowed(here).overlaps(table.regionOf("z1")));
    CHECK(!table.allowed(here).overlaps(table.regionOf("z3")));
    CHECK(table.allowed({}).overlaps(table.regionOf("z9")));
}
