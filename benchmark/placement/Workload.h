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

/// Server that joins, leaves or fails at a second of the workload.
struct ServerEvent {
    enum class Kind : std::uint8_t { Joins,
        Leaves,
        Fails };

    int second {};
    Kind kind {};
    std::uint64_t server {};
};

/// Keys with Zipf popularity over the servers of one service. The hot keys move and the total changes with time.
struct Workload {
    std::string name;
    std::uint32_t partitions {};
    std::uint64_t servers {};
    std::uint32_t requestSlots {};
    std::uint32_t keys {};
    double exponent {};
    int seconds {};
    /// The most popular keys change places with others at this interval; zero for never.
    int hotInterval {};
    /// Requests a second at rest and in the rush, which lasts for the middle third.
    double rate {};
    double rush {};
    std::vector<ServerEvent> events;
    std::uint64_t seed {};
};

inline constexpr int hotKeyCount = 44;

/// @return The workloads of both deployments, with sizes of docs/design.md section 1.6.
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
        with(" rush", [](Workload& workload) { workload.rush = 4 * workload.rate; });
        with(" hot keys move", [](Workload& workload) { workload.hotInterval = 120; workload.exponent = 1.1; });
        with(" servers lost", [](Workload& workload) { workload.events = { { 200, Fails, 1 }, { 210, Fails, 2 }, { 500, Fails, 3 } }; });
        with(" joining and leaving", [](Workload& workload) { workload.events = { { 200, Joins, 101 }, { 300, Joins, 102 }, { 500, Leaves, 1 }, { 700, Leaves, 101 } }; });
    }
    return all;
}

/// What a strategy's decisions come to.
struct Figures {
    /// Highest load per request slot as a multiple of the mean, averaged over the seconds.
    double meanImbalance {};
    double worstImbalance {};
    std::size_t slotsMoved {};
    /// Slots that had to move because their owner failed or left.
    std::size_t leastSlots {};
    double keysMoved {};
    double unavailableKeySeconds {};
};

/// Seconds without service for a slot whose owner failed: lease, decision and grant of docs/design.md section 4.3.
inline constexpr double takeoverSeconds = 1.5;
/// The same for a planned move, in which requests wait for drain, release and grant.
inline constexpr double moveSeconds = 0.5;

/// Owners of the slots of one service while a workload runs.
struct Placed {
    std::vector<PlacementUpstream> upstreams;
    std::vector<PlacementSlot> slots;
};

/// Load and number of keys of each partition, second by second.
class Load {
public:
    explicit Load(const Workload& workload)
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
        if (this->workload.hotInterval > 0 && second > 0 && second % this->workload.hotInterval == 0) {
            for (int i = 0; i < hotKeyCount; ++i) {
                std::swap(this->popularity[static_cast<std::size_t>(i)], this->popularity[this->random() % this->workload.keys]);
            }
        }
        const bool isRush = second >= this->workload.seconds / 3 && second < this->workload.seconds * 2 / 3;
        const auto rate = this->workload.rate / this->sum;
        // A rush is for what is on offer: it adds to the keys that are popular at the time.
        const auto rush = isRush ? (this->workload.rush - this->workload.rate) / hotKeyCount : 0;
        for (auto& slot : slots) {
            slot.load = 0;
        }
        for (std::uint32_t key = 0; key < this->workload.keys; ++key) {
            slots[this->partitionOf[key]].load += rate * this->popularity[key] + (key < hotKeyCount ? rush : 0);
        }
    }

    double keysIn(std::size_t partition) const { return this->keys[partition]; }

private:
    const Workload& workload;
    std::mt19937_64 random;
    std::vector<std::uint32_t> partitionOf;
    std::vector<double> keys;
    std::vector<double> popularity;
    double sum {};
};

inline double imbalanceOf(const Placed& placed)
{
    double mean = 0;
    double highest = 0;
    for (const auto& upstream : placed.upstreams) {
        double load = 0;
        for (const auto& slot : placed.slots) {
            load += slot.owner == upstream.id ? slot.load : 0;
        }
        mean += load / static_cast<double>(placed.upstreams.size());
        highest = std::max(highest, load);
    }
    return mean > 0 ? highest / mean : 1;
}

inline void addServer(Placed& placed, const Workload& workload, std::uint64_t id, Duration age)
{
    placed.upstreams.push_back({ UpstreamId { id }, ZoneId { static_cast<std::uint16_t>(1 + id % 4) }, workload.requestSlots, age });
}

/// Plays a workload. The strategy sees the loads of the second before.
template <typename Strategy>
Figures play(const Workload& workload, Strategy strategy)
{
    Placed placed;
    Figures figures;
    Load load { workload };
    for (std::uint64_t id = 1; id <= workload.servers; ++id) {
        addServer(placed, workload, id, Duration::max());
    }
    for (std::uint32_t i = 0; i < workload.partitions; ++i) {
        placed.slots.push_back({ { ServiceId { 1 }, i } });
    }
    for (int second = 0; second < workload.seconds; ++second) {
        std::vector<UpstreamId> lost;
        for (const auto& event : workload.events) {
            const UpstreamId id { event.server };
            if (event.second == second && event.kind == ServerEvent::Kind::Joins) {
                addServer(placed, workload, event.server, Duration::zero());
            } else if (event.second == second) {
                figures.leastSlots += static_cast<std::size_t>(std::ranges::count(placed.slots, id, &PlacementSlot::owner));
                std::erase_if(placed.upstreams, [id](const auto& upstream) { return upstream.id == id; });
                if (event.kind == ServerEvent::Kind::Fails) {
                    lost.push_back(id);
                }
            }
        }
        for (auto& upstream : placed.upstreams) {
            upstream.age = upstream.age == Duration::max() ? upstream.age : upstream.age + std::chrono::seconds { 1 };
        }
        const auto before = placed.slots;
        strategy.place(second, workload, placed);
        for (std::size_t i = 0; i < before.size(); ++i) {
            if (before[i].owner != UpstreamId {} && before[i].owner != placed.slots[i].owner) {
                ++figures.slotsMoved;
                figures.keysMoved += load.keysIn(i);
                const bool isLost = std::ranges::count(lost, before[i].owner) > 0;
                figures.unavailableKeySeconds += load.keysIn(i) * (isLost ? takeoverSeconds : moveSeconds);
            }
        }
        load.apply(second, placed.slots);
        const auto imbalance = imbalanceOf(placed);
        figures.meanImbalance += imbalance / workload.seconds;
        figures.worstImbalance = std::max(figures.worstImbalance, imbalance);
    }
    return figures;
}

}
