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

TEST_CASE("outcome table gives a repeat the first outcome for the whole window", "[request]")
{
    // Guards against a second run of a non-repeatable request whose caller sends again.
    OutcomeTable table;
    CHECK(table.begin(start, "id").kind == Kind::New);
    CHECK(table.begin(start + 1h, "id").kind == Kind::InProgress);
    table.finish(start, "id", answered("first"));
    table.finish(start, "id", answered("second"));
    const auto seen = table.begin(start + 120s - 1ns, "id");
    REQUIRE(seen.kind == Kind::Finished);
    CHECK(seen.recorded->body == "first");
    CHECK(table.begin(start + 120s, "id").kind == Kind::New);
}

TEST_CASE("outcome table never forgets a request in progress", "[request]")
{
    // Guards against a repeat that runs beside the first because the table was full.
    OutcomeTable table { 2 };
    REQUIRE(table.begin(start, "a").kind == Kind::New);
    REQUIRE(table.begin(start, "b").kind == Kind::New);
    CHECK(table.begin(start, "c").kind == Kind::Full);
    table.finish(start, "a", answered({}));
    CHECK(table.begin(start, "c").kind == Kind::New);
    CHECK(table.droppedEarly() == 1);
    CHECK(table.begin(start, "b").kind == Kind::InProgress);
    CHECK(table.size() == 2);
}

TEST_CASE("outcome table leaves large bodies out and keeps the outcome", "[request]")
{
    // Guards against memory without bound, and against a repeat that gets an answer cut short.
    OutcomeTable table;
    REQUIRE(table.begin(start, "id").kind == Kind::New);
    table.finish(start, "id", answered(std::string(OutcomeTable::maxStoredBodyBytes + 1, 'x')));
    const auto seen = table.begin(start, "id");
    REQUIRE(seen.kind == Kind::Finished);
    CHECK_FALSE(seen.recorded->isBodyStored);
    CHECK(seen.recorded->body.empty());
    CHECK(seen.recorded->outcome == Outcome::Answered);
}
