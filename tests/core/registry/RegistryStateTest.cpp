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
