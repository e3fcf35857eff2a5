#include "adapters/codec/Codec.h"
#include "core/registry/RegistryFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

LogEntry entryOf(Command command) { return { Term { 3 }, LogIndex { 7 }, std::move(command) }; }

LogEntry changeOf(ConfigItem item) { return entryOf(ChangeItems { { std::move(item) }, {} }); }

ConfigItem confinedRoute()
{
    auto item = routeItem("r", "a");
    std::get<RouteItem>(item.content).allowedRegions = { "north", "south" };
    return item;
}

ConfigItem warmingService()
{
    auto item = serviceItem("a", false);
    auto& service = std::get<ServiceItem>(item.content);
    service.warmUpTime = milliseconds { 3'000 };
    service.warmUpMilliRequestsPerSecond = 5'200;
    return item;
}

}

TEST_CASE("entries of regions, warm-ups and evacuations decode to themselves")
{
    // Guards against members and entry VMs that apply a command differently from its proposer.
    const auto entry = GENERATE(changeOf(confinedRoute()), changeOf(warmingService()), entryOf(BeginWarmUp { { "u", 5 }, milliseconds { 2'500 } }), entryOf(EvacuateZone { "z1", true }), entryOf(EvacuateZone { "z1", false }));
    const auto decoded = decodeLogEntry(encodeLogEntry(entry));
    REQUIRE(decoded);
    CHECK(*decoded == entry);
}

TEST_CASE("items without regions and warm-up are encoded as before these existed")
{
    // Guards against logs that a former version cannot read, and logs of a former version that this one cannot. The bytes of a
    // confined route differ in the number of its encoding and in the names of its regions.
    const auto plain = encodeLogEntry(changeOf(routeItem("r", "a")));
    const auto confined = encodeLogEntry(changeOf(confinedRoute()));
    constexpr std::size_t regionBytes = 4 + (4 + 5) * 2;
    CHECK(confined.size() == plain.size() + regionBytes);
    const auto difference = std::ranges::mismatch(plain, confined);
    REQUIRE(difference.in1 != plain.end());
    CHECK(*difference.in1 == 0);
    CHECK(*difference.in2 == 3);
    const auto service = encodeLogEntry(changeOf(serviceItem("a", false)));
    CHECK(encodeLogEntry(changeOf(warmingService())).size() == service.size() + sizeof(std::int64_t) + sizeof(std::uint32_t));
}

TEST_CASE("a content of an unknown encoding is rejected")
{
    auto bytes = encodeLogEntry(changeOf(confinedRoute()));
    const auto plain = encodeLogEntry(changeOf(routeItem("r", "a")));
    const auto position = std::ranges::mismatch(plain, bytes).in2 - bytes.begin();
    bytes[static_cast<std::size_t>(position)] = 5;
    CHECK(!decodeLogEntry(bytes));
}

TEST_CASE("a snapshot keeps evacuations and warm-ups, and ends as before where there are none")
{
    RegistrySnapshot snapshot;
    snapshot.appliedIndex = LogIndex { 9 };
    const auto plain = encodeRegistrySnapshot(snapshot);
    snapshot.evacuatedZones = { "z1" };
    snapshot.warmUps = { { { "u", 5 }, milliseconds { 1'000 } } };
    const auto extended = encodeRegistrySnapshot(snapshot);
    REQUIRE(extended.size() > plain.size());
    CHECK(std::equal(plain.begin(), plain.end(), extended.begin()));
    const auto decoded = decodeRegistrySnapshot(extended);
    REQUIRE(decoded);
    CHECK(*decoded == snapshot);
    const auto former = decodeRegistrySnapshot(plain);
    REQUIRE(former);
    CHECK(former->evacuatedZones.empty());
}
