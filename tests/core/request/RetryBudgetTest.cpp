#include "core/request/RetryBudget.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

int retriesLeft(RetryBudget& budget)
{
    int count = 0;
    while (budget.tryRetry()) {
        ++count;
    }
    return count;
}

}

TEST_CASE("retry budget admits a share of the requests after a small reserve", "[request]")
{
    // Guards against a retry storm that multiplies the load of a failing upstream.
    RetryBudget budget { 10 };
    CHECK(retriesLeft(budget) == 10);
    for (int i = 0; i < 100; ++i) {
        budget.recordRequest();
    }
    CHECK(retriesLeft(budget) == 10);
}

TEST_CASE("retry budget bounds what a quiet time saves up", "[request]")
{
    // Guards against a storm after a long time without failures.
    RetryBudget budget { 10 };
    for (int i = 0; i < 1'000'000; ++i) {
        budget.recordRequest();
    }
    CHECK(retriesLeft(budget) == 100);
}

TEST_CASE("retry budget of zero per cent admits none", "[request]")
{
    // Guards against retries that the operator has switched off, also while the process runs.
    RetryBudget none { 0 };
    none.recordRequest();
    CHECK_FALSE(none.tryRetry());
    RetryBudget changed { 10 };
    changed.setPercent(0);
    CHECK_FALSE(changed.tryRetry());
}
