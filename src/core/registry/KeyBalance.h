#pragma once

#include "teaselturn/Registry.h"

#include <functional>
#include <span>
#include <vector>

/// Decides which upstream owns which keys. Pure functions of the ranges and the load.
namespace teaselturn {

/// An upstream that may own keys.
struct KeyHolder {
    UpstreamKey key;
    /// Requests that it can serve at a time, corrected by the speed seen.
    double capacity { 1 };
    /// Most load that it can serve, in the unit of the weights of keys. Zero where it is not known.
    double mostLoad {};
    /// False where the upstream is leaving: it gives its keys away and gets none.
    bool takesKeys { true };
};

/// Bounds of one round of moves.
struct BalanceLimits {
    /// Most moves begun in one round. A move keeps its keys from being served for some hundred milliseconds.
    std::size_t moves { 24 };
    /// An upstream gives keys away once its load is this much above its share.
    double surplusBand { 0.15 };
    /// Part of its largest load below which an upstream keeps its keys whatever its share is: its requests hardly wait.
    double idlePart { 0.5 };
    /// A key that is too much for its owner goes to an upstream that serves this many times as much.
    double fasterBy { 1.25 };
    /// Standard deviations of a count of requests that a surplus has to exceed, so that chance moves no keys.
    double deviations { 2 };
    /// Ranges of one upstream above which it gets no further ones: its whole list has to fit one answer of 4 KiB.
    std::size_t rangesPerHolder { 40 };
};

/// Places keys that nobody owns, in consecutive runs, so that every holder comes as close as possible to its share.
/// @param isFree Tells which ranges are to be placed.
/// @param weights Load of each key.
/// @return Grants without handover; empty where no holder takes keys.
std::vector<KeyRangeGrant> placeFreeKeys(std::span<const KeyRange> ranges, const std::function<bool(const KeyRange&)>& isFree, std::span<const KeyHolder> holders, std::span<const float> weights);

/// Chooses moves from holders above their share, or leaving, to those below.
/// @param ranges Ranges that move already, or whose owner is not listed, are left alone.
std::vector<KeyRangeMove> planKeyMoves(std::span<const KeyRange> ranges, std::span<const KeyHolder> holders, std::span<const float> weights, const BalanceLimits& bounds);

}
