#pragma once

#include "core/ownership/BoundedLoadPlacement.h"
#include "core/ownership/PlacementPolicy.h"
#include "core/routing/RouteTable.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace teaselturn::placement {

/// A server that joins, leaves or fails in a given second of the workload.
struct ServerEvent {
    enum class Kind : std::uint8_t { Joins,
        Leaves,
        Fails };

    int second {};
    Kind kind {};
    std::uint64_t server {};
};

/// Requests to the servers of one service with Zipf-distributed keys. The hot keys and the total rate can change over
/// time.
struct Workload {
    std::string name;
    std::uint32_t partitions {};
    std::uint64_t servers {};
    std::uint32_t requestSlots {};
    std::uint32_t keys {};
    double exponent {};
    int seconds {};
    /// Interval in seconds at which the hot keys swap their popularity with other keys; zero for never.
    int hotKeySwapInterval {};
    /// Requests per second, outside of the peak and during it. The peak is the middle third of the workload.
    double rate {};
    double peakRate {};
    std::vector<ServerEvent> events;
    std::uint64_t seed {};
};

inline constexpr int hotKeyCount = 44;

/// @return The workloads of both deployments, with the sizes from section 1.6 of docs/design.md.
inline std::vector<Workload> workloads(std::uint64_t seed)
{
    using enum ServerEvent::Kind;
    const Workload catalogue { "catalogue", 1'024, 17, 3, 50'000, 0.9, 900, 0, 600, 600, {}, seed };
    const Workload katalog { "katalog", 1'024, 16, 2, 50'000, 0.9, 900, 0, 500, 500, {}, seed + 1 };
    std::vector<Workload> all;
    for (const auto& base : { catalogue, katalog }) {
        const auto with = [&](const char* suffix, auto change) {
            auto workload = base;
            workload.name += suffix;
            change(workload);
            all.push_back(std::move(workload));
        };
        with(" steady", [](Workload&) {});
        with(" rush", [](Workload& workload) { workload.peakRate = 4 * workload.rate; });
        with(" hot keys move", [](Workload& workload) { workload.hotKeySwapInterval = 120; workload.exponent = 1.1; });
        with(" servers lost", [](Workload& workload) { workload.events = { { 200, Fails, 1 }, { 210, Fails, 2 }, { 500, Fails, 3 } }; });
        with(" joining and leaving", [](Workload& workload) { workload.events = { { 200, Joins, 101 }, { 300, Joins, 102 }, { 500, Leaves, 1 }, { 700, Leaves, 101 } }; });
    }
    return all;
}

/// Results of a placement strategy for a workload.
struct StrategyResult {
    /// Highest load of a server as a multiple of the mean load, averaged over the seconds.
    double meanImbalance {};
    double worstImbalance {};
    std::size_t slotsMoved {};
    /// Lower bound of slotsMoved: slots whose owner failed or left.
    std::size_t minSlotsMoved {};
    double keysMoved {};
    double unavailableKeySeconds {};
};

/// Seconds without service for a slot whose owner failed: lease, decision and grant in section 4.3 of docs/design.md.
inline constexpr double takeoverSeconds = 1.5;
/// Seconds without service for a planned move, in which requests wait for drain, release and grant.
inline constexpr double moveSeconds = 0.5;

/// Upstreams and slots of one service at a point of the simulation.
struct PlacementState {
    std::vector<PlacementUpstream> upstreams;
    std::vector<PlacementSlot> slots;
};

/// Computes the load of each partition for each second, and the number of its keys.
class PartitionLoad {
public:
    explicit PartitionLoad(const Workload& workload)
        : workload(workload)
        , random(workload.seed)
        , partitionOf(workload.keys)
        , keys(workload.partitions)
    {
        for (std::uint32_t key = 0; key < workload.keys; ++key) {
            this->partitionOf[key] = static_cast<std::uint32_t>(hashKey("key-" + std::to_string(key)) % workload.partitions);
            ++this->keys[this->partitionOf[key]];
            this->popularity.push_back(std::pow(key + 1.0, -workload.exponent));
            this->sum += this->popularity.back();
        }
    }

    void apply(int second, std::vector<PlacementSlot>& slots)
    {
        if (this->workload.hotKeySwapInterval > 0 && second > 0 && second % this->workload.hotKeySwapInterval == 0) {
            for (int i = 0; i < hotKeyCount; ++i) {
                std::swap(this->popularity[static_cast<std::size_t>(i)], this->popularity[this->random() % this->workload.keys]);
            }
        }
        const bool isPeak = second >= this->workload.seconds / 3 && second < this->workload.seconds * 2 / 3;
        const auto rate = this->workload.rate / this->sum;
        // A peak comes from the demand for popular keys, so its additional load is spread evenly over the hot keys.
        const auto peakExtra = isPeak ? (this->workload.peakRate - this->workload.rate) / hotKeyCount : 0;
        for (auto& slot : slots) {
            slot.load = 0;
        }
        for (std::uint32_t key = 0; key < this->workload.keys; ++key) {
            slots[this->partitionOf[key]].load += rate * this->popularity[key] + (key < hotKeyCount ? peakExtra : 0);
        }
    }

    double keyCount(std::size_t partition) const { return this->keys[partition]; }

private:
    const Workload& workload;
    std::mt19937_64 random;
    std::vector<std::uint32_t> partitionOf;
    std::vector<double> keys;
    std::vector<double> popularity;
    double sum {};
};

inline double imbalanceOf(const PlacementState& state)
{
    double mean = 0;
    double highest = 0;
    for (const auto& upstream : state.upstreams) {
        double load = 0;
        for (const auto& slot : state.slots) {
            load += slot.owner == upstream.id ? slot.load : 0;
        }
        mean += load / static_cast<double>(state.upstreams.size());
        highest = std::max(highest, load);
    }
    return mean > 0 ? highest / mean : 1;
}

inline void addServer(PlacementState& state, const Workload& workload, std::uint64_t id, Duration age)
{
    state.upstreams.push_back({ UpstreamId { id }, ZoneId { static_cast<std::uint16_t>(1 + id % 4) }, workload.requestSlots, age });
}

/// Simulates a workload. The strategy gets the loads of the previous second.
template <typename Strategy>
StrategyResult simulate(const Workload& workload, Strategy strategy)
{
    PlacementState state;
    StrategyResult result;
    PartitionLoad load { workload };
    for (std::uint64_t id = 1; id <= workload.servers; ++id) {
        addServer(state, workload, id, Duration::max());
    }
    for (std::uint32_t i = 0; i < workload.partitions; ++i) {
        state.slots.push_back({ { ServiceId { 1 }, i } });
    }
    for (int second = 0; second < workload.seconds; ++second) {
        std::vector<UpstreamId> lost;
        for (const auto& event : workload.events) {
            const UpstreamId id { event.server };
            if (event.second == second && event.kind == ServerEvent::Kind::Joins) {
                addServer(state, workload, event.server, Duration::zero());
            } else if (event.second == second) {
                result.minSlotsMoved += static_cast<std::size_t>(std::ranges::count(state.slots, id, &PlacementSlot::owner));
                std::erase_if(state.upstreams, [id](const auto& upstream) { return upstream.id == id; });
                if (event.kind == ServerEvent::Kind::Fails) {
                    lost.push_back(id);
                }
            }
        }
        for (auto& upstream : state.upstreams) {
            upstream.age = upstream.age == Duration::max() ? upstream.age : upstream.age + std::chrono::seconds { 1 };
        }
        const auto before = state.slots;
        strategy.place(second, workload, state);
        for (std::size_t i = 0; i < before.size(); ++i) {
            if (before[i].owner != UpstreamId {} && before[i].owner != state.slots[i].owner) {
                ++result.slotsMoved;
                result.keysMoved += load.keyCount(i);
                const bool isLost = std::ranges::count(lost, before[i].owner) > 0;
                result.unavailableKeySeconds += load.keyCount(i) * (isLost ? takeoverSeconds : moveSeconds);
            }
        }
        load.apply(second, state.slots);
        const auto imbalance = imbalanceOf(state);
        result.meanImbalance += imbalance / workload.seconds;
        result.worstImbalance = std::max(result.worstImbalance, imbalance);
    }
    return result;
}

}
