#pragma once

#include "teaselturn/Message.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <span>

namespace teaselturn {

/// Smoothed requests a second of each slot, from the summaries of the entry VMs.
class SlotLoads {
public:
    void clear();

    /// Adds one entry VM's summary.
    void add(std::span<const SlotLoad> loads);

    /// Folds what was added since the last call into the smoothed rates, at most once a second.
    void fold(Instant now);

    /// @return Requests a second.
    double rate(SlotId slot) const noexcept;

private:
    struct Load {
        std::uint64_t added {};
        double rate {};
    };

    static constexpr std::chrono::seconds foldInterval { 1 };
    /// Time in which a step of the load shows by 63 %.
    static constexpr std::chrono::seconds smoothing { 5 };
    /// More rows than slots can exist; summaries may name slots that are gone.
    static constexpr std::size_t maxLoads = limits::maxPartitions + 2 * limits::maxHotKeys;

    // Read by key only; its iteration order decides nothing.
    absl::flat_hash_map<SlotId, Load> loads;
    Instant foldedAt;
};

}
