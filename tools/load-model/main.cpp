#include "common/OptionValues.h"
#include "load-model/Simulation.h"

#include <cstdio>
#include <getopt.h>
#include <string_view>

namespace {

using namespace teaselturn;
using namespace teaselturn::model;

constexpr const char* usage
    = "usage: load-model [--pattern NAME] [--policy NAME] [--seeds N] [--first-seed N] [--load PERCENT]\n"
      "Plays load patterns on a simulated clock and prints one line of CSV for each run.\n"
      "  --pattern NAME   only this pattern\n"
      "  --policy NAME    only this policy: teaselturn, lowest-latency (teaselturn with its earlier\n"
      "                   choice of upstreams), round-robin, least-outstanding or two-choices\n"
      "  --seeds N        runs of each pair, with consecutive seeds (default 1)\n"
      "  --first-seed N   seed of the first run (default 1)\n"
      "  --load PERCENT   arrivals as a part of those of the pattern (default 100)\n";

struct Options {
    std::string pattern;
    std::string policy;
    std::uint64_t seeds { 1 };
    std::uint64_t firstSeed { 1 };
    std::uint32_t loadPercent { 100 };
};

bool apply(int option, const char* value, Options& options)
{
    switch (option) {
    case 'p':
        options.pattern = value;
        return findPattern(value) != nullptr;
    case 'P':
        options.policy = value;
        return true;
    case 'n':
        return parseNumber(value, options.seeds) && options.seeds >= 1;
    case 's':
        return parseNumber(value, options.firstSeed);
    case 'l':
        return parseNumber(value, options.loadPercent) && options.loadPercent >= 1;
    default:
        return false;
    }
}

template <typename Policy, Placement placement = Placement::Subset>
Figures runPattern(const Pattern& pattern, std::uint64_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    options.placement = placement;
    return Simulation<Policy> { pattern, options }.run();
}

struct NamedPolicy {
    std::string_view name;
    Figures (*runPattern)(const Pattern&, std::uint64_t);
};

constexpr NamedPolicy policies[] = {
    { "teaselturn", runPattern<Dispatcher> },
    { "lowest-latency", runPattern<Dispatcher, Placement::LowestLatency> },
    { "round-robin", runPattern<DirectPolicy<RoundRobin>> },
    { "least-outstanding", runPattern<DirectPolicy<LeastOutstanding>> },
    { "two-choices", runPattern<DirectPolicy<TwoChoices>> },
};

void print(const Pattern& pattern, const NamedPolicy& policy, std::uint64_t seed, const Figures& figures)
{
    const auto milliseconds = [&figures](double share) { return std::chrono::duration<double, std::milli> { figures.latencies->percentile(share) }.count(); };
    std::printf("%.*s,%.*s,%llu,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.1f,%.1f,%.3f,%llu,%llu,%.2f,%.2f,%.2f,%llu\n", static_cast<int>(pattern.name.size()), pattern.name.data(), static_cast<int>(policy.name.size()), policy.name.data(),
        static_cast<unsigned long long>(seed), figures.worth(), figures.bound, figures.share(figures.inTime), figures.share(figures.late), figures.share(figures.refused), figures.share(figures.failed),
        milliseconds(0.5), milliseconds(0.99), figures.share(figures.arrivals), static_cast<unsigned long long>(figures.misdirected), static_cast<unsigned long long>(figures.connections), figures.busiestToMean,
        figures.busiestToSpeed, figures.windowDeviation, static_cast<unsigned long long>(figures.ignored));
}

}

int main(int argc, char** argv)
{
    static const option longOptions[] = { { "pattern", required_argument, nullptr, 'p' }, { "policy", required_argument, nullptr, 'P' }, { "seeds", required_argument, nullptr, 'n' }, { "first-seed", required_argument, nullptr, 's' }, { "load", required_argument, nullptr, 'l' }, { nullptr, 0, nullptr, 0 } };
    Options options;
    for (int option = 0; (option = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        if (!apply(option, optarg, options)) {
            std::fputs(usage, stderr);
            return 2;
        }
    }
    std::puts("pattern,policy,seed,worth,bound,in_time,late,refused,failed,p50_ms,p99_ms,arrivals_per_request,misdirected,connections,busiest_to_mean,busiest_to_speed,window_deviation,ignored");
    for (auto pattern : patterns()) {
        pattern.requestsPerSecond *= options.loadPercent / 100.0;
        for (const auto& policy : policies) {
            if ((!options.pattern.empty() && options.pattern != pattern.name) || (!options.policy.empty() && options.policy != policy.name)) {
                continue;
            }
            for (std::uint64_t i = 0; i < options.seeds; ++i) {
                print(pattern, policy, options.firstSeed + i, policy.runPattern(pattern, options.firstSeed + i));
            }
        }
    }
    return 0;
}
