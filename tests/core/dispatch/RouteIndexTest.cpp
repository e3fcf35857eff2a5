#include "core/dispatch/RouteIndex.h"

#include "core/registry/RegistryFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;

namespace {

ConfigItem makeRoute(const std::string& name, const std::string& host, const std::string& prefix)
{
    auto item = routeItem(name, "a");
    std::get<RouteItem>(item.content).host = host;
    std::get<RouteItem>(item.content).pathPrefix = prefix;
    return item;
}

}

TEST_CASE("the longest matching path prefix of a host is chosen")
{
    RegistryState state;
    REQUIRE(applyNext(state, ChangeItems { { serviceItem("a", false), makeRoute("short", "One.example", "/x/"), makeRoute("long", "one.example", "/x/y/"), makeRoute("other", "two.example", "/") }, {} }) == ResultCode::Ok);
    const RouteIndex index { state };
    CHECK(index.size() == 3);
    CHECK(index.find("one.example", "/x/z")->name == "short");
    CHECK(index.find("ONE.example", "/x/y/z")->name == "long");
    CHECK(index.find("one.example", "/x/yz")->name == "short");
    CHECK(index.find("one.example", "/z") == nullptr);
    CHECK(index.find("three.example", "/x/") == nullptr);
    CHECK(index.find("two.example", "/anything/at/all")->name == "other");
    CHECK(index.find(std::string(300, 'h'), "/") == nullptr);
}
