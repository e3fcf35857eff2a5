#include "core/metrics/BurnWindows.h"
#include "core/metrics/RequestVerdict.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant origin { 1'000'000s };

/// Length of the intervals in each window.
constexpr std::array<std::chrono::seconds, 4> intervals { 10s, 60s, 300s, 3600s };

}

// Guards against a window that drops a failure too early or counts it for more than one additional interval.
TEST_CASE("Each window counts a request for its length and at most one interval longer")
{
    for (std::size_t i = 0; i < burnWindowLengths.size(); ++i) {
        for (const auto offset : { Duration { 0 }, Duration { intervals[i] } - 1ns }) {
            CAPTURE(i, offset.count());
            BurnWindows windows;
            const auto at = origin - origin.time_since_epoch() % intervals[i] + offset;
            windows.add(at, { 3, 2 });
            CHECK(windows.totals(at)[i] == RequestCounts { 3, 2 });
            CHECK(windows.totals(at + burnWindowLengths[i])[i] == RequestCounts { 3, 2 });
            CHECK(windows.totals(at + burnWindowLengths[i] + intervals[i])[i] == RequestCounts {});
        }
    }
}

// Guards against old counts that reappear when the ring buffer wraps around.
TEST_CASE("Windows equal the sums over a list of all counts, for gaps of any length")
{
    constexpr std::uint32_t seed = 20260801;
    CAPTURE(seed);
    std::mt19937 random { seed };
    BurnWindows windows;
    std::multimap<Instant, RequestCounts> all;
    auto now = origin;
    for (int step = 0; step < 2'000; ++step) {
        const RequestCounts counts { random() % 5, random() % 3 };
        windows.add(now, counts);
        all.emplace(now, counts);
        for (std::size_t i = 0; i < intervals.size(); ++i) {
            RequestCounts expected;
            const auto first = now.time_since_epoch() / intervals[i] - burnWindowLengths[i] / intervals[i];
            for (auto item = all.lower_bound(Instant { first * Duration { intervals[i] } }); item != all.end(); ++item) {
                expected += item->second;
            }
            REQUIRE(windows.totals(now)[i] == expected);
        }
        // Mostly short steps; one in 50 is long.
        now += std::chrono::seconds { random() % 50 == 0 ? random() % 400'000 : random() % 200 };
    }
}

// Guards against late counts of a slow thread that overwrite newer counts or are added to a newer interval.
TEST_CASE("Late counts are added if they are within the window, and dropped otherwise")
{
    BurnWindows windows;
    windows.add(origin, { 1, 0 });
    windows.add(origin - 20s, { 0, 1 });
    windows.add(origin - 400s, { 0, 8 });
    CHECK(windows.totals(origin)[0] == RequestCounts { 1, 1 });
    CHECK(windows.totals(origin)[1] == RequestCounts { 1, 9 });
    CHECK(windows.totals(origin - 5s)[0] == RequestCounts { 1, 1 });
}

TEST_CASE("The burn rate is the share of bad requests divided by the allowed share")
{
    CHECK(burnRate({}, 999'000) == 0);
    CHECK(burnRate({ 999, 1 }, 999'000) == Approx(1));
    CHECK(burnRate({ 0, 7 }, 999'500) == Approx(2000));
    CHECK(burnRate({ 50, 50 }, 500'000) == Approx(1));
}

// Guards against invalid requests that use up a service's error budget, and against failures that don't.
TEST_CASE("Requests are classified by outcome, HTTP status and latency")
{
    const auto classify = [](Outcome outcome, ResultCode code, int status, Duration latency) {
        return classifyRequest(outcome, code, status, latency, 250ms);
    };
    CHECK(classify(Outcome::Answered, ResultCode::Ok, 200, 250ms) == RequestVerdict::Good);
    CHECK(classify(Outcome::Answered, ResultCode::Ok, 200, 250ms + 1ns) == RequestVerdict::Bad);
    CHECK(classify(Outcome::Answered, ResultCode::Ok, 499, 1ms) == RequestVerdict::Good);
    CHECK(classify(Outcome::Answered, ResultCode::Ok, 500, 1ms) == RequestVerdict::Bad);
    CHECK(classify(Outcome::NotRun, ResultCode::RequestShed, 0, 1ms) == RequestVerdict::Bad);
    CHECK(classify(Outcome::Unknown, ResultCode::RequestOutcomeUnknown, 0, 1ms) == RequestVerdict::Bad);
    CHECK(classify(Outcome::NotRun, ResultCode::RequestMalformed, 0, 1ms) == RequestVerdict::Ignored);
    CHECK(classify(Outcome::NotRun, ResultCode::RequestTooLarge, 0, 1ms) == RequestVerdict::Ignored);
    CHECK(classify(Outcome::NotRun, ResultCode::RequestNoOwner, 0, 1ms) == RequestVerdict::Bad);
}
