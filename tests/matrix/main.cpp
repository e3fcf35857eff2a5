#include "adapters/threads/WorkerPool.h"
#include "matrix/Steps.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <getopt.h>
#include <string>
#include <thread>

/// Runs every fault at every step and prints the results. Exits with 1 if a check failed or a step was not reached.
namespace {

using namespace teaselturn;
using namespace teaselturn::matrix;

struct Options {
    std::uint64_t seed { 20261204 };
    std::string step;
    std::string fault;
    Mutation mutation { Mutation::None };
    bool isVerbose {};
};

constexpr std::pair<const char*, Mutation> mutationNames[] = {
    { "ignores-lease-end", Mutation::IgnoresLeaseEnd },
    { "accepts-late-answers", Mutation::AcceptsLateReplies },
    { "acknowledges-before-sync", Mutation::AcknowledgesBeforeSync },
    { "reverts-state", Mutation::RevertsState },
    { "loses-assignments", Mutation::LosesAssignments },
};

void printUsage()
{
    std::puts("usage: fault-matrix [--seed N] [--step NAME] [--fault NAME] [--mutation NAME] [--verbose]");
    for (const auto& [name, mutation] : mutationNames) {
        std::printf("  mutation %s\n", name);
    }
}

bool parse(int argc, char** argv, Options& options)
{
    static const option longOptions[] = { { "seed", required_argument, nullptr, 's' }, { "step", required_argument, nullptr, 't' }, { "fault", required_argument, nullptr, 'f' }, { "mutation", required_argument, nullptr, 'm' }, { "verbose", no_argument, nullptr, 'v' }, { nullptr, 0, nullptr, 0 } };
    for (int found = 0; (found = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        switch (found) {
        case 's':
            options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 't':
            options.step = optarg;
            break;
        case 'f':
            options.fault = optarg;
            break;
        case 'm':
            for (const auto& [name, mutation] : mutationNames) {
                options.mutation = std::strcmp(name, optarg) == 0 ? mutation : options.mutation;
            }
            break;
        case 'v':
            options.isVerbose = true;
            break;
        default:
            return false;
        }
    }
    return optind == argc;
}

std::vector<Cell> runAll(const Options& options)
{
    std::vector<std::pair<const Step*, const Fault*>> jobs;
    for (const auto& step : allSteps()) {
        for (const auto& fault : allFaults()) {
            if ((options.step.empty() || options.step == step.name) && (options.fault.empty() || options.fault == fault.name)) {
                jobs.emplace_back(&step, &fault);
            }
        }
    }
    std::vector<Cell> cells(jobs.size());
    WorkerPool pool { std::max(1U, std::thread::hardware_concurrency()), jobs.size() + 1 };
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const auto isQueued = pool.submit([&, i] { cells[i] = runCell(*jobs[i].first, *jobs[i].second, options.seed, options.mutation); });
        if (!isQueued) {
            std::abort();
        }
    }
    pool.stop();
    return cells;
}

}

int main(int argc, char** argv)
{
    Options options;
    if (!parse(argc, argv, options)) {
        printUsage();
        return 2;
    }
    const auto cells = runAll(options);
    std::size_t violated = 0;
    std::size_t notReached = 0;
    Duration longestGap {};
    for (const auto& cell : cells) {
        const auto isViolated = !cell.violations.empty();
        violated += isViolated ? 1 : 0;
        notReached += cell.isReached || isViolated ? 0 : 1;
        longestGap = std::max(longestGap, cell.longestMoveGap);
        if (isViolated || !cell.isReached || options.isVerbose) {
            std::printf("%s at \"%s\"%s, longest gap %lld ms\n", std::string { cell.fault }.c_str(), std::string { cell.step }.c_str(), cell.isReached ? "" : ": step not reached", static_cast<long long>(cell.longestMoveGap.count() / 1'000'000));
        }
        for (const auto& violation : cell.violations) {
            std::printf("    %s\n", violation.c_str());
        }
    }
    std::printf("seed %llu, %zu cells whose step was not reached, longest gap of a move slot %lld ms\n", static_cast<unsigned long long>(options.seed), notReached, static_cast<long long>(longestGap.count() / 1'000'000));
    std::printf("fault matrix: %zu faults, %zu steps, %zu cells, %zu proved, %zu violated\n", allFaults().size(), allSteps().size(), cells.size(), cells.size() - violated - notReached, violated);
    return violated == 0 && notReached == 0 ? 0 : 1;
}
