#include "core/request/RetryBudget.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

int useUpRetries(RetryBudget& budget)
{
    int count = 0;
    while (budget.tryRetry()) {
        ++count;
    }
    return count;
}

}

TEST_CASE("retry budget admits its initial tokens and then a share of the requests", "[request]")
{
    // Guards against a retry storm that multiplies the load of a failing upstream.
    RetryBudget budget { 10 };
    CHECK(useUpRetries(budget) == 10);
    for (int i = 0; i < 100; ++i) {
        budget.recordRequest();
    }
    CHECK(useUpRetries(budget) == 10);
}

TEST_CASE("retry budget bounds the tokens that accumulate without failures", "[request]")
{
    // Guards against a retry storm after a long time without failures.
    RetryBudget budget { 10 };
    for (int i = 0; i < 1'000'000; ++i) {
        budget.recordRequest();
    }
    CHECK(useUpRetries(budget) == 100);
}

TEST_CASE("retry budget of zero per cent admits no retry", "[request]")
{
    // Guards against retries after the operator has disabled them, at the start or at run time.
    RetryBudget none { 0 };
    none.recordRequest();
    CHECK_FALSE(none.tryRetry());
    RetryBudget changed { 10 };
    changed.setPercent(0);
    CHECK_FALSE(changed.tryRetry());
}
