#include "core/ownership/BoundedLoadPlacement.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>

namespace teaselturn {

namespace {

    /// Rebalancing starts if an upstream's load per request slot differs from the mean by more than this fraction of
    /// the mean.
    constexpr double outerBand = 0.25;
    /// Rebalancing stops once every upstream is within this fraction of the mean.
    constexpr double innerBand = 0.10;
    /// Slow start: the capacity of a new upstream grows from coldShare to its full value over this time.
    constexpr std::chrono::seconds slowStart { 30 };
    constexpr double coldShare = 0.25;
    /// Slots lighter than this fraction of the mean weight are not moved for rebalancing: each move costs a drain and
    /// changes little.
    constexpr double lightShare = 0.2;
    /// Index of an owner that receives no slots, or of no owner.
    constexpr auto noTarget = std::numeric_limits<std::uint32_t>::max();

    double capacityOf(const PlacementUpstream& upstream)
    {
        const auto warmth = std::chrono::duration<double> { upstream.age } / std::chrono::duration<double> { slowStart };
        return upstream.requestSlots * std::clamp(warmth, coldShare, 1.0);
    }

    /// State of one placement decision for one service.
    class Balance {
    public:
        Balance(std::span<const PlacementUpstream> upstreams, std::span<const PlacementSlot> slots)
            : slots(slots)
        {
            this->addTargets(upstreams);
            this->weighSlots();
        }

        bool hasTargets() const noexcept { return !this->targets.empty(); }

        void assignFree(PlacementDecision& decision)
        {
            const auto isFree = [this](std::size_t i) { return this->slots[i].owner == UpstreamId {} && this->slots[i].isAssignable && !this->slots[i].isMoving; };
            for (const auto i : this->selected(isFree)) {
                decision.assignments.push_back({ this->slots[i].slot, this->assignToLeastLoaded(i), this->slots[i].fence });
            }
        }

        void drain(PlacementDecision& decision)
        {
            const auto isDraining = [this](std::size_t i) { return this->slots[i].owner != UpstreamId {} && !this->slots[i].isMoving && this->owners[i] == noTarget; };
            for (const auto i : this->selected(isDraining)) {
                decision.moves.push_back({ this->slots[i].slot, this->assignToLeastLoaded(i), this->slots[i].fence });
            }
        }

        /// @return True if all loads are within a band around the mean.
        bool isWithin(double band) const
        {
            const auto mean = this->mean();
            return this->order.rbegin()->ratio <= mean * (1 + band) && this->order.begin()->ratio >= mean * (1 - band);
        }

        /// Moves one slot to the least loaded upstream, from the most loaded one that has a suitable slot.
        /// @return False if no move improves the balance.
        bool moveOne(PlacementDecision& decision)
        {
            if (this->movable.empty()) {
                this->listMovable();
            }
            const auto target = this->order.begin()->index;
            const auto mean = this->mean();
            for (auto source = this->order.rbegin(); source != this->order.rend() && source->ratio > mean; ++source) {
                if (const auto slot = this->slotToMove(source->index, target)) {
                    this->move(*slot, source->index, target, decision);
                    return true;
                }
            }
            return false;
        }

    private:
        struct Target {
            UpstreamId id;
            double capacity {};
            double load {};
            /// Breaks ties between equal loads so that zones alternate.
            std::size_t rank {};
        };
        struct Position {
            double ratio {};
            std::size_t rank {};
            std::size_t index {};

            // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the operator.
            friend auto operator<=>(const Position&, const Position&) = default;
        };

        void addTargets(std::span<const PlacementUpstream> upstreams)
        {
            absl::btree_map<ZoneId, std::size_t> inZone;
            std::vector<std::pair<std::pair<std::size_t, ZoneId>, std::size_t>> ranked;
            for (const auto& upstream : upstreams) {
                if (!upstream.isDraining) {
                    ranked.push_back({ { inZone[upstream.zone]++, upstream.zone }, this->targets.size() });
                    this->indexes[upstream.id] = static_cast<std::uint32_t>(this->targets.size());
                    this->targets.push_back({ upstream.id, capacityOf(upstream) });
                    this->totalCapacity += this->targets.back().capacity;
                }
            }
            std::sort(ranked.begin(), ranked.end());
            for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
                this->targets[ranked[rank].second].rank = rank;
            }
        }

        void weighSlots()
        {
            double total = 0;
            for (const auto& slot : this->slots) {
                total += slot.load;
            }
            // A minimum weight per slot spreads idle slots as well.
            const auto floor = std::max(total * 0.1 / static_cast<double>(std::max<std::size_t>(1, this->slots.size())), 0.001);
            this->weights.reserve(this->slots.size());
            this->owners.reserve(this->slots.size());
            for (const auto& slot : this->slots) {
                this->weights.push_back(slot.load + floor);
                this->totalWeight += this->weights.back();
                const auto found = this->indexes.find(slot.owner);
                this->owners.push_back(found == this->indexes.end() ? noTarget : found->second);
                if (found != this->indexes.end()) {
                    this->targets[found->second].load += this->weights.back();
                    this->totalLoad += this->weights.back();
                }
            }
            for (std::size_t i = 0; i < this->targets.size(); ++i) {
                this->order.insert(this->position(i));
            }
        }

        void listMovable()
        {
            this->movable.resize(this->targets.size());
            for (std::uint32_t i = 0; i < this->slots.size(); ++i) {
                const auto owner = this->owners[i];
                if (owner != noTarget && !this->slots[i].isMoving && this->slots[i].owner == this->targets[owner].id) {
                    this->movable[owner].push_back(i);
                }
            }
        }

        Position position(std::size_t index) const
        {
            const auto& target = this->targets[index];
            return { target.load / target.capacity, target.rank, index };
        }

        void add(std::size_t index, double weight)
        {
            this->order.erase(this->position(index));
            this->targets[index].load += weight;
            this->totalLoad += weight;
            this->order.insert(this->position(index));
        }

        /// @return Indexes of the matching slots, heaviest first.
        template <typename Predicate>
        std::vector<std::size_t> selected(Predicate matches) const
        {
            std::vector<std::size_t> chosen;
            for (std::size_t i = 0; i < this->slots.size(); ++i) {
                if (matches(i)) {
                    chosen.push_back(i);
                }
            }
            std::stable_sort(chosen.begin(), chosen.end(), [this](auto left, auto right) { return this->weights[left] > this->weights[right]; });
            return chosen;
        }

        /// @return The slot whose move from source to target reduces the higher of the two loads the most.
        std::optional<std::size_t> slotToMove(std::size_t source, std::size_t target) const
        {
            const auto& from = this->targets[source];
            const auto& to = this->targets[target];
            const auto before = from.load / from.capacity;
            const auto noise = 0.05 * this->mean();
            const auto light = lightShare * this->totalWeight / static_cast<double>(this->slots.size());
            double most = 0;
            std::optional<std::size_t> chosen;
            for (const auto i : this->movable[source]) {
                if (this->owners[i] != source) {
                    continue;
                }
                const auto weight = this->weights[i];
                if (weight < light) {
                    continue;
                }
                const auto gain = before - std::max((from.load - weight) / from.capacity, (to.load + weight) / to.capacity);
                // A large slot whose gain is within measurement noise would soon move back. A small slot has little to
                // gain; it is moved as long as it does not bring the target close to the source's load.
                const auto least = std::min(noise, 0.5 * weight / from.capacity);
                if (gain >= least && gain > most) {
                    most = gain;
                    chosen = i;
                }
            }
            return chosen;
        }

        void move(std::size_t slot, std::size_t source, std::size_t target, PlacementDecision& decision)
        {
            this->add(source, -this->weights[slot]);
            this->add(target, this->weights[slot]);
            this->owners[slot] = static_cast<std::uint32_t>(target);
            decision.moves.push_back({ this->slots[slot].slot, this->targets[target].id, this->slots[slot].fence });
        }

        /// Assigns a slot to the least loaded upstream.
        UpstreamId assignToLeastLoaded(std::size_t slot)
        {
            const auto index = this->order.begin()->index;
            this->add(index, this->weights[slot]);
            this->owners[slot] = static_cast<std::uint32_t>(index);
            return this->targets[index].id;
        }

        double mean() const noexcept { return this->totalLoad / this->totalCapacity; }

        std::span<const PlacementSlot> slots;
        std::vector<double> weights;
        double totalWeight {};
        /// Sums over all targets.
        double totalLoad {};
        double totalCapacity {};
        /// Index in `targets` of each slot's owner, or noTarget.
        std::vector<std::uint32_t> owners;
        std::vector<Target> targets;
        /// Movable slots that each target owned initially. Empty until the first move is evaluated.
        std::vector<std::vector<std::uint32_t>> movable;
        // Only looked up by key; the iteration order has no effect on results.
        absl::flat_hash_map<UpstreamId, std::uint32_t> indexes;
        absl::btree_set<Position> order;
    };

}

PlacementDecision BoundedLoadPlacement::place(Instant, const ServiceSpec& service, std::span<const PlacementUpstream> upstreams,
    std::span<const PlacementSlot> slots, std::size_t allowedMoves)
{
    PlacementDecision decision;
    Balance balance { upstreams, slots };
    if (!balance.hasTargets()) {
        return decision;
    }
    balance.assignFree(decision);
    balance.drain(decision);
    if (!balance.isWithin(outerBand)) {
        this->rebalancing.insert(service.id);
    }
    bool canImprove = this->rebalancing.contains(service.id);
    while (canImprove && allowedMoves > 0 && !balance.isWithin(innerBand)) {
        canImprove = balance.moveOne(decision);
        --allowedMoves;
    }
    if (!canImprove || balance.isWithin(innerBand)) {
        this->rebalancing.erase(service.id);
    }
    return decision;
}

}
