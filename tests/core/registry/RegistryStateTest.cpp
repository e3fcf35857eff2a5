#include "core/registry/RegistryState.h"

#include "adapters/codec/Codec.h"
#include "core/registry/RegistryFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;

namespace {

RegistryState stateWithService()
{
    RegistryState state;
    REQUIRE(applyNext(state, ChangeItems { { serviceItem("a", false), serviceItem("k", true) }, {} }) == ResultCode::Ok);
    return state;
}

std::vector<std::string> itemNames(const RegistryState& state)
{
    std::vector<std::string> names;
    state.forEachItem([&names](const ConfigItem& item) { names.push_back(item.name); });
    return names;
}

}

TEST_CASE("the highest version of an item wins, including a deletion")
{
    auto state = stateWithService();
    CHECK(applyNext(state, ChangeItems { { routeItem("r", "a", 5) }, {} }) == ResultCode::Ok);
    CHECK(applyNext(state, ChangeItems { { routeItem("r", "k", 4) }, {} }) == ResultCode::Ok);
    CHECK(itemNames(state) == std::vector<std::string> { "r", "a", "k" });
    CHECK(applyNext(state, ChangeItems { {}, { { ItemKind::Route, "r", 6 } } }) == ResultCode::Ok);
    CHECK(itemNames(state) == std::vector<std::string> { "a", "k" });
    // An older change that is delivered again must not restore the item.
    CHECK(applyNext(state, ChangeItems { { routeItem("r", "a", 5) }, {} }) == ResultCode::Ok);
    CHECK(itemNames(state) == std::vector<std::string> { "a", "k" });
}

TEST_CASE("different content under an existing version is rejected")
{
    auto state = stateWithService();
    REQUIRE(applyNext(state, ChangeItems { { routeItem("r", "a", 5) }, {} }) == ResultCode::Ok);
    CHECK(applyNext(state, ChangeItems { { routeItem("r", "k", 5) }, {} }) == ResultCode::ItemConflict);
    CHECK(applyNext(state, ChangeItems { {}, { { ItemKind::Route, "r", 5 } } }) == ResultCode::ItemConflict);
    CHECK(applyNext(state, ChangeItems { { routeItem("r", "a", 5) }, {} }) == ResultCode::Ok);
}

TEST_CASE("no part of an invalid change is applied")
{
    auto state = stateWithService();
    const auto before = state.itemsChangedAt();
    auto bad = routeItem("bad", "missing");
    CHECK(applyNext(state, ChangeItems { { routeItem("good", "a"), bad }, {} }) == ResultCode::ItemsInvalid);
    CHECK(itemNames(state) == std::vector<std::string> { "a", "k" });
    CHECK(state.itemsChangedAt() == before);
}

TEST_CASE("each invalid field of a route makes a change invalid")
{
    const auto state = stateWithService();
    auto item = routeItem("r", "a");
    auto& route = std::get<RouteItem>(item.content);
    SECTION("empty host") { route.host.clear(); }
    SECTION("prefix without slash") { route.pathPrefix = "r/"; }
    SECTION("no timeout") { route.timeout = {}; }
    SECTION("target latency a minute above the timeout") { route.targetLatency = route.timeout + std::chrono::seconds { 60 }; }
    SECTION("no service") { route.shares.clear(); }
    SECTION("no weight") { route.shares = { { "a", 0 } }; }
    SECTION("service deleted by the same change")
    {
        CHECK(state.check({ { item }, { { ItemKind::Service, "a", 2 } } }).error() == ResultCode::ItemsInvalid);
        return;
    }
    CHECK(state.check({ { item }, {} }).error() == ResultCode::ItemsInvalid);
}

TEST_CASE("a change that is applied entirely is recognised")
{
    auto state = stateWithService();
    const ChangeItems change { { routeItem("r", "a", 5) }, {} };
    CHECK(!state.isAlreadyApplied(change));
    REQUIRE(applyNext(state, change) == ResultCode::Ok);
    CHECK(state.isAlreadyApplied(change));
}

TEST_CASE("a change that drops a service which a standing route names is rejected")
{
    // Guards against a route whose service is gone, so that none of its requests is served any more (review/9).
    auto state = stateWithService();
    auto split = routeItem("split", "a", 5);
    std::get<RouteItem>(split.content).shares = { { "a", 90 }, { "k", 0 } };
    REQUIRE(applyNext(state, ChangeItems { { routeItem("r", "a", 5), split }, {} }) == ResultCode::Ok);
    const auto before = state.itemsChangedAt();
    const ItemDeletion dropsA { ItemKind::Service, "a", 9 };
    const ItemDeletion dropsK { ItemKind::Service, "k", 9 };
    CHECK(applyNext(state, ChangeItems { {}, { dropsA } }) == ResultCode::ItemsInvalid);
    CHECK(applyNext(state, ChangeItems { {}, { dropsK } }) == ResultCode::ItemsInvalid);
    // Only versions that take effect move a route away from the service.
    CHECK(applyNext(state, ChangeItems { { routeItem("r", "k", 4) }, { dropsA, { ItemKind::Route, "split", 9 } } }) == ResultCode::ItemsInvalid);
    CHECK(applyNext(state, ChangeItems { {}, { dropsA, { ItemKind::Route, "r", 4 }, { ItemKind::Route, "split", 9 } } }) == ResultCode::ItemsInvalid);
    // A service that the same change sets under a lower version stays dropped.
    CHECK(applyNext(state, ChangeItems { { serviceItem("a", false, 8) }, { dropsA } }) == ResultCode::ItemsInvalid);
    CHECK(state.itemsChangedAt() == before);
    CHECK(state.findService("a") != nullptr);
}

TEST_CASE("a service may be dropped if no standing route names it")
{
    auto state = stateWithService();
    REQUIRE(applyNext(state, ChangeItems { { routeItem("r", "a", 5) }, {} }) == ResultCode::Ok);
    SECTION("the route goes elsewhere in the same change")
    {
        CHECK(applyNext(state, ChangeItems { { routeItem("r", "k", 6) }, { { ItemKind::Service, "a", 9 } } }) == ResultCode::Ok);
        CHECK(state.findService("a") == nullptr);
    }
    SECTION("the route is dropped in the same change")
    {
        CHECK(applyNext(state, ChangeItems { {}, { { ItemKind::Route, "r", 6 }, { ItemKind::Service, "a", 9 } } }) == ResultCode::Ok);
        CHECK(state.findService("a") == nullptr);
    }
    SECTION("the same change sets it under a higher version")
    {
        CHECK(applyNext(state, ChangeItems { { serviceItem("a", false, 10) }, { { ItemKind::Service, "a", 9 } } }) == ResultCode::Ok);
        CHECK(state.findService("a") != nullptr);
    }
    SECTION("the drop is older than the service and takes no effect")
    {
        REQUIRE(applyNext(state, ChangeItems { { serviceItem("a", false, 10) }, {} }) == ResultCode::Ok);
        CHECK(applyNext(state, ChangeItems { {}, { { ItemKind::Service, "a", 9 } } }) == ResultCode::Ok);
        CHECK(state.findService("a") != nullptr);
    }
}

TEST_CASE("a route does not bring back a service that a higher version has dropped")
{
    // Guards against a check that takes a service for set because the change contains it, whatever its version.
    auto state = stateWithService();
    REQUIRE(applyNext(state, ChangeItems { {}, { { ItemKind::Service, "a", 9 } } }) == ResultCode::Ok);
    CHECK(applyNext(state, ChangeItems { { serviceItem("a", false, 7), routeItem("r", "a", 10) }, {} }) == ResultCode::ItemsInvalid);
    CHECK(applyNext(state, ChangeItems { { serviceItem("a", false, 10), routeItem("r", "a", 10) }, {} }) == ResultCode::Ok);
}

TEST_CASE("a change that was accepted is accepted again when its routes and services have been replaced")
{
    // Guards against a rejection of a change that is sent again after its acknowledgement was lost.
    auto state = stateWithService();
    const ChangeItems change { { serviceItem("new", false, 5), routeItem("r", "new", 5), routeItem("s", "a", 5) }, {} };
    REQUIRE(applyNext(state, change) == ResultCode::Ok);
    const ChangeItems laterPart { { routeItem("t", "new", 6) }, {} };
    REQUIRE(applyNext(state, laterPart) == ResultCode::Ok);
    const ChangeItems drop { { routeItem("s", "k", 7) }, { { ItemKind::Route, "r", 7 }, { ItemKind::Route, "t", 7 }, { ItemKind::Service, "new", 7 }, { ItemKind::Service, "a", 7 } } };
    REQUIRE(applyNext(state, drop) == ResultCode::Ok);
    for (const auto& again : { change, laterPart, drop }) {
        CHECK(state.check(again));
        CHECK(state.isAlreadyApplied(again));
    }
    // A service that never existed makes a change invalid under any version.
    CHECK(applyNext(state, ChangeItems { { routeItem("s", "missing", 6) }, {} }) == ResultCode::ItemsInvalid);
}

TEST_CASE("a late announcement of an earlier incarnation does not replace the upstream that has its address")
{
    auto state = stateWithService();
    auto old = announcement("old", "a", 10);
    auto fresh = announcement("fresh", "a", 20);
    fresh.endpoint = old.endpoint;
    REQUIRE(applyNext(state, old) == ResultCode::Ok);
    REQUIRE(applyNext(state, fresh) == ResultCode::Ok);
    CHECK(!state.isAlive(old.key));
    CHECK(applyNext(state, old) == ResultCode::AlreadyApplied);
    CHECK(state.isAlive(fresh.key));
}

TEST_CASE("an earlier incarnation under the same name is ignored")
{
    auto state = stateWithService();
    REQUIRE(applyNext(state, announcement("u", "a", 20)) == ResultCode::Ok);
    CHECK(applyNext(state, announcement("u", "a", 10)) == ResultCode::AlreadyApplied);
    CHECK(applyNext(state, announcement("u", "a", 30)) == ResultCode::Ok);
    CHECK(state.isAlive({ "u", 30 }));
    CHECK(!state.isAlive({ "u", 20 }));
}

TEST_CASE("a draining upstream does not become ready again")
{
    auto state = stateWithService();
    auto upstream = announcement("u", "a");
    upstream.isDraining = true;
    REQUIRE(applyNext(state, upstream) == ResultCode::Ok);
    upstream.isDraining = false;
    CHECK(applyNext(state, upstream) == ResultCode::AlreadyApplied);
    CHECK(state.findUpstream("u")->state == UpstreamState::Draining);
    REQUIRE(applyNext(state, RemoveUpstream { upstream.key, true }) == ResultCode::Ok);
    CHECK(applyNext(state, upstream) == ResultCode::AlreadyApplied);
    CHECK(state.findUpstream("u")->state == UpstreamState::Gone);
}

TEST_CASE("an upstream that was removed as unresponsive may return with the same incarnation")
{
    auto state = stateWithService();
    const auto upstream = announcement("u", "a");
    REQUIRE(applyNext(state, upstream) == ResultCode::Ok);
    REQUIRE(applyNext(state, RemoveUpstream { upstream.key, false }) == ResultCode::Ok);
    CHECK(!state.isAlive(upstream.key));
    CHECK(applyNext(state, upstream) == ResultCode::Ok);
    CHECK(state.isAlive(upstream.key));
}

TEST_CASE("moves to a removed upstream are cancelled")
{
    auto state = stateWithService();
    const auto from = announcement("from", "k");
    const auto to = announcement("to", "k");
    REQUIRE(applyNext(state, from) == ResultCode::Ok);
    REQUIRE(applyNext(state, to) == ResultCode::Ok);
    REQUIRE(applyNext(state, AssignKeyRanges { "k", { { 0, keyNumberCount - 1, from.key, "" } } }) == ResultCode::Ok);
    REQUIRE(applyNext(state, BeginKeyMoves { "k", { { 0, 99, to.key } } }) == ResultCode::Ok);
    CHECK(state.findRange("k", 5)->isMoving());
    REQUIRE(applyNext(state, RemoveUpstream { to.key, false }) == ResultCode::Ok);
    CHECK(!state.findRange("k", 5)->isMoving());
    CHECK(state.keyRanges("k").size() == 1);
}

TEST_CASE("an encoded registry snapshot decodes to the same state, and malformed bytes are rejected")
{
    auto state = stateWithService();
    REQUIRE(applyNext(state, ChangeItems { { routeItem("r", "a", 5) }, { { ItemKind::Route, "gone", 3 } } }) == ResultCode::Ok);
    REQUIRE(applyNext(state, announcement("u", "k")) == ResultCode::Ok);
    REQUIRE(applyNext(state, AssignKeyRanges { "k", { { 0, 9, { "u", 1 }, "token" } } }) == ResultCode::Ok);
    REQUIRE(applyNext(state, ChangeMembers { { { NodeId { 1 }, DiskId { 2 }, true } } }) == ResultCode::Ok);
    const auto decoded = decodeRegistrySnapshot(encodeRegistrySnapshot(state.snapshot()));
    REQUIRE(decoded);
    RegistryState restored;
    restored.restore(*decoded);
    CHECK(restored.snapshot() == state.snapshot());
    CHECK(decodeRegistrySnapshot(std::vector<std::uint8_t> { 1, 2, 3 }).error() == ResultCode::SnapshotCorrupt);
}
