#include "core/registry/KeyBalance.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace teaselturn {

namespace {

    /// Fraction of the total load that is added evenly over all keys, so that keys without requests are distributed
    /// too.
    constexpr double evenFraction = 0.1;
    /// Lower bound of the evenly added load; it applies before any load was measured.
    constexpr double minimumTotalLoad = 1;

    /// Prefix sums of the key weights: give the load of any run of consecutive keys.
    class KeyWeights {
    public:
        explicit KeyWeights(std::span<const float> measured)
            : sums(keyNumberCount + 1)
        {
            const auto total = std::accumulate(measured.begin(), measured.end(), 0.0);
            const auto even = std::max(total * evenFraction, minimumTotalLoad) / keyNumberCount;
            for (std::size_t i = 0; i < keyNumberCount; ++i) {
                this->sums[i + 1] = this->sums[i] + (i < measured.size() ? measured[i] : 0.0F) + even;
            }
        }

        double total() const noexcept { return this->sums.back(); }
        double weightOf(std::uint32_t first, std::uint32_t last) const noexcept { return this->sums[last + 1] - this->sums[first]; }

        /// @return The last key of the longest run from first that weighs at most amount; empty if the first key
        /// alone weighs more.
        std::optional<KeyNumber> endOfRun(std::uint32_t first, std::uint32_t last, double amount) const noexcept
        {
            const auto begin = this->sums.begin() + first + 1;
            const auto end = this->sums.begin() + last + 2;
            const auto after = std::upper_bound(begin, end, this->sums[first] + amount);
            if (after == begin) {
                return std::nullopt;
            }
            return static_cast<KeyNumber>(first + (after - begin) - 1);
        }

        /// @return The first key of the longest run up to last that weighs at most amount; empty if the last key
        /// alone weighs more.
        std::optional<KeyNumber> startOfRun(std::uint32_t first, std::uint32_t last, double amount) const noexcept
        {
            const auto begin = this->sums.begin() + first;
            const auto end = this->sums.begin() + last + 1;
            const auto found = std::lower_bound(begin, end, this->sums[last + 1] - amount);
            if (found == end) {
                return std::nullopt;
            }
            return static_cast<KeyNumber>(found - this->sums.begin());
        }

    private:
        std::vector<double> sums;
    };

    struct HolderLoad {
        const KeyHolder* holder {};
        double load {};
        std::size_t ranges {};
        double share {};

        double deficit() const noexcept { return this->share - this->load; }
    };

    class HolderLoads {
    public:
        /// @param total Load to distribute by capacity.
        HolderLoads(std::span<const KeyHolder> holders, double total)
        {
            double capacity = 0;
            for (const auto& holder : holders) {
                capacity += holder.acceptsKeys ? holder.capacity : 0;
            }
            for (const auto& holder : holders) {
                const auto share = holder.acceptsKeys && capacity > 0 ? total * holder.capacity / capacity : 0;
                this->loads.push_back({ &holder, 0, 0, share });
            }
        }

        HolderLoad* find(const UpstreamKey& key) noexcept
        {
            const auto found = std::ranges::find_if(this->loads, [&key](const HolderLoad& load) { return load.holder->key == key; });
            return found == this->loads.end() ? nullptr : &*found;
        }

        /// @return The holder with the largest unused fraction of its share, or null if no holder can get keys.
        HolderLoad* mostUnderloaded(std::size_t rangeLimit) noexcept
        {
            HolderLoad* best = nullptr;
            for (auto& load : this->loads) {
                if (!load.holder->acceptsKeys || load.ranges >= rangeLimit || load.share <= 0) {
                    continue;
                }
                if (best == nullptr || load.deficit() / load.share > best->deficit() / best->share) {
                    best = &load;
                }
            }
            return best;
        }

        std::vector<HolderLoad>& all() noexcept { return this->loads; }

    private:
        std::vector<HolderLoad> loads;
    };

    void addOwnedLoad(HolderLoads& loads, std::span<const KeyRange> ranges, const KeyWeights& weights, const std::function<bool(const KeyRange&)>& isCounted)
    {
        for (const auto& range : ranges) {
            if (!isCounted(range)) {
                continue;
            }
            // Moving keys count as load of their target.
            if (auto* load = loads.find(range.isMoving() ? range.target : range.owner)) {
                load->load += weights.weightOf(range.first, range.last);
                ++load->ranges;
            }
        }
    }

    struct KeyRun {
        KeyNumber first {};
        KeyNumber last {};
        double weight {};
    };

    /// @return The heaviest run at the beginning or end of one of the owner's ranges that weighs at most amount; empty
    /// if there is none.
    std::optional<KeyRun> heaviestRun(std::span<const KeyRange> ranges, const UpstreamKey& owner, double amount, const KeyWeights& weights)
    {
        std::optional<KeyRun> best;
        const auto consider = [&best, &weights](KeyNumber first, KeyNumber last) {
            const KeyRun run { first, last, weights.weightOf(first, last) };
            if (!best || run.weight > best->weight) {
                best = run;
            }
        };
        for (const auto& range : ranges) {
            if (range.owner != owner || range.isMoving()) {
                continue;
            }
            if (const auto end = weights.endOfRun(range.first, range.last, amount)) {
                consider(range.first, *end);
            }
            if (const auto start = weights.startOfRun(range.first, range.last, amount)) {
                consider(*start, range.last);
            }
        }
        return best;
    }

    /// The moves of one round. Each is applied to a copy of the ranges so that later choices see the earlier ones.
    class MovePlan {
    public:
        MovePlan(std::span<const KeyRange> ranges, const KeyWeights& weights)
            : ranges(ranges.begin(), ranges.end())
            , weights(weights)
        {
        }

        void move(const KeyRun& run, HolderLoad& from, HolderLoad& to)
        {
            this->moves.push_back({ run.first, run.last, to.holder->key });
            this->markMoving(run, to.holder->key);
            from.load -= run.weight;
            to.load += run.weight;
            ++to.ranges;
        }

        std::optional<KeyRun> heaviestRunOf(const HolderLoad& from, double amount) const
        {
            return heaviestRun(this->ranges, from.holder->key, amount, this->weights);
        }

        /// @return The holder's key with the most load; empty if all its keys are moving.
        std::optional<KeyRun> heaviestKey(const HolderLoad& from) const
        {
            std::optional<KeyRun> best;
            for (const auto& range : this->ranges) {
                if (range.owner != from.holder->key || range.isMoving()) {
                    continue;
                }
                for (std::uint32_t key = range.first; key <= range.last; ++key) {
                    const auto weight = this->weights.weightOf(key, key);
                    if (!best || weight > best->weight) {
                        best = KeyRun { static_cast<KeyNumber>(key), static_cast<KeyNumber>(key), weight };
                    }
                }
            }
            return best;
        }

        std::size_t size() const noexcept { return this->moves.size(); }
        std::vector<KeyRangeMove> takeMoves() { return std::move(this->moves); }

    private:
        void markMoving(const KeyRun& run, const UpstreamKey& target)
        {
            const auto found = std::ranges::find_if(this->ranges, [&run](const KeyRange& range) { return range.first <= run.first && run.last <= range.last; });
            if (found == this->ranges.end()) {
                return;
            }
            const auto original = *found;
            found->first = run.first;
            found->last = run.last;
            found->target = target;
            if (original.last > run.last) {
                auto rest = original;
                rest.first = static_cast<KeyNumber>(run.last + 1);
                this->ranges.push_back(rest);
            }
            if (original.first < run.first) {
                auto rest = original;
                rest.last = static_cast<KeyNumber>(run.first - 1);
                this->ranges.push_back(rest);
            }
        }

        std::vector<KeyRange> ranges;
        const KeyWeights& weights;
        std::vector<KeyRangeMove> moves;
    };

    /// Moves all keys away from a draining holder.
    void drainHolder(MovePlan& plan, HolderLoad& from, HolderLoads& loads, const BalanceLimits& bounds)
    {
        while (plan.size() < limits::maxKeyRanges) {
            auto* to = loads.mostUnderloaded(bounds.maxRangesPerHolder);
            if (to == nullptr) {
                return;
            }
            auto run = plan.heaviestRunOf(from, std::max(to->deficit(), 0.0));
            if (!run) {
                // No run fits the deficit of the most underloaded holder, so it gets the heaviest run regardless.
                run = plan.heaviestRunOf(from, from.load + 1);
            }
            if (!run) {
                return;
            }
            plan.move(*run, from, *to);
        }
    }

    /// Moves a single key that overloads its owner to the upstream with the largest maxLoad. Later rounds move that
    /// upstream's other keys to upstreams with spare capacity.
    void moveHotKey(MovePlan& plan, HolderLoad& from, HolderLoads& loads, const BalanceLimits& bounds)
    {
        if (from.holder->maxLoad <= 0 || from.load < from.holder->maxLoad) {
            return;
        }
        const auto hottest = plan.heaviestKey(from);
        if (!hottest || hottest->weight < from.holder->maxLoad) {
            return;
        }
        HolderLoad* fastest = nullptr;
        for (auto& load : loads.all()) {
            // An upstream at its own maxLoad, for example with such a key itself, has no free capacity.
            const bool isUsable = load.holder->acceptsKeys && load.ranges < bounds.maxRangesPerHolder && load.load < load.holder->maxLoad;
            if (isUsable && (fastest == nullptr || load.holder->maxLoad > fastest->holder->maxLoad)) {
                fastest = &load;
            }
        }
        if (fastest != nullptr && fastest->holder->maxLoad > from.holder->maxLoad * bounds.minimumSpeedup) {
            plan.move(*hottest, from, *fastest);
        }
    }

    void shedSurplus(MovePlan& plan, HolderLoad& from, HolderLoads& loads, const BalanceLimits& bounds)
    {
        // Under constant load, a count of n requests varies by about the square root of n between periods.
        const auto noise = bounds.noiseDeviations / std::sqrt(std::max(1.0, from.share));
        const auto tolerance = std::max(bounds.surplusTolerance, noise);
        const auto loadToKeep = std::max(from.share * (1 + tolerance), from.holder->maxLoad * bounds.rebalanceThreshold);
        while (plan.size() < bounds.maxMoves && from.load > loadToKeep) {
            auto* to = loads.mostUnderloaded(bounds.maxRangesPerHolder);
            if (to == nullptr || to == &from) {
                return;
            }
            const auto amount = std::min(from.load - from.share, to->deficit());
            const auto run = plan.heaviestRunOf(from, amount);
            // A run that relieves little is not worth the interruption of its keys.
            if (!run || run->weight < amount / 4 || run->weight < from.share / 50) {
                return;
            }
            plan.move(*run, from, *to);
        }
    }

}

std::vector<KeyRangeGrant> placeFreeKeys(std::span<const KeyRange> ranges, const std::function<bool(const KeyRange&)>& isFree, std::span<const KeyHolder> holders, std::span<const float> weights)
{
    const KeyWeights keyWeights { weights };
    HolderLoads loads { holders, keyWeights.total() };
    addOwnedLoad(loads, ranges, keyWeights, [&isFree](const KeyRange& range) { return !isFree(range); });
    std::vector<KeyRangeGrant> grants;
    for (const auto& range : ranges) {
        if (!isFree(range)) {
            continue;
        }
        std::uint32_t first = range.first;
        while (first <= range.last) {
            auto* to = loads.mostUnderloaded(limits::maxKeyRanges);
            if (to == nullptr) {
                return {};
            }
            // A tolerance of a thousandth of the share keeps rounding errors from leaving a tiny separate range.
            const auto amount = std::max(to->deficit() + to->share / 1'000, to->share / 8);
            const auto last = keyWeights.endOfRun(first, range.last, amount).value_or(static_cast<KeyNumber>(first));
            grants.push_back({ static_cast<KeyNumber>(first), last, to->holder->key, {} });
            to->load += keyWeights.weightOf(first, last);
            ++to->ranges;
            first = std::uint32_t { last } + 1;
        }
    }
    return grants;
}

std::vector<KeyRangeMove> planKeyMoves(std::span<const KeyRange> ranges, std::span<const KeyHolder> holders, std::span<const float> weights, const BalanceLimits& bounds)
{
    const KeyWeights keyWeights { weights };
    HolderLoads loads { holders, keyWeights.total() };
    addOwnedLoad(loads, ranges, keyWeights, [](const KeyRange&) { return true; });
    MovePlan plan { ranges, keyWeights };
    for (auto& load : loads.all()) {
        if (!load.holder->acceptsKeys && !load.holder->keepsKeys && load.load > 0) {
            drainHolder(plan, load, loads, bounds);
        }
    }
    std::vector<HolderLoad*> busiest;
    for (auto& load : loads.all()) {
        if (load.holder->acceptsKeys && load.share > 0) {
            busiest.push_back(&load);
        }
    }
    std::ranges::sort(busiest, std::ranges::greater {}, [](const HolderLoad* load) { return load->load / load->share; });
    for (auto* load : busiest) {
        moveHotKey(plan, *load, loads, bounds);
        shedSurplus(plan, *load, loads, bounds);
    }
    return plan.takeMoves();
}

}
