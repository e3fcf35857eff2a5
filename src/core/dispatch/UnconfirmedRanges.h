#pragma once

#include "teaselturn/Registry.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <span>

namespace teaselturn {

/// A key range that its assigned owner is not known to hold: the previous owner has released it, or the new one has
/// not learned of it yet.
struct UnconfirmedRange {
    /// When an owner is expected to hold the range; used to estimate the wait on admission.
    Instant expectedAt;
    /// When a single request may be sent to probe whether the owner holds the range.
    Instant probeAt;
    std::uint32_t refusals {};
};

/// The key ranges of one service that are in transfer between upstreams. Answers the load of requests for keys that move: they
/// wait for the next owner instead of being refused by each owner in turn. Not thread-safe.
class UnconfirmedRanges {
public:
    /// @param range May be null.
    /// @return The record of the range; null if its owner is taken to hold it.
    const UnconfirmedRange* find(const KeyRange* range) const;

    /// Records that the assigned owner refused a request for a key of the range.
    /// @return When a request may probe the range next.
    Instant recordRefusal(Instant now, const KeyRange& range);
    /// Records that a request is sent to the owner. Other requests for the range wait for its outcome.
    void recordProbe(Instant now, const KeyRange& range);
    /// Records that the owner holds the range.
    void confirm(const KeyRange& range);

    /// Takes over a new assignment of the service's keys.
    /// @param previousIndex Log index of the assignment before it.
    void sync(Instant now, std::span<const KeyRange> ranges, LogIndex previousIndex);

private:
    static std::uint64_t rangeId(const KeyRange& range) noexcept { return range.fence.value * keyNumberCount + range.first; }

    absl::flat_hash_map<std::uint64_t, UnconfirmedRange> records;
};

}
