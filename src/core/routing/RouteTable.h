#pragma once

#include "teaselturn/OwnershipTypes.h"
#include "teaselturn/Types.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace teaselturn {

/// @return XXH3-64 of the key with seed 0. It is the same on every machine.
std::uint64_t hashKey(std::string_view key) noexcept;

/// Where a key's requests go.
struct Route {
    SlotId slot;
    /// Zero where the slot has no owner at the moment.
    UpstreamId owner;
    Fence fence;
    ZoneRule zoneRule { ZoneRule::Move };
    /// True while a move of the slot is pending.
    bool isMoving {};
};

/// Finds the owner of a key. Shared by all workers: lookups take a reader lock of one shard and allocate nothing.
class RouteTable {
public:
    RouteTable();
    ~RouteTable();
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;

    /// @return The number of a service by name, or nothing where the bundle in force has none.
    std::optional<ServiceId> findService(std::string_view name) const noexcept;

    /// @return The route of a key, or nothing where the service is unknown.
    std::optional<Route> find(ServiceId service, std::string_view key) const noexcept;

    /// Brings the table up to date after an applied entry.
    void update(const class OwnershipState& state, const LogEntry& entry, RegionId region);

    /// Replaces the whole table.
    void rebuild(const class OwnershipState& state, RegionId region);
};

}
