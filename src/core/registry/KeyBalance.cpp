#include "core/registry/KeyBalance.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace teaselturn {

namespace {

    /// Part of the whole load that is spread evenly over all keys, so that keys without requests are shared out too.
    constexpr double evenShare = 0.1;
    /// Even load where none was measured yet.
    constexpr double minimumTotal = 1;

    /// Load of single keys and of runs of keys.
    class KeyWeights {
    public:
        explicit KeyWeights(std::span<const float> measured)
            : sums(keyNumberCount + 1)
        {
            const auto whole = std::accumulate(measured.begin(), measured.end(), 0.0);
            const auto even = std::max(whole * evenShare, minimumTotal) / keyNumberCount;
            for (std::size_t i = 0; i < keyNumberCount; ++i) {
                this->sums[i + 1] = this->sums[i] + (i < measured.size() ? measured[i] : 0.0F) + even;
            }
        }

        double total() const noexcept { return this->sums.back(); }
        double of(std::uint32_t first, std::uint32_t last) const noexcept { return this->sums[last + 1] - this->sums[first]; }

        /// @return The largest end of a run from first that weighs at most amount, or nothing where even one key is more.
        std::optional<KeyNumber> endOfRun(std::uint32_t first, std::uint32_t last, double amount) const noexcept
        {
            const auto begin = this->sums.begin() + first + 1;
            const auto end = this->sums.begin() + last + 2;
            const auto beyond = std::upper_bound(begin, end, this->sums[first] + amount);
            if (beyond == begin) {
                return std::nullopt;
            }
            return static_cast<KeyNumber>(first + (beyond - begin) - 1);
        }

        /// @return The smallest start of a run up to last that weighs at most amount, or nothing.
        std::optional<KeyNumber> startOfRun(std::uint32_t first, std::uint32_t last, double amount) const noexcept
        {
            const auto begin = this->sums.begin() + first;
            const auto end = this->sums.begin() + last + 1;
            const auto place = std::lower_bound(begin, end, this->sums[last + 1] - amount);
            if (place == end) {
                return std::nullopt;
            }
            return static_cast<KeyNumber>(place - this->sums.begin());
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
        /// @param total Load to be shared out.
        HolderLoads(std::span<const KeyHolder> holders, double total)
        {
            double capacity = 0;
            for (const auto& holder : holders) {
                capacity += holder.takesKeys ? holder.capacity : 0;
            }
            for (const auto& holder : holders) {
                const auto share = holder.takesKeys && capacity > 0 ? total * holder.capacity / capacity : 0;
                this->loads.push_back({ &holder, 0, 0, share });
            }
        }

        HolderLoad* find(const UpstreamKey& key) noexcept
        {
            const auto found = std::ranges::find_if(this->loads, [&key](const HolderLoad& load) { return load.holder->key == key; });
            return found == this->loads.end() ? nullptr : &*found;
        }

        /// @return The holder with the largest part of its share unused, or null.
        HolderLoad* neediest(std::size_t rangeLimit) noexcept
        {
            HolderLoad* best = nullptr;
            for (auto& load : this->loads) {
                if (!load.holder->takesKeys || load.ranges >= rangeLimit || load.share <= 0) {
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

    void addOwned(HolderLoads& loads, std::span<const KeyRange> ranges, const KeyWeights& weights, const std::function<bool(const KeyRange&)>& isCounted)
    {
        for (const auto& range : ranges) {
            if (!isCounted(range)) {
                continue;
            }
            // Keys on their way count for where they go.
            if (auto* load = loads.find(range.isMoving() ? range.target : range.owner)) {
                load->load += weights.of(range.first, range.last);
                ++load->ranges;
            }
        }
    }

    struct Piece {
        KeyNumber first {};
        KeyNumber last {};
        double weight {};
    };

    /// A consecutive part of one holder's ranges that weighs at most amount, as heavy as possible.
    std::optional<Piece> choosePiece(std::span<const KeyRange> ranges, const UpstreamKey& owner, double amount, const KeyWeights& weights)
    {
        std::optional<Piece> best;
        const auto consider = [&best, &weights](KeyNumber first, KeyNumber last) {
            const Piece piece { first, last, weights.of(first, last) };
            if (!best || piece.weight > best->weight) {
                best = piece;
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

    /// Moves of a round, applied to a copy of the ranges so that later choices see the earlier ones.
    class MovePlan {
    public:
        MovePlan(std::span<const KeyRange> ranges, const KeyWeights& weights)
            : ranges(ranges.begin(), ranges.end())
            , weights(weights)
        {
        }

        void move(const Piece& piece, HolderLoad& from, HolderLoad& to)
        {
            this->moves.push_back({ piece.first, piece.last, to.holder->key });
            this->cutOut(piece, to.holder->key);
            from.load -= piece.weight;
            to.load += piece.weight;
            ++to.ranges;
        }

        std::optional<Piece> choose(const HolderLoad& from, double amount) const
        {
            return choosePiece(this->ranges, from.holder->key, amount, this->weights);
        }

        /// @return The key with the most load, or nothing where the holder has no key that rests.
        std::optional<Piece> heaviestKey(const HolderLoad& from) const
        {
            std::optional<Piece> best;
            for (const auto& range : this->ranges) {
                if (range.owner != from.holder->key || range.isMoving()) {
                    continue;
                }
                for (std::uint32_t key = range.first; key <= range.last; ++key) {
                    const auto weight = this->weights.of(key, key);
                    if (!best || weight > best->weight) {
                        best = Piece { static_cast<KeyNumber>(key), static_cast<KeyNumber>(key), weight };
                    }
                }
            }
            return best;
        }

        std::size_t size() const noexcept { return this->moves.size(); }
        std::vector<KeyRangeMove> take() { return std::move(this->moves); }

    private:
        void cutOut(const Piece& piece, const UpstreamKey& target)
        {
            const auto place = std::ranges::find_if(this->ranges, [&piece](const KeyRange& range) { return range.first <= piece.first && piece.last <= range.last; });
            if (place == this->ranges.end()) {
                return;
            }
            const auto whole = *place;
            place->first = piece.first;
            place->last = piece.last;
            place->target = target;
            if (whole.last > piece.last) {
                auto rest = whole;
                rest.first = static_cast<KeyNumber>(piece.last + 1);
                this->ranges.push_back(rest);
            }
            if (whole.first < piece.first) {
                auto rest = whole;
                rest.last = static_cast<KeyNumber>(piece.first - 1);
                this->ranges.push_back(rest);
            }
        }

        std::vector<KeyRange> ranges;
        const KeyWeights& weights;
        std::vector<KeyRangeMove> moves;
    };

    /// Gives every range of a leaving holder away.
    void emptyHolder(MovePlan& plan, HolderLoad& from, HolderLoads& loads, const BalanceLimits& bounds)
    {
        while (plan.size() < limits::maxKeyRanges) {
            auto* to = loads.neediest(bounds.rangesPerHolder);
            if (to == nullptr) {
                return;
            }
            auto piece = plan.choose(from, std::max(to->deficit(), 0.0));
            if (!piece) {
                // Even the lightest key is more than anyone lacks; it goes to the one that lacks most.
                piece = plan.choose(from, from.load + 1);
            }
            if (!piece) {
                return;
            }
            plan.move(*piece, from, *to);
        }
    }

    /// Moves a key that is too much for its owner alone to the fastest upstream. That one's other keys follow the next
    /// rounds to where there is room.
    void moveHotKey(MovePlan& plan, HolderLoad& from, HolderLoads& loads, const BalanceLimits& bounds)
    {
        if (from.holder->mostLoad <= 0 || from.load < from.holder->mostLoad) {
            return;
        }
        const auto hottest = plan.heaviestKey(from);
        if (!hottest || hottest->weight < from.holder->mostLoad) {
            return;
        }
        HolderLoad* fastest = nullptr;
        for (auto& load : loads.all()) {
            // An upstream that has such a key itself is as full.
            const bool isUsable = load.holder->takesKeys && load.ranges < bounds.rangesPerHolder && load.load < load.holder->mostLoad;
            if (isUsable && (fastest == nullptr || load.holder->mostLoad > fastest->holder->mostLoad)) {
                fastest = &load;
            }
        }
        if (fastest != nullptr && fastest->holder->mostLoad > from.holder->mostLoad * bounds.fasterBy) {
            plan.move(*hottest, from, *fastest);
        }
    }

    void relieveHolder(MovePlan& plan, HolderLoad& from, HolderLoads& loads, const BalanceLimits& bounds)
    {
        // A share of n requests differs from one period to the next by about the square root of n with no change of load.
        const auto chance = bounds.deviations / std::sqrt(std::max(1.0, from.share));
        const auto band = std::max(bounds.surplusBand, chance);
        const auto kept = std::max(from.share * (1 + band), from.holder->mostLoad * bounds.idlePart);
        while (plan.size() < bounds.moves && from.load > kept) {
            auto* to = loads.neediest(bounds.rangesPerHolder);
            if (to == nullptr || to == &from) {
                return;
            }
            const auto amount = std::min(from.load - from.share, to->deficit());
            const auto piece = plan.choose(from, amount);
            // A piece that changes little is not worth the pause of its keys.
            if (!piece || piece->weight < amount / 4 || piece->weight < from.share / 50) {
                return;
            }
            plan.move(*piece, from, *to);
        }
    }

}

std::vector<KeyRangeGrant> placeFreeKeys(std::span<const KeyRange> ranges, const std::function<bool(const KeyRange&)>& isFree, std::span<const KeyHolder> holders, std::span<const float> weights)
{
    const KeyWeights keyWeights { weights };
    HolderLoads loads { holders, keyWeights.total() };
    addOwned(loads, ranges, keyWeights, [&isFree](const KeyRange& range) { return !isFree(range); });
    std::vector<KeyRangeGrant> grants;
    for (const auto& range : ranges) {
        if (!isFree(range)) {
            continue;
        }
        std::uint32_t first = range.first;
        while (first <= range.last) {
            auto* to = loads.neediest(limits::maxKeyRanges);
            if (to == nullptr) {
                return {};
            }
            // A thousandth above the share keeps rounding from leaving a sliver for a range of its own.
            const auto amount = std::max(to->deficit() + to->share / 1'000, to->share / 8);
            const auto last = keyWeights.endOfRun(first, range.last, amount).value_or(static_cast<KeyNumber>(first));
            grants.push_back({ static_cast<KeyNumber>(first), last, to->holder->key, {} });
            to->load += keyWeights.of(first, last);
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
    addOwned(loads, ranges, keyWeights, [](const KeyRange&) { return true; });
    MovePlan plan { ranges, keyWeights };
    for (auto& load : loads.all()) {
        if (!load.holder->takesKeys && load.load > 0) {
            emptyHolder(plan, load, loads, bounds);
        }
    }
    std::vector<HolderLoad*> busiest;
    for (auto& load : loads.all()) {
        if (load.holder->takesKeys && load.share > 0) {
            busiest.push_back(&load);
        }
    }
    std::ranges::sort(busiest, std::ranges::greater {}, [](const HolderLoad* load) { return load->load / load->share; });
    for (auto* load : busiest) {
        moveHotKey(plan, *load, loads, bounds);
        relieveHolder(plan, *load, loads, bounds);
    }
    return plan.take();
}

}
