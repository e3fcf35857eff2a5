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

/// @return XXH3-64 hash of the key with seed 0. It is the same on every machine.
std::uint64_t hashKey(std::string_view key) noexcept;

/// The slot of a key and its present owner.
struct Route {
    SlotId slot;
    /// Zero if the slot has no owner at present.
    UpstreamId owner;
    Fence fence;
    ZoneRule zoneRule { ZoneRule::Move };
    /// True while a move of the slot is pending.
    bool isMoving {};
};

/// Maps keys to their slots and owners. All workers share it: a lookup takes a shared lock on one shard of the mutex
/// and allocates nothing. Only the thread that applies entries to the state may call update() and rebuild().
class RouteTable {
public:
    RouteTable();
    ~RouteTable();
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;

    /// @return The id of the service with this name; empty if the bundle in force has no such service.
    std::optional<ServiceId> findService(std::string_view name) const noexcept;

    /// @return The route of a key; empty if the service is unknown.
    std::optional<Route> find(ServiceId service, std::string_view key) const noexcept;

    /// Brings the table up to date with the state after an entry was applied, including entries that earlier calls
    /// missed. Rebuilds the table if the state no longer lists the slots that have changed since the last call.
    /// @param region The region whose bundle in force defines the services.
    void update(const OwnershipState& state, const LogEntry& entry, RegionId region);

    /// Builds the whole table from the state.
    void rebuild(const OwnershipState& state, RegionId region);

private:
    /// Owner and fence of a slot in 16 aligned bytes, so that a lookup reads only one cache line of the partitions.
    struct alignas(16) Entry {
        std::uint64_t owner {};
        std::uint64_t fence : 63 {};
        std::uint64_t isMoving : 1 {};
    };
    struct HotKeyEntry {
        std::uint32_t slot {};
        Entry entry;
    };
    /// A key with its hash, so that a lookup hashes the key only once.
    struct HashedKey {
        std::string_view key;
        std::uint64_t hash {};
    };
    struct KeyHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): hash containers require this name.
        std::size_t operator()(const HashedKey& key) const noexcept { return key.hash; }
        std::size_t operator()(const std::string& key) const noexcept { return hashKey(key); }
    };
    struct KeyEqual {
        using is_transparent = void; // NOLINT(readability-identifier-naming): hash containers require this name.
        bool operator()(const std::string& left, const std::string& right) const noexcept { return left == right; }
        bool operator()(const std::string& left, const HashedKey& right) const noexcept { return left == right.key; }
    };
    struct Service {
        ZoneRule zoneRule { ZoneRule::Move };
        std::vector<Entry> partitions;
        absl::flat_hash_map<std::string, HotKeyEntry, KeyHash, KeyEqual> hotKeys;
    };

    using ServiceNames = absl::flat_hash_map<std::string, ServiceId, StringHash, std::equal_to<>>;

    static Entry toEntry(const SlotRecord& record) noexcept;
    static std::unique_ptr<Service> build(const OwnershipState& state, const ServiceSpec& spec);
    /// @return True if the table has the service with as many partitions as the state. Reads without the lock, which is
    /// safe because only the calling thread writes.
    bool hasMatchingService(const OwnershipState& state, ServiceId service) const noexcept ABSL_NO_THREAD_SAFETY_ANALYSIS;
    /// Replaces the services by those of the bundle in force.
    /// @param keepsExisting True to build only the services that the table does not have yet.
    void syncServices(const OwnershipState& state, RegionId region, bool keepsExisting);
    /// Copies the owner, fence and pending move of one slot from the state.
    void updateSlot(const OwnershipState& state, SlotId slot) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    Service* findMutableService(ServiceId service) noexcept ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable ShardedMutex mutex;
    ServiceNames names ABSL_GUARDED_BY(mutex);
    /// Indexed by the id of the service; null if the bundle in force has no service with this id.
    std::vector<std::unique_ptr<Service>> services ABSL_GUARDED_BY(mutex);
    /// Index of the last applied entry that the table includes. Used only by the thread that updates the table.
    LogIndex tableIndex;
};

}
