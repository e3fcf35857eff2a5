#include "core/dispatch/Dispatcher.h"

#include "core/registry/KeyRanges.h"
#include "core/routing/RouteTable.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace teaselturn {

namespace {

    /// Round-trip times in excess of one within the availability zone, assumed before any is measured.
    constexpr std::chrono::milliseconds interZoneRoundTrip { 3 };
    constexpr std::chrono::milliseconds interRegionRoundTrip { 60 };
    /// Largest preference penalty, as a fraction of the service's average latency.
    constexpr double maxPreferencePenalty = 0.3;
    /// Lower bound of the time of a request, so that a service without measurements gives a finite rate.
    constexpr std::chrono::duration<double> minServiceTime { 0.001 };

    /// @return A penalty in [0, maxPreferencePenalty) that is a function of the arguments only, equal in every process.
    double computePreferencePenalty(const UpstreamKey& key, std::uint64_t preferenceSeed)
    {
        const auto hash = hashKey(key.name + ":" + std::to_string(preferenceSeed));
        return maxPreferencePenalty * static_cast<double>(hash % 1'024) / 1'024;
    }

}

DispatchService& Dispatcher::findOrCreateService(std::string_view name)
{
    const auto found = this->services.find(name);
    if (found != this->services.end()) {
        return *found->second;
    }
    auto newService = std::make_unique<DispatchService>();
    newService->name = name;
    return *this->services.emplace(std::string { name }, std::move(newService)).first->second;
}

Duration Dispatcher::extraRoundTripTo(std::string_view zone) const
{
    if (zone == this->options.zone) {
        return Duration::zero();
    }
    const auto own = this->options.regions.find(this->options.zone);
    const auto other = this->options.regions.find(zone);
    const bool isSameRegion = own != this->options.regions.end() && other != this->options.regions.end() && own->second == other->second;
    return isSameRegion ? interZoneRoundTrip : interRegionRoundTrip;
}

void Dispatcher::syncUpstreams(Instant now, const RegistryState& state)
{
    for (auto& [key, upstream] : this->upstreams.map) {
        upstream.isRegistered = false;
    }
    for (auto& [name, service] : this->services) {
        service->upstreams.clear();
    }
    for (const auto& [name, registered] : state.upstreams()) {
        const auto& announcement = registered.announcement;
        if (registered.state == UpstreamState::Gone) {
            continue;
        }
        const auto found = this->upstreams.map.try_emplace(announcement.key, DispatchUpstream { announcement, registered.state, UpstreamLoad { announcement.requestSlots } }).first;
        auto& upstream = found->second;
        upstream.announcement = announcement;
        upstream.state = registered.state;
        upstream.load.setSlots(announcement.requestSlots);
        upstream.extraRoundTrip = this->extraRoundTripTo(announcement.zone);
        upstream.region = this->regions.regionOf(announcement.zone);
        upstream.isInOtherRegion = upstream.extraRoundTrip >= interRegionRoundTrip;
        upstream.preferencePenalty = computePreferencePenalty(announcement.key, this->options.preferenceSeed);
        if (registered.state == UpstreamState::Draining && !upstream.drainingSince) {
            upstream.drainingSince = now;
        }
        if (const auto leaving = this->leavingSince.find(announcement.key); leaving != this->leavingSince.end() && (!upstream.drainingSince || leaving->second < *upstream.drainingSince)) {
            upstream.drainingSince = leaving->second;
        }
        upstream.isRegistered = true;
        this->findOrCreateService(announcement.service).upstreams.push_back(announcement.key);
    }
    absl::erase_if(this->upstreams.map, [](const auto& item) { return !item.second.isRegistered && item.second.load.inFlight() == 0; });
}

void Dispatcher::syncAllowedRegions(const RegistryState& state)
{
    absl::flat_hash_map<std::string, RegionSet> confined;
    state.forEachItem([this, &confined](const ConfigItem& item) {
        const auto* route = std::get_if<RouteItem>(&item.content);
        if (route != nullptr && !route->allowedRegions.empty()) {
            confined.emplace(item.name, this->regions.allowed(route->allowedRegions));
        }
    });
    for (auto& [id, pending] : this->pendingRequests) {
        const auto found = confined.find(pending->request.route->name);
        if (found == confined.end()) {
            continue;
        }
        const auto shared = pending->allowedRegions.sharedWith(found->second);
        const auto allowed = shared == RegionSet {} ? found->second : shared;
        const bool wasQueued = pending->isQueued;
        // The position in the queue contains the regions.
        this->dequeue(*pending);
        pending->allowedRegions = allowed;
        if (wasQueued) {
            this->enqueue(*pending);
        }
    }
}

ReturnRamp Dispatcher::makeReturnRamp(Instant now, const DispatchUpstream& upstream) const
{
    const auto service = this->services.find(upstream.announcement.service);
    const auto latency = service == this->services.end() ? DispatchService {}.averageLatency : service->second->averageLatency;
    const auto capacity = std::max(1U, upstream.announcement.requestSlots) / std::max(minServiceTime, std::chrono::duration<double> { latency }).count();
    // The preference of this entry VM for the upstream is as good as random, and no other entry VM has the same.
    const auto offset = upstream.preferencePenalty / maxPreferencePenalty;
    return { now, capacity / this->capacity.entryCount() * CapacityEstimate::unevenShareFactor, offset };
}

void Dispatcher::syncEvacuations(Instant now)
{
    for (auto& [key, upstream] : this->upstreams.map) {
        const auto orderedAt = this->evacuations.orderedAt(upstream.announcement.zone);
        if (upstream.evacuatedSince && !orderedAt) {
            upstream.returnRamp = this->makeReturnRamp(now, upstream);
            this->rampsEnd = upstream.returnRamp->end();
        } else if (orderedAt || (upstream.returnRamp && now >= upstream.returnRamp->end())) {
            upstream.returnRamp.reset();
        }
        upstream.evacuatedSince = orderedAt;
    }
}

void Dispatcher::syncKeys(Instant now, const RegistryState& state, DispatchService& service)
{
    const auto ranges = state.keyRanges(service.name);
    service.ranges.assign(ranges.begin(), ranges.end());
    service.unconfirmedRanges.sync(now, service.ranges, service.rangesIndex);
    service.rangesIndex = state.keysChangedAt(service.name);
    this->requeueByOwner(service);
}

void Dispatcher::requeueByOwner(DispatchService& service)
{
    std::vector<PendingRequestId> waiting;
    for (const auto& [owner, queue] : service.queues) {
        std::ranges::transform(queue, std::back_inserter(waiting), &QueuePosition::id);
    }
    for (const auto id : waiting) {
        auto& pending = *this->pendingRequests.at(id);
        this->dequeue(pending);
        this->enqueue(pending);
    }
}

void Dispatcher::sync(Instant now, Instant lastCurrentAt, const RegistryState& state, DispatchDecisions& decisions)
{
    const bool hasNewOrders = this->evacuationsIndex != state.evacuationsChangedAt();
    if (hasNewOrders) {
        this->evacuationsIndex = state.evacuationsChangedAt();
        this->evacuations.sync(lastCurrentAt, state.evacuatedZones());
    }
    const bool hasNewUpstreams = this->upstreamsIndex != state.upstreamsChangedAt();
    if (hasNewUpstreams) {
        this->upstreamsIndex = state.upstreamsChangedAt();
        this->syncUpstreams(now, state);
    }
    if (hasNewOrders || hasNewUpstreams) {
        this->syncEvacuations(now);
    }
    if (this->itemsIndex != state.itemsChangedAt()) {
        this->itemsIndex = state.itemsChangedAt();
        state.forEachItem([this](const ConfigItem& item) {
            if (const auto* content = std::get_if<ServiceItem>(&item.content)) {
                this->findOrCreateService(item.name).item = *content;
            }
        });
        absl::flat_hash_set<std::string> routes;
        state.forEachItem([&routes](const ConfigItem& item) {
            if (item.kind() == ItemKind::Route) {
                routes.insert(item.name);
            }
        });
        this->syncAllowedRegions(state);
        this->linkBudget.retainRoutes([&routes](const std::string& name) { return routes.contains(name); });
    }
    for (auto& [name, service] : this->services) {
        const auto changedAt = state.keysChangedAt(name);
        if (service->item.isSharded && service->rangesIndex != changedAt) {
            this->syncKeys(now, state, *service);
        } else if (hasNewOrders) {
            this->requeueByOwner(*service);
        }
    }
    for (auto& [name, service] : this->services) {
        this->refuseUnplaceable(now, service->queue, decisions);
        std::vector<UpstreamKey> owners;
        std::ranges::transform(service->queues, std::back_inserter(owners), [](const auto& item) { return item.first; });
        for (const auto& owner : owners) {
            this->refuseUnplaceable(now, service->queues.at(owner), decisions);
        }
        this->dispatchQueued(now, *service, decisions);
    }
}

}
