#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/Message.h"
#include "teaselturn/Types.h"

#include <absl/container/btree_map.h>
#include <deque>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace teaselturn {

class OwnershipState;

/// Maximum number of isolated hot keys over all services; limits::maxHotKeys is the hard limit of the replicated state.
inline constexpr std::size_t maxIsolatedHotKeys = 44;

/// Sums the frequent keys that entry VMs report over a sliding window, and selects keys to isolate and to merge.
class HotKeyWindow {
public:
    void reset(Instant now);

    /// Adds the report of one entry VM.
    void add(Instant now, std::span<const SlotLoad> loads, std::span<const HotKeySample> samples);

    /// @return Keys to isolate, most frequent first, such that at most maxIsolatedHotKeys are isolated.
    std::vector<IsolateHotKey> hotKeys(Instant now, const OwnershipState& state);

    /// @return Slots of isolated keys that have become cold.
    std::vector<SlotId> coldKeys(Instant now, const OwnershipState& state);

private:
    using Key = std::pair<ServiceId, std::string>;
    struct Bucket {
        Instant start;
        absl::btree_map<ServiceId, std::uint64_t> totals;
        absl::btree_map<Key, std::uint64_t> keys;
    };

    static constexpr std::chrono::seconds windowLength { 10 };
    static constexpr std::chrono::seconds bucketLength { 1 };
    static constexpr std::size_t maxKeysPerBucket = 4'096;
    /// A key is hot if it gets more than 1/hotDivisor of its service's requests.
    static constexpr std::uint64_t hotDivisor = 200;
    /// An isolated key is cold if it gets less than 1/coldDivisor of its service's requests. The gap between the
    /// thresholds prevents flapping.
    static constexpr std::uint64_t coldDivisor = 1'000;
    /// Minimum number of requests in the window for a share to be meaningful.
    static constexpr std::uint64_t minRequests = 1'000;

    void expire(Instant now);
    Bucket sum() const;

    std::deque<Bucket> buckets;
    Instant startedAt;
};

}
