#include "node/RequestHandler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>
#include <stdexcept>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

/// A clock that the fakes advance.
struct FakeClock {
    Instant time { 1s };
    Instant now() const noexcept { return this->time; }
};

/// Routes of one service with one slot. A wait advances the clock, and onWait may change the owner.
struct FakeRoutes {
    FakeClock& clock;
    Route route { { { 1 }, 3 }, { 7 }, { 9 }, ZoneRule::Move, false };
    bool checksGrants { true };
    bool isFresh { true };
    int waits {};
    /// Called after each wait with the number of waits so far.
    std::function<void(int)> onWait;

    std::optional<ServiceInfo> findService(std::string_view name) const
    {
        return name == "tills" ? std::optional { ServiceInfo { { 1 }, 1, 10 } } : std::nullopt;
    }
    std::optional<Route> find(ServiceId, std::string_view) const { return this->route; }
    std::optional<OwnerInfo> findOwner(UpstreamId) const
    {
        return OwnerInfo { { "127.0.0.1", 1 }, this->checksGrants, 3, 12 };
    }
    bool isTableFresh(Instant) const { return this->isFresh; }
    std::uint64_t version() const { return 1; }
    void waitForChange(std::uint64_t, Duration maxWait)
    {
        REQUIRE(maxWait > Duration::zero());
        this->clock.time += maxWait;
        ++this->waits;
        if (this->onWait) {
            this->onWait(this->waits);
        }
    }
};

/// How the fake handles an attempt: the result that it reports, and whether the request really ran.
struct Behaviour {
    AttemptResult result;
    bool runs;
};

/// Reports scripted results and counts real executions. With `reportsBrokenAsRefused` it reports one of them wrongly.
struct FakeUpstreams {
    FakeClock& clock;
    std::deque<Behaviour> script;
    /// Used after the end of the script.
    Behaviour defaultBehaviour { AttemptResult::Answered, true };
    /// Reports a connection that broke after sending as one that was refused.
    bool reportsBrokenAsRefused {};
    bool throws {};
    std::map<std::string, int> executions;
    std::vector<std::map<std::string, std::string>> sentHeaders;

    AttemptReport send(const UpstreamAttempt& attempt)
    {
        if (attempt.mayStillSend && !attempt.mayStillSend()) {
            return { AttemptReport::Kind::Withdrawn, {}, {}, {} };
        }
        if (this->throws) {
            throw std::runtime_error { "no memory" };
        }
        auto behaviour = this->defaultBehaviour;
        if (!this->script.empty()) {
            behaviour = this->script.front();
            this->script.pop_front();
        }
        this->clock.time += 1ms;
        if (behaviour.result == AttemptResult::TimedOut) {
            this->clock.time = attempt.deadline;
        }
        auto& headers = this->sentHeaders.emplace_back();
        for (const auto& header : attempt.request.headers) {
            headers[std::string { header.name }] = header.value;
        }
        this->executions[std::string { attempt.requestId }] += behaviour.runs ? 1 : 0;
        AttemptReport report { AttemptReport::Kind::Made, behaviour.result, 1ms, {} };
        if (this->reportsBrokenAsRefused && report.result == AttemptResult::Broken) {
            report.result = AttemptResult::ConnectionRefused;
        }
        report.response = { 200, { { "X-Own", "1" }, { "Teaselturn-Fence", "1" }, { "Connection", "close" } }, "body" };
        return report;
    }
};

struct Harness {
    FakeClock clock;
    FakeRoutes routes { clock };
    FakeUpstreams upstreams { clock };
    LimiterTable<FakeClock> limiters { clock };
    OutcomeRegistry outcomes;
    NoRequestObserver observer;
    RequestHandler<FakeRoutes, FakeUpstreams, FakeClock> handler { routes, upstreams, clock, limiters, outcomes,
        observer };

    HttpResponse request(std::string_view id, bool isIdempotent, std::string_view deadline = "1000")
    {
        const HttpHeaderView headers[] = { { "Teaselturn-Key", "key" }, { "Teaselturn-Request-Id", id },
            { "Teaselturn-Deadline-Ms", deadline }, { "Teaselturn-Repeatable", isIdempotent ? "yes" : "no" },
            { "X-Own", "2" }, { "Teaselturn-Fence", "1" }, { "Connection", "close" } };
        return this->handler.handle({ "POST", "/s/tills/pay?x=1", headers, "body", "127.0.0.1" });
    }
};

constexpr AttemptResult results[] = { AttemptResult::Answered, AttemptResult::ConnectionRefused,
    AttemptResult::RefusedByFence, AttemptResult::RefusedByLoad, AttemptResult::Broken, AttemptResult::TimedOut,
    AttemptResult::Incomplete, AttemptResult::Mismatched };

bool mayHaveRun(AttemptResult result)
{
    return result != AttemptResult::ConnectionRefused && result != AttemptResult::RefusedByFence
        && result != AttemptResult::RefusedByLoad;
}

/// Violations of I4 and I5, counted over every sequence of two attempt results, for idempotent and other requests.
struct Violations {
    int ranThoughNotRun {};
    int ranTwice {};
};

Violations exploreAttemptSequences(bool reportsBrokenAsRefused)
{
    Violations violations;
    for (const auto first : results) {
        for (const auto second : results) {
            for (const bool isIdempotent : { false, true }) {
                Harness harness;
                harness.upstreams.reportsBrokenAsRefused = reportsBrokenAsRefused;
                harness.upstreams.script = { { first, mayHaveRun(first) }, { second, mayHaveRun(second) } };
                harness.upstreams.defaultBehaviour = { AttemptResult::RefusedByFence, false };
                const auto response = harness.request("id", isIdempotent);
                const auto runs = harness.upstreams.executions["id"];
                violations.ranThoughNotRun += response.header("Teaselturn-Outcome") == "not-run" && runs > 0 ? 1 : 0;
                violations.ranTwice += !isIdempotent && runs > 1 ? 1 : 0;
            }
        }
    }
    return violations;
}

}

TEST_CASE("no sequence of attempts violates not run or at most once", "[request]")
{
    // Guards invariants I4 and I5.
    const auto violations = exploreAttemptSequences(false);
    CHECK(violations.ranThoughNotRun == 0);
    CHECK(violations.ranTwice == 0);
}

TEST_CASE("the check of not run and at most once detects an adapter that reports a wrong result", "[request]")
{
    // Shows that the check above can fail.
    const auto violations = exploreAttemptSequences(true);
    CHECK(violations.ranThoughNotRun > 0);
    CHECK(violations.ranTwice > 0);
}

TEST_CASE("request handler forwards a request with its own headers and returns the response", "[request]")
{
    Harness harness;
    const auto response = harness.request("id", false);
    CHECK(response.status == 200);
    CHECK(response.body == "body");
    CHECK(response.header("Teaselturn-Outcome") == "answered");
    CHECK(response.header("Teaselturn-Code") == "0");
    CHECK(response.header("Teaselturn-Request-Id") == "id");
    CHECK(response.header("X-Own") == "1");
    CHECK(response.header("Teaselturn-Fence").empty());
    CHECK(response.header("Connection").empty());
    auto& sent = harness.upstreams.sentHeaders.at(0);
    CHECK(sent["Teaselturn-Slot"] == "3");
    CHECK(sent["Teaselturn-Fence"] == "9");
    CHECK(sent["Teaselturn-Deadline-Ms"] == "1000");
    CHECK(sent["Teaselturn-Request-Id"] == "id");
    CHECK(sent["Teaselturn-Repeatable"] == "no");
    CHECK(sent["X-Own"] == "2");
    CHECK(sent.count("Connection") == 0);
}

TEST_CASE("request handler rejects malformed requests with numbered codes", "[request]")
{
    Harness harness;
    struct Case {
        std::string_view target;
        std::vector<HttpHeaderView> headers;
        int status;
        std::string_view code;
    };
    const HttpHeaderView key { "Teaselturn-Key", "k" };
    const HttpHeaderView id { "Teaselturn-Request-Id", "i" };
    const HttpHeaderView deadline { "Teaselturn-Deadline-Ms", "100" };
    const std::string longText(257, 'x');
    const std::vector<Case> cases {
        { "/x", { key, id, deadline }, 400, "3001" },
        { "/s/", { key, id, deadline }, 400, "3001" },
        { "/s/tills", { id, deadline }, 400, "3002" },
        { "/s/tills", { { "Teaselturn-Key", longText }, id, deadline }, 400, "3002" },
        { "/s/tills", { key, key, id, deadline }, 400, "3002" },
        { "/s/tills", { key, deadline }, 400, "3003" },
        { "/s/tills", { key, { "Teaselturn-Request-Id", "a b" }, deadline }, 400, "3003" },
        { "/s/tills", { key, { "Teaselturn-Request-Id", longText }, deadline }, 400, "3003" },
        { "/s/tills", { key, id }, 400, "3004" },
        { "/s/tills", { key, id, { "Teaselturn-Deadline-Ms", "0" } }, 400, "3004" },
        { "/s/tills", { key, id, { "Teaselturn-Deadline-Ms", "60001" } }, 400, "3004" },
        { "/s/tills", { key, id, { "Teaselturn-Deadline-Ms", "5x" } }, 400, "3004" },
        { "/s/tills", { key, id, deadline, { "Teaselturn-Repeatable", "maybe" } }, 400, "3005" },
        { "/s/other/x", { key, id, deadline }, 404, "3006" },
    };
    for (const auto& row : cases) {
        CAPTURE(row.code, row.headers.size());
        const auto response = harness.handler.handle({ "GET", row.target, row.headers, {}, {} });
        CHECK(response.status == row.status);
        CHECK(response.header("Teaselturn-Code") == row.code);
        CHECK(response.header("Teaselturn-Outcome") == "not-run");
    }
    CHECK(harness.upstreams.sentHeaders.empty());
}

TEST_CASE("a repeated request id gets the recorded outcome and does not run", "[request]")
{
    // Guards against a second deposit when a caller resends a request.
    Harness harness;
    REQUIRE(harness.request("id", false).status == 200);
    const auto repeated = harness.request("id", false);
    CHECK(repeated.status == 200);
    CHECK(repeated.body == "body");
    CHECK(repeated.header("Teaselturn-Outcome") == "answered");
    CHECK(harness.upstreams.executions["id"] == 1);
    harness.upstreams.script = { { AttemptResult::Broken, true } };
    CHECK(harness.request("broken", false).status == 502);
    CHECK(harness.request("broken", false).header("Teaselturn-Outcome") == "unknown");
    CHECK(harness.upstreams.executions["broken"] == 1);
}

TEST_CASE("a request waits for the next owner within its deadline", "[request]")
{
    // Guards against failing requests during a takeover.
    Harness harness;
    harness.routes.route.owner = {};
    harness.routes.onWait = [&](int waits) {
        if (waits == 5) {
            harness.routes.route.owner = { 8 };
        }
    };
    CHECK(harness.request("id", false).header("Teaselturn-Outcome") == "answered");
    harness.routes.route.owner = {};
    harness.routes.onWait = {};
    const auto response = harness.request("late", false);
    CHECK(response.status == 503);
    CHECK(response.header("Teaselturn-Code") == "3101");
}

TEST_CASE("a route that changes before the first byte withdraws the attempt", "[request]")
{
    // Guards against sending a request to a former owner that does not check grants.
    Harness harness;
    harness.routes.checksGrants = false;
    harness.routes.isFresh = false;
    const auto response = harness.request("id", false);
    CHECK(response.header("Teaselturn-Code") == "3107");
    CHECK(harness.upstreams.executions.empty());
}

TEST_CASE("retries stay within the retry budget of the service", "[request]")
{
    // Guards against a retry storm: a tenth of the requests may be retried, plus the budget's ten initial tokens.
    Harness harness;
    harness.upstreams.defaultBehaviour = { AttemptResult::RefusedByLoad, false };
    constexpr int requests = 1'000;
    for (int i = 0; i < requests; ++i) {
        CHECK(harness.request("id-" + std::to_string(i), true).header("Teaselturn-Outcome") == "not-run");
    }
    const auto attempts = harness.upstreams.sentHeaders.size();
    CHECK(attempts > requests);
    CHECK(attempts <= requests + requests / 10 + 10);
}

TEST_CASE("an exception during a request leaves neither its id in progress nor its request slot occupied", "[request]")
{
    // Guards against leaked ids and request slots, which would add up until every request is refused.
    Harness harness;
    harness.upstreams.throws = true;
    for (int i = 0; i < 100; ++i) {
        CHECK_THROWS(harness.request("id-" + std::to_string(i), false));
    }
    harness.upstreams.throws = false;
    // The request may have run before the exception, so a repeat must not run.
    const auto repeated = harness.request("id-0", false);
    CHECK(repeated.header("Teaselturn-Outcome") == "unknown");
    CHECK(repeated.header("Teaselturn-Code") == "3201");
    CHECK(harness.request("other", false).header("Teaselturn-Outcome") == "answered");
    CHECK(harness.upstreams.executions.count("id-0") == 0);
}

TEST_CASE("requests that are not running are refused as draining after the drain deadline", "[request]")
{
    // Guards against a request that starts or waits for an owner in a process that is about to exit.
    Harness harness;
    harness.routes.route.owner = {};
    harness.routes.onWait = [&](int) { harness.handler.refuseRequests(); };
    for (const auto* id : { "waiting", "new" }) {
        const auto response = harness.request(id, false);
        CHECK(response.status == 503);
        CHECK(response.header("Teaselturn-Outcome") == "not-run");
        CHECK(response.header("Teaselturn-Code") == "3106");
    }
    CHECK(harness.routes.waits == 1);
    CHECK(harness.upstreams.executions.empty());
}
