#include "load-model/Simulation.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::model;

namespace {

const Pattern& pattern(std::string_view name)
{
    const auto* found = findPattern(name);
    REQUIRE(found != nullptr);
    return *found;
}

template <typename Policy>
double meanWorth(const Pattern& played, SimulationOptions options = {})
{
    constexpr std::uint64_t seeds = 3;
    double sum = 0;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        sum += Simulation<Policy> { played, options }.run().worth();
    }
    return sum / seeds;
}

}

TEST_CASE("one seed gives one run")
{
    // Guards against a replay that fails at one time and passes at another.
    const SimulationOptions options { .seed = 5 };
    const auto first = Simulation<Dispatcher> { pattern("hot-range"), options }.run();
    const auto second = Simulation<Dispatcher> { pattern("hot-range"), options }.run();
    CHECK(first.requests == second.requests);
    CHECK(first.inTime == second.inTime);
    CHECK(first.arrivals == second.arrivals);
    CHECK(first.latencies->sum() == second.latencies->sum());
}

TEST_CASE("every request of a run is accounted for, and no policy exceeds the bound")
{
    for (const auto& played : patterns()) {
        const auto figures = Simulation<Dispatcher> { played, {} }.run();
        INFO(played.name);
        CHECK(figures.inTime + figures.late + figures.refused + figures.failed == figures.requests);
        CHECK(figures.worth() <= figures.bound);
    }
}

TEST_CASE("callers get more than from simple choices of upstreams")
{
    // Guards against waiting, refusing and placing that are worse than none of it.
    const auto* name = GENERATE("burst", "retry-abuse", "slow-third", "shedding", "cold-fleet", "narrow-link");
    const auto& played = pattern(name);
    const auto ours = meanWorth<Dispatcher>(played);
    INFO(name << ": " << ours);
    CHECK(ours > meanWorth<DirectPolicy<RoundRobin>>(played));
    CHECK(ours > meanWorth<DirectPolicy<LeastOutstanding>>(played));
    CHECK(ours > meanWorth<DirectPolicy<TwoChoices>>(played));
}

TEST_CASE("callers get more than from requests that go to the owners of keys at once")
{
    // Guards against waiting and refusing that are worse than none of it; all simple choices are one here.
    const auto* name = GENERATE("hot-range", "hot-key", "slow-owners", "release");
    const auto& played = pattern(name);
    const auto ours = meanWorth<Dispatcher>(played);
    INFO(name << ": " << ours);
    CHECK(ours > meanWorth<DirectPolicy<RoundRobin>>(played));
}

TEST_CASE("moves of hot keys gain where answers to heartbeats wait for news")
{
    // Guards against moves that wait for two heartbeats while the overloaded owner keeps its keys.
    SimulationOptions atOnce;
    atOnce.registry.leases.replyHold = Duration::zero();
    atOnce.registry.leases.drainingReplyHold = Duration::zero();
    const auto& played = pattern("hot-range");
    CHECK(meanWorth<Dispatcher>(played) > meanWorth<Dispatcher>(played, atOnce));
}

TEST_CASE("a narrow link serves more where requests beyond it are refused")
{
    // Guards against answers that crowd on a full link until all of them are late.
    SimulationOptions unaware;
    unaware.knowsLink = false;
    const auto& played = pattern("narrow-link");
    CHECK(meanWorth<Dispatcher>(played) > meanWorth<Dispatcher>(played, unaware) + 0.05);
}
