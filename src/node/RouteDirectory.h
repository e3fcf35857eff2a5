#pragma once

#include "core/Mutex.h"
#include "core/ledger/LedgerService.h"
#include "core/ownership/OwnershipState.h"
#include "core/routing/RouteTable.h"
#include "node/RouteSource.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <cstdint>
#include <optional>
#include <string_view>

namespace teaselturn {

/// Services, routes, owners and table freshness, as looked up by the workers of an entry VM. Lookups take shared locks
/// and allocate only the copy of an endpoint. The thread that applies entries updates it with ReplicaTable::mutex held.
/// Models RouteSource.
class RouteDirectory {
public:
    std::optional<ServiceInfo> findService(std::string_view name);
    std::optional<Route> find(ServiceId service, std::string_view key) const noexcept { return this->routes.find(service, key); }
    std::optional<OwnerInfo> findOwner(UpstreamId owner);
    bool isTableFresh(Instant now) const noexcept { return now.time_since_epoch() < this->freshUntil.load(std::memory_order_acquire); }
    std::uint64_t version() { return this->signal.version(); }
    void waitForChange(std::uint64_t seen, Duration maxWait) { this->signal.waitForChange(seen, maxWait); }

    /// Updates the tables after an entry was applied.
    /// @param region This VM's region number in the accepted bundle.
    void apply(const OwnershipState& state, const AppliedEntry& applied, RegionId region);
    /// Rebuilds all tables after the whole state was replaced.
    void rebuild(const OwnershipState& state, RegionId region);
    /// @param until From this instant on, no request is sent to an upstream that does not check grants.
    void setFreshUntil(Instant until) noexcept { this->freshUntil.store(until.time_since_epoch(), std::memory_order_release); }
    /// Wakes requests that wait for an owner. Call without holding ReplicaTable::mutex.
    void notifyChanged() { this->signal.notifyChanged(); }

private:
    void setOwner(const OwnershipState& state, UpstreamId upstream);
    void rebuildOwners(const OwnershipState& state, RegionId region);
    OwnerInfo describe(const UpstreamRecord& record) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    RouteTable routes;
    std::atomic<Duration> freshUntil { Duration::min() };
    RouteSignal signal;
    Mutex mutex;
    std::uint32_t entryCount ABSL_GUARDED_BY(mutex) { 1 };
    absl::flat_hash_map<UpstreamId, OwnerInfo> owners ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<ServiceId, ServiceInfo> services ABSL_GUARDED_BY(mutex);
};

static_assert(RouteSource<RouteDirectory>);

}
