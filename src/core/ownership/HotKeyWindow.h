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

/// Hot keys placed on their own at a time, over all services; limits::maxHotKeys is the hard bound of the state.
inline constexpr std::size_t maxIsolatedHotKeys = 44;

/// Sums the frequent keys that entry VMs report over a sliding window, and tells which to isolate and which to merge.
class HotKeyWindow {
public:
    void reset(Instant now);

    /// Adds one entry VM's report.
    void add(Instant now, std::span<const SlotLoad> loads, std::span<const HotKeySample> samples);

    /// @return Keys to isolate, the most frequent first, so that no more than maxIsolatedHotKeys are isolated.
    std::vector<IsolateHotKey> hotKeys(Instant now, const OwnershipState& state);

    /// @return Isolated keys that are cold again.
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
    /// A key is hot above one part in this many of its service's requests.
    static constexpr std::uint64_t hotDivisor = 200;
    /// An isolated key is cold below one part in this many. The gap keeps a key on the threshold from flapping.
    static constexpr std::uint64_t coldDivisor = 1'000;
    /// Requests in the window below which shares mean nothing.
    static constexpr std::uint64_t minRequests = 1'000;

    void expire(Instant now);
    Bucket sum() const;

    std::deque<Bucket> buckets;
    Instant startedAt;
};

}
