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
    /// The upstream is killed and no other upstream takes over the slot before the deadline.
    KillWithoutTakeover,
    FreezeAndReturn,
    RefuseFence,
    Shed,
    IncompleteResponse,
    LateResponse,
    MismatchedResponse,
    NoResponse,
    OwnerMoved,
    Drain,
    Deadline };
constexpr Fault faults[] = { Fault::Kill, Fault::KillWithoutTakeover, Fault::FreezeAndReturn, Fault::RefuseFence, Fault::Shed, Fault::IncompleteResponse,
    Fault::LateResponse, Fault::MismatchedResponse, Fault::NoResponse, Fault::OwnerMoved, Fault::Drain, Fault::Deadline };

enum class Step : std::uint8_t { Lookup,
    Connect,
    FirstByte,
    Sent,
    Ran,
    Answered };
constexpr Step steps[] = { Step::Lookup, Step::Connect, Step::FirstByte, Step::Sent, Step::Ran, Step::Answered };

/// Makes the fake violate one invariant.
enum class Mutation : std::uint8_t { None,
    ReportsBrokenAsRefused,
    SendsTwice,
    PassesWrongResponses,
    IgnoresDeadline };

struct FakeClock {
    Instant time { 1s };
    Instant now() const noexcept { return this->time; }
};

/// One request with one fault at a given step and attempt. If the fault is in the second attempt, the first attempt is
/// refused.
struct Scenario {
    Fault fault {};
    Step faultyStep {};
    int faultyAttempt {};
    Mutation mutation {};
    FakeClock clock;
    Instant deadline;
    Route route { { { 1 }, 3 }, { 7 }, { 9 }, ZoneRule::Move, false };
    int attempts {};
    int runs {};
    int waits {};
    bool hasInjectedFault {};
    bool isDead {};
    std::function<void()> startRefusing;

    /// Injects the fault if this is its step and attempt.
    /// @return True if the attempt must fail here.
    bool injectFault(Step step)
    {
        if (step != this->faultyStep || this->attempts != this->faultyAttempt || this->hasInjectedFault) {
            return false;
        }
        this->hasInjectedFault = true;
        switch (this->fault) {
        case Fault::Kill:
        case Fault::KillWithoutTakeover:
            this->isDead = true;
            break;
        case Fault::OwnerMoved:
            this->moveOwner();
            break;
        case Fault::Drain:
            this->startRefusing();
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
    Scenario& scenario;

    std::optional<ServiceInfo> findService(std::string_view) const { return ServiceInfo { { 1 }, 1, 10 }; }
    std::optional<Route> find(ServiceId, std::string_view) const { return this->scenario.route; }
    std::optional<OwnerInfo> findOwner(UpstreamId) const { return OwnerInfo { { "127.0.0.1", 1 }, true, 3, 12 }; }
    bool isTableFresh(Instant) const { return true; }
    std::uint64_t version() const
    {
        ++this->scenario.attempts;
        static_cast<void>(this->scenario.injectFault(Step::Lookup));
        return 1;
    }
    void waitForChange(std::uint64_t, Duration maxWait)
    {
        this->scenario.clock.time += maxWait;
        if (++this->scenario.waits == 3 && this->scenario.isDead && this->scenario.fault == Fault::Kill) {
            this->scenario.moveOwner();
        }
    }
};

struct FakeUpstreams {
    Scenario& scenario;

    AttemptReport makeReport(AttemptResult result) const
    {
        if (this->scenario.mutation == Mutation::ReportsBrokenAsRefused && result == AttemptResult::Broken) {
            result = AttemptResult::ConnectionRefused;
        }
        const bool isWrong = result == AttemptResult::Incomplete || result == AttemptResult::Mismatched;
        if (this->scenario.mutation == Mutation::PassesWrongResponses && isWrong) {
            return { AttemptReport::Kind::Made, AttemptResult::Answered, 1ms, { 200, {}, "other" } };
        }
        return { AttemptReport::Kind::Made, result, 1ms, { 200, {}, "own answer" } };
    }

    AttemptReport makeTimeoutReport(const UpstreamAttempt& attempt) const
    {
        const auto late = this->scenario.mutation == Mutation::IgnoresDeadline ? 1s : 0s;
        this->scenario.clock.time = std::max(this->scenario.clock.time, attempt.deadline) + late;
        return this->makeReport(AttemptResult::TimedOut);
    }

    /// Reports an attempt with a fault after bytes may have been sent.
    AttemptReport makeReportAfterSending(const UpstreamAttempt& attempt, bool hasRun) const
    {
        auto& runs = this->scenario.runs;
        switch (this->scenario.fault) {
        case Fault::Kill:
        case Fault::KillWithoutTakeover:
            // With the mutation, the fake resends after a broken connection, and the request runs twice.
            runs += this->scenario.mutation == Mutation::SendsTwice ? 2 - (hasRun ? 1 : 0) : 0;
            return this->makeReport(AttemptResult::Broken);
        case Fault::FreezeAndReturn:
        case Fault::LateResponse:
            // The upstream still runs the request after the attempt has timed out.
            runs += hasRun ? 0 : 1;
            return this->makeTimeoutReport(attempt);
        case Fault::RefuseFence:
        case Fault::OwnerMoved:
            return this->makeReport(hasRun ? AttemptResult::Answered : AttemptResult::RefusedByFence);
        case Fault::Shed:
            return this->makeReport(hasRun ? AttemptResult::Answered : AttemptResult::RefusedByLoad);
        case Fault::IncompleteResponse:
            runs += hasRun ? 0 : 1;
            return this->makeReport(AttemptResult::Incomplete);
        case Fault::MismatchedResponse:
            runs += hasRun ? 0 : 1;
            return this->makeReport(AttemptResult::Mismatched);
        default:
            return this->makeTimeoutReport(attempt);
        }
    }

    AttemptReport send(const UpstreamAttempt& attempt) const
    {
        auto& scenario = this->scenario;
        scenario.clock.time += 1ms;
        const bool hasFaultAtConnect = scenario.injectFault(Step::Connect);
        if (scenario.isDead || (hasFaultAtConnect && scenario.fault == Fault::Deadline)) {
            return this->makeReport(AttemptResult::ConnectionRefused);
        }
        const bool hasFaultAtFirstByte = scenario.injectFault(Step::FirstByte);
        if (attempt.mayStillSend && !attempt.mayStillSend()) {
            return { AttemptReport::Kind::Withdrawn, {}, {}, {} };
        }
        if (hasFaultAtConnect || hasFaultAtFirstByte || scenario.injectFault(Step::Sent)) {
            return this->makeReportAfterSending(attempt, false);
        }
        if (scenario.attempts < scenario.faultyAttempt) {
            return this->makeReport(AttemptResult::RefusedByFence);
        }
        ++scenario.runs;
        if (scenario.injectFault(Step::Ran) || scenario.injectFault(Step::Answered)) {
            return this->makeReportAfterSending(attempt, true);
        }
        return this->makeReport(AttemptResult::Answered);
    }
};

struct Violations {
    int cells {};
    int reached {};
    int violated {};
    int ranThoughNotRun {};
    int ranTwice {};
    int wrongResponse {};
    int late {};
};

void runCell(Scenario scenario, bool isIdempotent, Violations& sum)
{
    FakeRoutes routes { scenario };
    FakeUpstreams upstreams { scenario };
    LimiterTable<FakeClock> limiters { scenario.clock };
    OutcomeRegistry outcomes;
    NoRequestObserver observer;
    RequestHandler<FakeRoutes, FakeUpstreams, FakeClock> handler { routes, upstreams, scenario.clock, limiters, outcomes,
        observer };
    scenario.startRefusing = [&] { handler.refuseRequests(); };
    scenario.deadline = scenario.clock.now() + 1s;
    const HttpHeaderView headers[] = { { "Teaselturn-Key", "key" }, { "Teaselturn-Request-Id", "id" },
        { "Teaselturn-Deadline-Ms", "1000" }, { "Teaselturn-Repeatable", isIdempotent ? "yes" : "no" } };
    const auto response = handler.handle({ "POST", "/s/tills/pay", headers, "body", "127.0.0.1" });
    const auto outcome = response.header("Teaselturn-Outcome");
    const bool ranThoughNotRun = outcome == "not-run" && scenario.runs > 0;
    const bool ranTwice = !isIdempotent && scenario.runs > 1;
    const bool isWrong = outcome == "answered" && (response.body != "own answer" || scenario.runs == 0);
    const bool isLate = scenario.clock.now() > scenario.deadline;
    ++sum.cells;
    sum.reached += scenario.hasInjectedFault ? 1 : 0;
    sum.ranThoughNotRun += ranThoughNotRun ? 1 : 0;
    sum.ranTwice += ranTwice ? 1 : 0;
    sum.wrongResponse += isWrong ? 1 : 0;
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
                    Scenario scenario;
                    scenario.fault = fault;
                    scenario.faultyStep = step;
                    scenario.faultyAttempt = attempt;
                    scenario.mutation = mutation;
                    runCell(scenario, isIdempotent, sum);
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
    CAPTURE(sum.ranThoughNotRun, sum.ranTwice, sum.wrongResponse, sum.late);
    CHECK(sum.violated == 0);
    CHECK(sum.reached == sum.cells);
}

TEST_CASE("the request matrix detects a violation of each invariant", "[request]")
{
    // Shows that the matrix can fail.
    CHECK(explore(Mutation::ReportsBrokenAsRefused).ranThoughNotRun > 0);
    CHECK(explore(Mutation::SendsTwice).ranTwice > 0);
    CHECK(explore(Mutation::PassesWrongResponses).wrongResponse > 0);
    CHECK(explore(Mutation::IgnoresDeadline).late > 0);
}
