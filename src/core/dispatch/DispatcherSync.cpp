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

    /// @return A penalty in [0, maxPreferencePenalty) that is a function of the arguments only, equal in every process.
    double computePreferencePenalty(const UpstreamKey& key, std::uint64_t preferenceSeed)
    {
        const auto hash = hashKey(key.name + ":" + std::to_string(preferenceSeed));
        return maxPreferencePenalty * static_cast<double>(hash % 1'024) / 1'024;
    }

}

void Dispatcher::setEntryCount(std::uint32_t count) noexcept
{
    if (this->capacity.knowsEntryCount() && std::max(1U, count) == this->capacity.entryCount()) {
        return;
    }
    this->capacity.setEntryCount(count);
    for (auto& [key, upstream] : this->upstreams.map) {
        upstream.load.setSlots(upstream.announcement.requestSlots, this->capacity.slotShare(upstream.announcement));
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
        upstream.load.setSlots(announcement.requestSlots, this->capacity.slotShare(announcement));
        upstream.extraRoundTrip = this->extraRoundTripTo(announcement.zone);
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

void Dispatcher::syncKeys(Instant now, const RegistryState& state, DispatchService& service)
{
    const auto ranges = state.keyRanges(service.name);
    service.ranges.assign(ranges.begin(), ranges.end());
    service.unconfirmedRanges.sync(now, service.ranges, service.rangesIndex);
    service.rangesIndex = state.keysChangedAt(service.name);
    // Requests are queued by owner, so those whose key has a new owner move to its queue.
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

void Dispatcher::sync(Instant now, const RegistryState& state, DispatchDecisions& decisions)
{
    if (this->upstreamsIndex != state.upstreamsChangedAt()) {
        this->upstreamsIndex = state.upstreamsChangedAt();
        this->syncUpstreams(now, state);
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
        this->linkBudget.retainRoutes([&routes](const std::string& name) { return routes.contains(name); });
    }
    for (auto& [name, service] : this->services) {
        const auto changedAt = state.keysChangedAt(name);
        if (service->item.isSharded && service->rangesIndex != changedAt) {
            this->syncKeys(now, state, *service);
        }
    }
    for (auto& [name, service] : this->services) {
        this->dispatchQueued(now, *service, decisions);
    }
}

}
