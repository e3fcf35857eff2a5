#include "core/dispatch/SilenceEstimate.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds deadline { 4'000 };

/// Records 1,000 attempts: work of 200 to 295 ms, of which `longPerMille` take seven times as long, and
/// `silentPerMille` without a response.
SilenceEstimate estimate(int longPerMille, int silentPerMille)
{
    SilenceEstimate estimate;
    for (int i = 0; i < 1'000; ++i) {
        // 619 is coprime to 1,000, so each number comes once, in a scattered order.
        const auto number = i * 619 % 1'000;
        const milliseconds work { 200 + number % 20 * 5 };
        if (number < silentPerMille) {
            estimate.recordUnanswered(deadline);
        } else if (number < silentPerMille + longPerMille) {
            estimate.recordAnswered(work * 7);
        } else {
            estimate.recordAnswered(work);
        }
    }
    return estimate;
}

}

TEST_CASE("long work is not taken for silence if every request is answered")
{
    CHECK_FALSE(estimate(30, 0).silentAfter());
}

TEST_CASE("silence that is more frequent than long work is recognized before the long work ends")
{
    const auto after = estimate(30, 120).silentAfter();
    REQUIRE(after);
    CHECK(*after >= milliseconds { 280 });
    CHECK(*after <= milliseconds { 300 });
}

TEST_CASE("silence that is rarer than long work is recognized only after most of the long work")
{
    const auto after = estimate(60, 20).silentAfter();
    REQUIRE(after);
    CHECK(*after > milliseconds { 1'400 });
    CHECK(*after < deadline);
}

TEST_CASE("attempts that were given up do not count as silence by themselves")
{
    // Guards against an estimate that gives up ever earlier because it sees no later response any more.
    SilenceEstimate estimate;
    for (int i = 0; i < 600; ++i) {
        if (i % 10 == 0) {
            estimate.recordUnanswered(milliseconds { 300 });
        } else {
            estimate.recordAnswered(milliseconds { i % 10 == 1 ? 1'400 : 200 });
        }
    }
    CHECK_FALSE(estimate.silentAfter());
}
