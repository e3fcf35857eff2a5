#include "core/request/RequestMachine.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1s };

RequestSpec makeSpec(bool isIdempotent)
{
    return { { 1 }, "key", "id", "", start, start + 1s, isIdempotent };
}

Route makeRoute()
{
    return { { { 1 }, 3 }, { 7 }, { 9 }, ZoneRule::Move, false };
}

struct Case {
    AttemptResult result;
    bool isIdempotent;
    bool mayRetry;
    RequestStep::Kind kind;
    Outcome outcome;
    ResultCode code;
};

constexpr auto finish = RequestStep::Kind::Finish;
constexpr auto wait = RequestStep::Kind::WaitForOwner;

// Every attempt result, for both kinds of request, with and without a retry left.
constexpr Case cases[] = {
    { AttemptResult::Answered, false, true, finish, Outcome::Answered, ResultCode::Ok },
    { AttemptResult::Answered, true, true, finish, Outcome::Answered, ResultCode::Ok },
    { AttemptResult::ConnectionRefused, false, false, wait, {}, ResultCode::Ok },
    { AttemptResult::ConnectionRefused, true, false, wait, {}, ResultCode::Ok },
    { AttemptResult::RefusedByFence, false, false, wait, {}, ResultCode::Ok },
    { AttemptResult::RefusedByFence, true, false, wait, {}, ResultCode::Ok },
    { AttemptResult::RefusedByLoad, false, true, wait, {}, ResultCode::Ok },
    { AttemptResult::RefusedByLoad, true, true, wait, {}, ResultCode::Ok },
    { AttemptResult::RefusedByLoad, false, false, finish, Outcome::NotRun, ResultCode::RequestRefusedByUpstream },
    { AttemptResult::RefusedByLoad, true, false, finish, Outcome::NotRun, ResultCode::RequestRefusedByUpstream },
    { AttemptResult::Broken, false, true, finish, Outcome::Unknown, ResultCode::RequestOutcomeUnknown },
    { AttemptResult::Broken, true, true, wait, {}, ResultCode::Ok },
    { AttemptResult::Broken, true, false, finish, Outcome::Unknown, ResultCode::RequestOutcomeUnknown },
    { AttemptResult::TimedOut, false, true, finish, Outcome::Unknown, ResultCode::RequestOutcomeUnknown },
    { AttemptResult::TimedOut, true, true, wait, {}, ResultCode::Ok },
    { AttemptResult::TimedOut, true, false, finish, Outcome::Unknown, ResultCode::RequestOutcomeUnknown },
    { AttemptResult::Incomplete, false, true, finish, Outcome::Unknown, ResultCode::RequestAnswerIncomplete },
    { AttemptResult::Incomplete, true, true, wait, {}, ResultCode::Ok },
    { AttemptResult::Incomplete, true, false, finish, Outcome::Unknown, ResultCode::RequestAnswerIncomplete },
    { AttemptResult::Mismatched, false, true, finish, Outcome::Unknown, ResultCode::RequestAnswerMismatched },
    { AttemptResult::Mismatched, true, true, wait, {}, ResultCode::Ok },
    { AttemptResult::Mismatched, true, false, finish, Outcome::Unknown, ResultCode::RequestAnswerMismatched },
};

}

TEST_CASE("request machine decides after every attempt result", "[request]")
{
    // Guards against sending a non-repeatable request twice and against a wrong "not run".
    for (const auto& row : cases) {
        CAPTURE(static_cast<int>(row.result), row.isIdempotent, row.mayRetry);
        RequestMachine machine { makeSpec(row.isIdempotent) };
        REQUIRE(machine.handleRoute(start, makeRoute(), true, true).kind == RequestStep::Kind::Send);
        const auto step = machine.handleAttemptResult(start + 10ms, row.result, row.mayRetry);
        REQUIRE(step.kind == row.kind);
        if (step.kind == finish) {
            CHECK(step.outcome == row.outcome);
            CHECK(step.code == row.code);
        } else {
            CHECK(step.pause > Duration::zero());
        }
    }
}

TEST_CASE("request machine never reports not run after bytes may have left", "[request]")
{
    // Guards against a repeatable request whose first attempt broke and whose later ones were refused.
    for (const auto last : { AttemptResult::ConnectionRefused, AttemptResult::RefusedByFence,
             AttemptResult::RefusedByLoad, AttemptResult::TimedOut }) {
        RequestMachine machine { makeSpec(true) };
        REQUIRE(machine.handleRoute(start, makeRoute(), true, true).kind == RequestStep::Kind::Send);
        REQUIRE(machine.handleAttemptResult(start, AttemptResult::Broken, true).kind == wait);
        REQUIRE(machine.handleRoute(start, makeRoute(), true, true).kind == RequestStep::Kind::Send);
        const auto step = machine.handleAttemptResult(start + 1s, last, false);
        REQUIRE(step.kind == finish);
        CHECK(step.outcome == Outcome::Unknown);
    }
    RequestMachine machine { makeSpec(true) };
    REQUIRE(machine.handleRoute(start, makeRoute(), true, true).kind == RequestStep::Kind::Send);
    REQUIRE(machine.handleAttemptResult(start, AttemptResult::Broken, true).kind == wait);
    CHECK(machine.handleLocalRefusal(start, ResultCode::RequestShed).outcome == Outcome::Unknown);
    CHECK(machine.handleRoute(start, std::nullopt, true, true).outcome == Outcome::Unknown);
}

TEST_CASE("request machine waits for an owner within the deadline", "[request]")
{
    // Guards against failing requests during a takeover and against waiting beyond the deadline.
    RequestMachine machine { makeSpec(false) };
    auto route = makeRoute();
    route.owner = {};
    auto now = start;
    while (true) {
        const auto step = machine.handleRoute(now, route, false, true);
        if (step.kind == finish) {
            CHECK(step.outcome == Outcome::NotRun);
            CHECK(step.code == ResultCode::RequestNoOwner);
            break;
        }
        REQUIRE(step.kind == wait);
        REQUIRE(step.pause > Duration::zero());
        now += step.pause;
        REQUIRE(now <= start + 1s);
    }
    CHECK(now == start + 1s);
    CHECK(machine.attempts() == 0);
}

TEST_CASE("request machine sends to an owner that checks no grants only while the table is fresh", "[request]")
{
    // Guards against reaching a former owner that would not refuse.
    RequestMachine machine { makeSpec(false) };
    CHECK(machine.handleRoute(start, makeRoute(), false, false).kind == wait);
    auto moving = makeRoute();
    moving.isMoving = true;
    CHECK(machine.handleRoute(start, moving, false, true).kind == wait);
    CHECK(machine.handleRoute(start, makeRoute(), false, true).kind == RequestStep::Kind::Send);
    RequestMachine late { makeSpec(false) };
    CHECK(late.handleRoute(start, makeRoute(), false, false).kind == wait);
    CHECK(late.handleRoute(start + 1s, makeRoute(), false, false).code == ResultCode::RequestTableStale);
    // An owner that checks grants refuses by itself.
    RequestMachine checked { makeSpec(false) };
    CHECK(checked.handleRoute(start, moving, true, false).kind == RequestStep::Kind::Send);
}

TEST_CASE("request machine keeps time for a second attempt of repeatable requests only", "[request]")
{
    // Guards against spending the whole deadline on a silent connection.
    RequestMachine repeatable { makeSpec(true) };
    REQUIRE(repeatable.handleRoute(start, makeRoute(), true, true).kind == RequestStep::Kind::Send);
    CHECK(repeatable.attemptDeadline(start) == start + 500ms);
    REQUIRE(repeatable.handleRoute(start, makeRoute(), true, true).kind == RequestStep::Kind::Send);
    CHECK(repeatable.attemptDeadline(start + 500ms) == start + 1s);
    RequestMachine once { makeSpec(false) };
    REQUIRE(once.handleRoute(start, makeRoute(), true, true).kind == RequestStep::Kind::Send);
    CHECK(once.attemptDeadline(start) == start + 1s);
}
