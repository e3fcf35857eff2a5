#include "core/routing/RouteTable.h"

#include "core/support/OwnershipFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

/// Compares a table that was updated entry by entry with a rebuilt one.
void checkAgainstRebuilt(const RouteTable& table, const OwnershipState& state)
{
    RouteTable rebuilt;
    rebuilt.rebuild(state, wcape);
    for (const auto service : { catalogue, tills }) {
        for (int i = 0; i < 200; ++i) {
            const auto key = "key-" + std::to_string(i);
            const auto left = table.find(service, key);
            const auto right = rebuilt.find(service, key);
            REQUIRE(left.has_value() == right.has_value());
            if (left) {
                CHECK(left->slot == right->slot);
                CHECK(left->owner == right->owner);
                CHECK(left->fence == right->fence);
                CHECK(left->zoneRule == right->zoneRule);
                CHECK(left->isMoving == right->isMoving);
            }
        }
    }
}

}

TEST_CASE("the key hash is XXH3-64 with seed 0")
{
    // Guards against a hash that differs between processes or versions, which would send keys to different owners.
    CHECK(hashKey("") == 0x2d06800538d394c2ULL);
    CHECK(hashKey("fabric-17") == hashKey(std::string { "fabric-17" }));
}

TEST_CASE("a route table that is updated after each entry equals a rebuilt table")
{
    OwnershipFixture fixture;
    RouteTable table;
    fixture.onApplied = [&](const LogEntry& entry) { table.update(fixture.state, entry, wcape); };
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    const auto a = fixture.attach("a", tills);
    const auto b = fixture.attach("b", tills);
    fixture.assignAll(tills, a.upstream);
    checkAgainstRebuilt(table, fixture.state);
    CHECK(table.findService("tills") == tills);
    CHECK_FALSE(table.findService("till"));
    CHECK_FALSE(table.find(ServiceId { 9 }, "key-1"));

    fixture.apply(IsolateHotKey { tills, "key-1" });
    checkAgainstRebuilt(table, fixture.state);
    const auto hot = table.find(tills, "key-1");
    REQUIRE(hot);
    CHECK(hot->slot.isHotKey());
    fixture.move(hot->slot, b.upstream);
    CHECK(table.find(tills, "key-1")->isMoving);
    fixture.release(a, hot->slot);
    CHECK(table.find(tills, "key-1")->owner == b.upstream);
    CHECK(table.find(tills, "key-2")->owner == a.upstream);

    fixture.apply(ExpireUpstream { b.upstream, b.session, ExpiryReason::LeaseEnded });
    CHECK(table.find(tills, "key-1")->owner == UpstreamId {});
    checkAgainstRebuilt(table, fixture.state);

    auto next = fixture.bundle(2);
    next.bundle.services.erase(next.bundle.services.begin());
    fixture.apply(AcceptBundle { next });
    CHECK_FALSE(table.find(catalogue, "key-1"));
    checkAgainstRebuilt(table, fixture.state);
}

TEST_CASE("a route table that missed entries catches up, and is rebuilt if it is too far behind")
{
    // Guards against a table that keeps former owners after a batch of entries or a snapshot.
    OwnershipFixture fixture;
    RouteTable table;
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    table.rebuild(fixture.state, wcape);
    const auto a = fixture.attach("a", tills);
    fixture.assignAll(tills, a.upstream);
    table.update(fixture.state, {}, wcape);
    checkAgainstRebuilt(table, fixture.state);

    fixture.apply(ExpireUpstream { a.upstream, a.session, ExpiryReason::Left });
    fixture.state.restore(fixture.state.snapshot());
    table.update(fixture.state, {}, wcape);
    CHECK(table.find(tills, "key-1")->owner == UpstreamId {});
}
