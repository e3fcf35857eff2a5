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

// All attempt results for idempotent and other requests, with and without a remaining retry.
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
    { AttemptResult::Incomplete, false, true, finish, Outcome::Unknown, ResultCode::ResponseIncomplete },
    { AttemptResult::Incomplete, true, true, wait, {}, ResultCode::Ok },
    { AttemptResult::Incomplete, true, false, finish, Outcome::Unknown, ResultCode::ResponseIncomplete },
    { AttemptResult::Mismatched, false, true, finish, Outcome::Unknown, ResultCode::ResponseMismatched },
    { AttemptResult::Mismatched, true, true, wait, {}, ResultCode::Ok },
    { AttemptResult::Mismatched, true, false, finish, Outcome::Unknown, ResultCode::ResponseMismatched },
};

}

TEST_CASE("request machine decides after every attempt result", "[request]")
{
    // Guards against sending a request that is not idempotent twice, and against a wrong NotRun.
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

TEST_CASE("request machine never reports NotRun after bytes may have been sent", "[request]")
{
    // Guards against NotRun for an idempotent request whose first attempt broke and whose later attempts were refused.
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
    // Guards against failed requests during a takeover, and against waiting beyond the deadline.
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

TEST_CASE("request machine sends to an owner that does not check grants only while the table is fresh", "[request]")
{
    // Guards against sending to a former owner that would not refuse the request.
    RequestMachine machine { makeSpec(false) };
    CHECK(machine.handleRoute(start, makeRoute(), false, false).kind == wait);
    auto moving = makeRoute();
    moving.isMoving = true;
    CHECK(machine.handleRoute(start, moving, false, true).kind == wait);
    CHECK(machine.handleRoute(start, makeRoute(), false, true).kind == RequestStep::Kind::Send);
    RequestMachine late { makeSpec(false) };
    CHECK(late.handleRoute(start, makeRoute(), false, false).kind == wait);
    CHECK(late.handleRoute(start + 1s, makeRoute(), false, false).code == ResultCode::RequestTableStale);
    // An owner that checks grants refuses requests for slots that it no longer owns.
    RequestMachine checked { makeSpec(false) };
    CHECK(checked.handleRoute(start, moving, true, false).kind == RequestStep::Kind::Send);
}

TEST_CASE("request machine reserves time for a second attempt only for idempotent requests", "[request]")
{
    // Guards against spending all the time until the deadline on a connection without a response.
    RequestMachine idempotent { makeSpec(true) };
    REQUIRE(idempotent.handleRoute(start, makeRoute(), true, true).kind == RequestStep::Kind::Send);
    CHECK(idempotent.attemptDeadline(start) == start + 500ms);
    REQUIRE(idempotent.handleRoute(start, makeRoute(), true, true).kind == RequestStep::Kind::Send);
    CHECK(idempotent.attemptDeadline(start + 500ms) == start + 1s);
    RequestMachine atMostOnce { makeSpec(false) };
    REQUIRE(atMostOnce.handleRoute(start, makeRoute(), true, true).kind == RequestStep::Kind::Send);
    CHECK(atMostOnce.attemptDeadline(start) == start + 1s);
}
