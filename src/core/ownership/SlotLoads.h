#pragma once

#include "teaselturn/Message.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <span>

namespace teaselturn {

/// Smoothed request rate of each slot, from the load reports of the entry VMs.
class SlotLoads {
public:
    void clear();

    /// Adds the report of one entry VM.
    void add(std::span<const SlotLoad> loads);

    /// Updates the smoothed rates with the requests added since the last update, at most once a second.
    void updateRates(Instant now);

    /// @return Requests per second.
    double rate(SlotId slot) const noexcept;

private:
    struct Load {
        std::uint64_t added {};
        double rate {};
    };

    static constexpr std::chrono::seconds updateInterval { 1 };
    /// Time constant: the rate covers 63 % of a step of the load in this time.
    static constexpr std::chrono::seconds smoothing { 5 };
    /// More entries than slots can exist, since reports may name slots that no longer exist.
    static constexpr std::size_t maxLoads = limits::maxPartitions + 2 * limits::maxHotKeys;

    // Only looked up by key; the iteration order has no effect on results.
    absl::flat_hash_map<SlotId, Load> loads;
    Instant lastUpdatedAt;
};

}
