#include "core/registry/KeyRanges.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

const UpstreamKey first { "first", 1 };
const UpstreamKey second { "second", 1 };

void checkWhole(const std::vector<KeyRange>& ranges)
{
    REQUIRE(!ranges.empty());
    CHECK(ranges.front().first == 0);
    CHECK(ranges.back().last == keyNumberCount - 1);
    for (std::size_t i = 1; i < ranges.size(); ++i) {
        CHECK(ranges[i].first == ranges[i - 1].last + 1);
    }
}

}

TEST_CASE("a grant inside a range splits the range and leaves no gap")
{
    auto ranges = emptyKeyRanges();
    grantKeys(ranges, { 100, 199, first, "token" }, Fence { 7 });
    checkWhole(ranges);
    REQUIRE(ranges.size() == 3);
    CHECK(ranges[1].owner == first);
    CHECK(ranges[1].fence == Fence { 7 });
    CHECK(ranges[1].handover == "token");
    CHECK(!ranges[0].isOwned());
    CHECK(!ranges[2].isOwned());
}

TEST_CASE("joining keeps the owners of ranges that cannot be joined")
{
    // Guards against self-move-assignment of a range, which cleared its owner's name.
    auto ranges = emptyKeyRanges();
    grantKeys(ranges, { 0, 999, first, "" }, Fence { 1 });
    grantKeys(ranges, { 1'000, keyNumberCount - 1, second, "" }, Fence { 2 });
    joinKeyRanges(ranges);
    REQUIRE(ranges.size() == 2);
    CHECK(ranges[0].owner == first);
    CHECK(ranges[1].owner == second);
}

TEST_CASE("adjacent ranges with equal attributes are joined")
{
    auto ranges = emptyKeyRanges();
    grantKeys(ranges, { 0, 99, first, "" }, Fence { 3 });
    grantKeys(ranges, { 100, 199, first, "" }, Fence { 3 });
    joinKeyRanges(ranges);
    checkWhole(ranges);
    CHECK(ranges.size() == 2);
    CHECK(findKeyRange(ranges, 150)->owner == first);
}

TEST_CASE("a move marks owned keys only, and a grant ends it")
{
    auto ranges = emptyKeyRanges();
    grantKeys(ranges, { 0, 99, first, "" }, Fence { 1 });
    markMove(ranges, { 50, 150, second });
    checkWhole(ranges);
    CHECK(findKeyRange(ranges, 60)->target == second);
    CHECK(!findKeyRange(ranges, 40)->isMoving());
    CHECK(!findKeyRange(ranges, 120)->isMoving());
    grantKeys(ranges, { 50, 99, second, "t" }, Fence { 2 });
    CHECK(!findKeyRange(ranges, 60)->isMoving());
    CHECK(findKeyRange(ranges, 60)->owner == second);
}

TEST_CASE("the last key can be granted and found")
{
    auto ranges = emptyKeyRanges();
    grantKeys(ranges, { keyNumberCount - 1, keyNumberCount - 1, first, "" }, Fence { 1 });
    checkWhole(ranges);
    CHECK(findKeyRange(ranges, keyNumberCount - 1)->owner == first);
    CHECK(!findKeyRange(ranges, keyNumberCount - 2)->isOwned());
}
