#pragma once

#include "teaselturn/Types.h"

#include <absl/container/btree_map.h>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace teaselturn {

/// The evacuation orders that this entry VM knows, with the time from which their bound counts. Not thread-safe.
class ZoneEvacuations {
public:
    /// Replaces the orders. One that is known already keeps its time.
    /// @param lastCurrentAt Time at which this entry VM was last known to have every order: the new ones were
    /// acknowledged after it.
    /// @param zones Availability zones under an order.
    void sync(Instant lastCurrentAt, std::span<const std::string> zones)
    {
        absl::btree_map<std::string, Instant, std::less<>> current;
        for (const auto& zone : zones) {
            current.emplace(zone, this->orderedAt(zone).value_or(lastCurrentAt));
        }
        this->orders = std::move(current);
    }

    /// @return Earliest time at which the order for the zone can have been acknowledged; empty if there is none.
    std::optional<Instant> orderedAt(std::string_view zone) const
    {
        const auto found = this->orders.find(zone);
        return found == this->orders.end() ? std::nullopt : std::optional { found->second };
    }

private:
    absl::btree_map<std::string, Instant, std::less<>> orders;
};

}
