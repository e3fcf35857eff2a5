#pragma once

#include "teaselturn/Registry.h"

#include <functional>
#include <span>
#include <vector>

/// Decides which upstream owns which keys, by pure functions of the key ranges and the measured load.
namespace teaselturn {

/// An upstream that may own keys.
struct KeyHolder {
    UpstreamKey key;
    /// Number of requests that it can serve concurrently, multiplied by its measured relative speed.
    double capacity { 1 };
    /// Largest load that it can serve, in the unit of the key weights. Zero if unknown.
    double maxLoad {};
    /// False if the upstream gets no new keys. Its keys move away unless keepsKeys is true.
    bool acceptsKeys { true };
    /// True if an upstream that accepts no keys keeps those that it has: it is cold, or load
    /// returns to it. False if it is draining.
    bool keepsKeys {};
};

/// Limits of one round of moves.
struct BalanceLimits {
    /// Maximum number of moves that start in one round. The keys of a move are not served for some hundred
    /// milliseconds.
    std::size_t maxMoves { 24 };
    /// Fraction by which the load of an upstream must exceed its share before keys move away from it.
    double surplusTolerance { 0.15 };
    /// An upstream loaded below this fraction of maxLoad keeps its keys, even if it is above its share, because its
    /// requests hardly queue.
    double rebalanceThreshold { 0.5 };
    /// A single key that overloads its owner moves only to an upstream whose maxLoad is larger by this factor.
    double minimumSpeedup { 1.25 };
    /// Number of standard deviations of a request count that a surplus must exceed, so that random variation moves no
    /// keys.
    double noiseDeviations { 2 };
    /// An upstream with this many ranges gets no further ones, because its whole list must fit in one reply of 4 KiB.
    std::size_t maxRangesPerHolder { 40 };
};

/// Assigns unowned keys in consecutive runs so that the load of every holder comes as close as possible to its share.
/// @param isFree Returns true for the ranges to assign.
/// @param weights Load of each key.
/// @return Grants without handover; empty if no holder accepts keys.
std::vector<KeyRangeGrant> placeFreeKeys(std::span<const KeyRange> ranges, const std::function<bool(const KeyRange&)>& isFree, std::span<const KeyHolder> holders, std::span<const float> weights);

/// Chooses moves from holders that are draining or above their share to holders below their share.
/// @param ranges All ranges; those that are moving already, or whose owner is not in holders, are not moved.
std::vector<KeyRangeMove> planKeyMoves(std::span<const KeyRange> ranges, std::span<const KeyHolder> holders, std::span<const float> weights, const BalanceLimits& bounds);

}
