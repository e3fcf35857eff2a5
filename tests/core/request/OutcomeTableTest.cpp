#include "core/request/OutcomeTable.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;
using Kind = OutcomeLookup::Kind;

namespace {

constexpr Instant start { 1s };

RecordedOutcome answered(std::string body)
{
    return { Outcome::Answered, ResultCode::Ok, 200, std::move(body), {} };
}

}

TEST_CASE("outcome table returns the first outcome to a repeated id until the retention ends", "[request]")
{
    // Guards against a second run of a request that is not idempotent and that its caller sends again.
    OutcomeTable table;
    CHECK(table.begin(start, "id").kind == Kind::New);
    CHECK(table.begin(start + 1h, "id").kind == Kind::InProgress);
    table.finish(start, "id", answered("first"));
    table.finish(start, "id", answered("second"));
    const auto lookup = table.begin(start + 120s - 1ns, "id");
    REQUIRE(lookup.kind == Kind::Finished);
    CHECK(lookup.recorded->body == "first");
    CHECK(table.begin(start + 120s, "id").kind == Kind::New);
}

TEST_CASE("outcome table never evicts a request in progress", "[request]")
{
    // Guards against a repeated request that runs concurrently with the first because the table was full.
    OutcomeTable table { 2 };
    REQUIRE(table.begin(start, "a").kind == Kind::New);
    REQUIRE(table.begin(start, "b").kind == Kind::New);
    CHECK(table.begin(start, "c").kind == Kind::Full);
    table.finish(start, "a", answered({}));
    CHECK(table.begin(start, "c").kind == Kind::New);
    CHECK(table.evictedCount() == 1);
    CHECK(table.begin(start, "b").kind == Kind::InProgress);
    CHECK(table.size() == 2);
}

TEST_CASE("outcome table stores the outcome without a body that is too large", "[request]")
{
    // Guards against unbounded memory, and against a truncated response to a repeated request.
    OutcomeTable table;
    REQUIRE(table.begin(start, "id").kind == Kind::New);
    table.finish(start, "id", answered(std::string(OutcomeTable::maxStoredBodyBytes + 1, 'x')));
    const auto lookup = table.begin(start, "id");
    REQUIRE(lookup.kind == Kind::Finished);
    CHECK_FALSE(lookup.recorded->isBodyStored);
    CHECK(lookup.recorded->body.empty());
    CHECK(lookup.recorded->outcome == Outcome::Answered);
}
