#pragma once

#include "core/Mutex.h"
#include "core/routing/RouteTable.h"
#include "teaselturn/Types.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string_view>

namespace teaselturn {

/// Properties of a service that the request path uses.
struct ServiceInfo {
    ServiceId id;
    /// Services with a larger number are shed later.
    std::uint8_t priority { 1 };
    std::uint32_t retryBudgetPercent { 10 };
};

/// Properties of an upstream that the request path uses.
struct OwnerInfo {
    Endpoint endpoint;
    bool checksGrants {};
    /// Number of requests that the upstream runs concurrently.
    std::uint32_t requestSlots {};
    /// This entry VM's share of the upstream's connection limit.
    std::uint32_t connectionShare {};
};

/// Looks up services, routes and owners for the request path, and signals changes of routes.
template <typename T>
concept RouteSource = requires(T& routes, std::string_view text, ServiceId service, UpstreamId owner, Instant now,
    std::uint64_t version, Duration maxWait)
{
    {
        routes.findService(text)
        } -> std::same_as<std::optional<ServiceInfo>>;
    {
        routes.find(service, text)
        } -> std::same_as<std::optional<Route>>;
    {
        routes.findOwner(owner)
        } -> std::same_as<std::optional<OwnerInfo>>;
    {
        routes.isTableFresh(now)
        } -> std::same_as<bool>;
    /// Increases with every change of a route or of the table's freshness.
    {
        routes.version()
        } -> std::same_as<std::uint64_t>;
    /// Returns once the version differs from the given one, or after maxWait.
    { routes.waitForChange(version, maxWait) };
};

/// Counts changes of routes and wakes the threads that wait for a change. Its mutex is a leaf of the lock order.
class RouteSignal {
public:
    /// Called after routes have changed.
    void notifyChanged()
    {
        {
            const MutexLock lock { this->mutex };
            ++this->changes;
        }
        this->changed.notifyAll();
    }

    std::uint64_t version()
    {
        const MutexLock lock { this->mutex };
        return this->changes;
    }

    /// Waits at most once; a spurious return only repeats a lookup.
    void waitForChange(std::uint64_t seen, Duration maxWait)
    {
        const MutexLock lock { this->mutex };
        if (this->changes == seen && maxWait > Duration::zero()) {
            this->changed.waitFor(this->mutex, maxWait);
        }
    }

private:
    Mutex mutex;
    ConditionVariable changed;
    std::uint64_t changes ABSL_GUARDED_BY(mutex) {};
};

}
