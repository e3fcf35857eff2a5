#pragma once

#include "core/StringHash.h"
#include "core/routing/ShardedMutex.h"
#include "teaselturn/Command.h"
#include "teaselturn/OwnershipTypes.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

class OwnershipState;

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
/// update() and rebuild() are called by one thread at a time, which is the one that applies entries to the state.
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

    /// Brings the table up to date after an applied entry. Entries applied since the last call are caught up as well.
    /// @param region The region whose bundle is in force here.
    void update(const OwnershipState& state, const LogEntry& entry, RegionId region);

    /// Replaces the whole table.
    void rebuild(const OwnershipState& state, RegionId region);

private:
    /// Owner and fence in 16 bytes, so that a lookup touches one cache line of the partitions.
    struct alignas(16) Entry {
        std::uint64_t owner {};
        std::uint64_t fence : 63 {};
        std::uint64_t isMoving : 1 {};
    };
    struct HotEntry {
        std::uint32_t slot {};
        Entry entry;
    };
    /// A key with its hash, so that a lookup hashes the key once.
    struct HashedKey {
        std::string_view key;
        std::uint64_t hash {};
    };
    struct KeyHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the name that containers look for.
        std::size_t operator()(const HashedKey& key) const noexcept { return key.hash; }
        std::size_t operator()(const std::string& key) const noexcept { return hashKey(key); }
    };
    struct KeyEqual {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the name that containers look for.
        bool operator()(const std::string& left, const std::string& right) const noexcept { return left == right; }
        bool operator()(const std::string& left, const HashedKey& right) const noexcept { return left == right.key; }
    };
    struct Service {
        ZoneRule zoneRule { ZoneRule::Move };
        std::vector<Entry> partitions;
        absl::flat_hash_map<std::string, HotEntry, KeyHash, KeyEqual> hotKeys;
    };

    using ServiceNames = absl::flat_hash_map<std::string, ServiceId, StringHash, std::equal_to<>>;

    static Entry toEntry(const SlotRecord& record) noexcept;
    static std::unique_ptr<Service> build(const OwnershipState& state, const ServiceSpec& spec);
    /// Only the updating thread writes, so it may read without the lock.
    bool hasCurrent(const OwnershipState& state, ServiceId service) const noexcept ABSL_NO_THREAD_SAFETY_ANALYSIS;
    /// @param keepsCurrent True to build only services that the table does not have.
    void syncServices(const OwnershipState& state, RegionId region, bool keepsCurrent);
    void refresh(const OwnershipState& state, SlotId slot) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    Service* edit(ServiceId service) noexcept ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable ShardedMutex mutex;
    ServiceNames names ABSL_GUARDED_BY(mutex);
    /// Indexed by the number of the service; null where the bundle in force has none.
    std::vector<std::unique_ptr<Service>> services ABSL_GUARDED_BY(mutex);
    /// Index of the state that the table shows. Used by the updating thread only.
    LogIndex tableIndex;
};

}
