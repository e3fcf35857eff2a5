// Simulates seeded workloads with each placement strategy and prints load imbalance, moves and unavailable time.

#include "Strategies.h"
#include "Workload.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace teaselturn::placement {

namespace {

    void printRow(const char* format, const Workload& workload, const char* strategy, const StrategyResult& result)
    {
        std::printf(format, workload.name.c_str(), strategy, result.meanImbalance, result.worstImbalance, result.slotsMoved, result.minSlotsMoved,
            result.keysMoved, result.unavailableKeySeconds);
    }

}

}

int main(int argc, char** argv)
{
    using namespace teaselturn::placement;
    const bool isCsv = argc > 1 && std::strcmp(argv[1], "--csv") == 0;
    const std::uint64_t seed = argc > 1 + isCsv ? std::strtoull(argv[1 + isCsv], nullptr, 10) : 20261204;
    const char* format = isCsv ? "%s,%s,%.3f,%.3f,%zu,%zu,%.0f,%.0f\n" : "%-22s %-22s %9.2f %9.2f %8zu %8zu %10.0f %12.0f\n";
    std::printf(isCsv ? "# seed %llu\n" : "seed %llu\n", static_cast<unsigned long long>(seed));
    std::printf(isCsv ? "workload,strategy,imbalance,worst,slotsMoved,leastSlots,keysMoved,unavailableKeySeconds\n"
                      : "workload               strategy               imbalance     worst    moved    least keys moved  key-seconds\n");
    for (const auto& workload : workloads(seed)) {
        printRow(format, workload, "bounded load", simulate(workload, BoundedLoad { true }));
        printRow(format, workload, "without moves", simulate(workload, BoundedLoad { false }));
        printRow(format, workload, "modulo", simulate(workload, Modulo {}));
        printRow(format, workload, "rendezvous", simulate(workload, Rendezvous {}));
    }
}
