#include "node/RequestHandler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <iostream>
#include <string>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

enum class Fault : std::uint8_t { Kill,
    /// No other upstream takes the slot in time.
    KillForGood,
    FreezeAndReturn,
    RefuseFence,
    Shed,
    ShortAnswer,
    LateAnswer,
    CrossedAnswer,
    Silent,
    OwnerMoved,
    Drain,
    Deadline };
constexpr Fault faults[] = { Fault::Kill, Fault::KillForGood, Fault::FreezeAndReturn, Fault::RefuseFence, Fault::Shed, Fault::ShortAnswer,
    Fault::LateAnswer, Fault::CrossedAnswer, Fault::Silent, Fault::OwnerMoved, Fault::Drain, Fault::Deadline };

enum class Step : std::uint8_t { Look,
    Connect,
    FirstByte,
    Sent,
    Ran,
    Answered };
constexpr Step steps[] = { Step::Look, Step::Connect, Step::FirstByte, Step::Sent, Step::Ran, Step::Answered };

/// Each breaks one invariant in the fake.
enum class Mutation : std::uint8_t { None,
    ReportsBrokenAsRefused,
    SendsTwice,
    PassesWrongAnswers,
    IgnoresDeadline };

struct FakeClock {
    Instant time { 1s };
    Instant now() const noexcept { return this->time; }
};

/// One request with one fault in a given attempt; the first attempt is refused where the fault is in the second.
struct World {
    Fault fault {};
    Step at {};
    int faultyAttempt {};
    Mutation mutation {};
    FakeClock clock;
    Instant deadline;
    Route route { { { 1 }, 3 }, { 7 }, { 9 }, ZoneRule::Move, false };
    int attempts {};
    int runs {};
    int waits {};
    bool hasStruck {};
    bool isDead {};
    std::function<void()> refuse;

    /// @return True where the fault strikes here.
    bool strikes(Step step)
    {
        if (step != this->at || this->attempts != this->faultyAttempt || this->hasStruck) {
            return false;
        }
        this->hasStruck = true;
        switch (this->fault) {
        case Fault::Kill:
        case Fault::KillForGood:
            this->isDead = true;
            break;
        case Fault::OwnerMoved:
            this->moveOwner();
            break;
        case Fault::Drain:
            this->refuse();
            return false;
        case Fault::Deadline:
            this->clock.time = this->deadline;
            break;
        default:
            break;
        }
        return true;
    }

    void moveOwner()
    {
        this->route.owner = { 8 };
        this->route.fence = { 10 };
        this->isDead = false;
    }
};

struct FakeRoutes {
    World& world;

    std::optional<ServiceInfo> findService(std::string_view) const { return ServiceInfo { { 1 }, 1, 10 }; }
    std::optional<Route> find(ServiceId, std::string_view) const { return this->world.route; }
    std::optional<OwnerInfo> findOwner(UpstreamId) const { return OwnerInfo { { "127.0.0.1", 1 }, true, 3, 12 }; }
    bool isTableFresh(Instant) const { return true; }
    std::uint64_t version() const
    {
        ++this->world.attempts;
        static_cast<void>(this->world.strikes(Step::Look));
        return 1;
    }
    void waitForChange(std::uint64_t, Duration longest)
    {
        this->world.clock.time += longest;
        if (++this->world.waits == 3 && this->world.isDead && this->world.fault == Fault::Kill) {
            this->world.moveOwner();
        }
    }
};

struct FakeUpstreams {
    World& world;

    AttemptReport made(AttemptResult result) const
    {
        if (this->world.mutation == Mutation::ReportsBrokenAsRefused && result == AttemptResult::Broken) {
            result = AttemptResult::ConnectionRefused;
        }
        const bool isWrong = result == AttemptResult::Incomplete || result == AttemptResult::Mismatched;
        if (this->world.mutation == Mutation::PassesWrongAnswers && isWrong) {
            return { AttemptReport::Kind::Made, AttemptResult::Answered, 1ms, { 200, {}, "other" } };
        }
        return { AttemptReport::Kind::Made, result, 1ms, { 200, {}, "own answer" } };
    }

    AttemptReport timedOut(const UpstreamAttempt& attempt) const
    {
        const auto late = this->world.mutation == Mutation::IgnoresDeadline ? 1s : 0s;
        this->world.clock.time = std::max(this->world.clock.time, attempt.deadline) + late;
        return this->made(AttemptResult::TimedOut);
    }

    /// What the fault makes of an attempt whose bytes may have left.
    AttemptReport afterSending(const UpstreamAttempt& attempt, bool hasRun) const
    {
        auto& runs = this->world.runs;
        switch (this->world.fault) {
        case Fault::Kill:
        case Fault::KillForGood:
            // A proxy that sends again after a broken connection runs the request twice.
            runs += this->world.mutation == Mutation::SendsTwice ? 2 - (hasRun ? 1 : 0) : 0;
            return this->made(AttemptResult::Broken);
        case Fault::FreezeAndReturn:
        case Fault::LateAnswer:
            // It still runs the request when the caller has given up.
            runs += hasRun ? 0 : 1;
            return this->timedOut(attempt);
        case Fault::RefuseFence:
        case Fault::OwnerMoved:
            return this->made(hasRun ? AttemptResult::Answered : AttemptResult::RefusedByFence);
        case Fault::Shed:
            return this->made(hasRun ? AttemptResult::Answered : AttemptResult::RefusedByLoad);
        case Fault::ShortAnswer:
            runs += hasRun ? 0 : 1;
            return this->made(AttemptResult::Incomplete);
        case Fault::CrossedAnswer:
            runs += hasRun ? 0 : 1;
            return this->made(AttemptResult::Mismatched);
        default:
            return this->timedOut(attempt);
        }
    }

    AttemptReport send(const UpstreamAttempt& attempt) const
    {
        auto& world = this->world;
        world.clock.time += 1ms;
        const bool isStruck = world.strikes(Step::Connect);
        if (world.isDead || (isStruck && world.fault == Fault::Deadline)) {
            return this->made(AttemptResult::ConnectionRefused);
        }
        const bool isStruckLater = world.strikes(Step::FirstByte);
        if (attempt.mayStillSend && !attempt.mayStillSend()) {
            return { AttemptReport::Kind::Withdrawn, {}, {}, {} };
        }
        if (isStruck || isStruckLater || world.strikes(Step::Sent)) {
            return this->afterSending(attempt, false);
        }
        if (world.attempts < world.faultyAttempt) {
            return this->made(AttemptResult::RefusedByFence);
        }
        ++world.runs;
        if (world.strikes(Step::Ran) || world.strikes(Step::Answered)) {
            return this->afterSending(attempt, true);
        }
        return this->made(AttemptResult::Answered);
    }
};

struct Violations {
    int cells {};
    int reached {};
    int violated {};
    int ranThoughNotRun {};
    int ranTwice {};
    int wrongAnswer {};
    int late {};
};

void runCell(World world, bool isIdempotent, Violations& sum)
{
    FakeRoutes routes { world };
    FakeUpstreams upstreams { world };
    LimiterTable<FakeClock> limiters { world.clock };
    OutcomeRegistry outcomes;
    NoRequestObserver observer;
    RequestHandler<FakeRoutes, FakeUpstreams, FakeClock> handler { routes, upstreams, world.clock, limiters, outcomes,
        observer };
    world.refuse = [&] { handler.refuse(); };
    world.deadline = world.clock.now() + 1s;
    const HttpHeaderView headers[] = { { "Teaselturn-Key", "key" }, { "Teaselturn-Request-Id", "id" },
        { "Teaselturn-Deadline-Ms", "1000" }, { "Teaselturn-Repeatable", isIdempotent ? "yes" : "no" } };
    const auto answer = handler.handle({ "POST", "/s/tills/pay", headers, "body", "127.0.0.1" });
    const auto outcome = answer.header("Teaselturn-Outcome");
    const bool ranThoughNotRun = outcome == "not-run" && world.runs > 0;
    const bool ranTwice = !isIdempotent && world.runs > 1;
    const bool isWrong = outcome == "answered" && (answer.body != "own answer" || world.runs == 0);
    const bool isLate = world.clock.now() > world.deadline;
    ++sum.cells;
    sum.reached += world.hasStruck ? 1 : 0;
    sum.ranThoughNotRun += ranThoughNotRun ? 1 : 0;
    sum.ranTwice += ranTwice ? 1 : 0;
    sum.wrongAnswer += isWrong ? 1 : 0;
    sum.late += isLate ? 1 : 0;
    sum.violated += ranThoughNotRun || ranTwice || isWrong || isLate ? 1 : 0;
}

Violations explore(Mutation mutation)
{
    Violations sum;
    for (const auto fault : faults) {
        for (const auto step : steps) {
            for (const int attempt : { 1, 2 }) {
                for (const bool isIdempotent : { false, true }) {
                    World world;
                    world.fault = fault;
                    world.at = step;
                    world.faultyAttempt = attempt;
                    world.mutation = mutation;
                    runCell(world, isIdempotent, sum);
                }
            }
        }
    }
    return sum;
}

}

TEST_CASE("every fault at every step of a request keeps the invariants", "[request]")
{
    // Guards I3, I4 and I5, and that each request ends within its deadline.
    const auto sum = explore(Mutation::None);
    std::cout << "request matrix: " << std::size(faults) << " faults, " << 2 * std::size(steps) << " steps, " << sum.cells
              << " cells, " << sum.cells - sum.violated << " proved, " << sum.violated << " violated\n";
    CAPTURE(sum.ranThoughNotRun, sum.ranTwice, sum.wrongAnswer, sum.late);
    CHECK(sum.violated == 0);
    CHECK(sum.reached == sum.cells);
}

TEST_CASE("the request matrix sees each break of an invariant", "[request]")
{
    // Shows that the matrix can fail.
    CHECK(explore(Mutation::ReportsBrokenAsRefused).ranThoughNotRun > 0);
    CHECK(explore(Mutation::SendsTwice).ranTwice > 0);
    CHECK(explore(Mutation::PassesWrongAnswers).wrongAnswer > 0);
    CHECK(explore(Mutation::IgnoresDeadline).late > 0);
}
