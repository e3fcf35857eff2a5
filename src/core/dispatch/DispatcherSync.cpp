#include "core/dispatch/Dispatcher.h"

#include "core/registry/KeyRanges.h"
#include "core/routing/RouteTable.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace teaselturn {

namespace {

    /// Round-trip times in excess of one within the availability zone, assumed before any is measured.
    constexpr std::chrono::milliseconds interZoneRoundTrip { 3 };
    constexpr std::chrono::milliseconds interRegionRoundTrip { 60 };
    /// Largest preference penalty, as a fraction of the service's average latency.
    constexpr double maxPreferencePenalty = 0.3;
    /// Lower bound of the time of a request, so that a service without measurements gives a finite rate.
    constexpr std::chrono::duration<double> minServiceTime { 0.001 };

    /// @return A number that is a function of the arguments only, equal in every process.
    std::uint64_t preferenceHash(const UpstreamKey& key, std::uint64_t preferenceSeed) { return hashKey(key.name + ":" + std::to_string(preferenceSeed)); }

    /// @return A penalty in [0, maxPreferencePenalty).
    double computePreferencePenalty(std::uint64_t hash) { return maxPreferencePenalty * static_cast<double>(hash % 1'024) / 1'024; }

    /// @return Position by weighted rendezvous hashing: the probability that an upstream comes first is its share of the slots.
    double computePreferenceOrder(std::uint64_t hash, std::uint32_t slots)
    {
        constexpr double steps = 1ULL << 53U;
        const auto share = (static_cast<double>(hash >> 11U) + 0.5) / steps;
        return -std::log(share) / std::max(1U, slots);
    }

    /// @return The phase of this entry VM's slots for a cold upstream, in [0, 1): independent for each entry VM, upstream
    /// and warm-up.
    double computeSlotPhase(const UpstreamKey& key, LogIndex warmUpIndex, std::uint64_t preferenceSeed)
    {
        constexpr std::uint64_t steps = 1U << 20;
        const auto hash = hashKey("warm-up:" + key.name + ":" + std::to_string(key.incarnation) + ":" + std::to_string(warmUpIndex.value) + ":" + std::to_string(preferenceSeed));
        return static_cast<double>(hash % steps) / steps;
    }

    /// @return True if a registered upstream has the endpoint.
    bool isInUse(const Endpoint& endpoint, const RegistryState& state)
    {
        return std::ranges::any_of(state.upstreams(), [&endpoint](const auto& item) { return item.second.state != UpstreamState::Gone && item.second.announcement.endpoint == endpoint; });
    }

    /// Incarnations are start times of different machines, whose clocks may differ by this much.
    constexpr std::chrono::seconds maxClockDifference { 10 };

    /// @param latestIncarnation Start time of the upstream that started last; it is in the past.
    /// @return True if the upstream certainly started more than its warm-up time ago. An entry VM that was cut off sees
    /// many upstreams for the first time that have been serving for long.
    bool isKnownToBeOld(const UpstreamKey& key, std::uint64_t latestIncarnation, Duration warmUpTime)
    {
        const auto margin = std::chrono::duration_cast<std::chrono::milliseconds>(warmUpTime + maxClockDifference);
        return latestIncarnation - key.incarnation >= static_cast<std::uint64_t>(margin.count());
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

void Dispatcher::syncDeparture(Instant now, Instant lastCurrentAt, const UpstreamKey& key, const RegistryState& state)
{
    auto* upstream = this->upstreams.find(key);
    // An upstream that drained before it left has ended.
    if (upstream == nullptr || upstream->state != UpstreamState::Ready) {
        return;
    }
    upstream->recordLeaving(lastCurrentAt);
    if (!this->eligibility.isDrained(now, *upstream) && !isInUse(upstream->announcement.endpoint, state)) {
        upstream->registration = Registration::Departed;
    }
}

void Dispatcher::syncUpstreams(Instant now, Instant lastCurrentAt, const RegistryState& state)
{
    for (auto& [key, upstream] : this->upstreams.map) {
        upstream.registration = Registration::Ended;
    }
    for (auto& [name, service] : this->services) {
        service->upstreams.clear();
    }
    for (const auto& [name, registered] : state.upstreams()) {
        const auto& announcement = registered.announcement;
        if (registered.state == UpstreamState::Gone) {
            this->syncDeparture(now, lastCurrentAt, announcement.key, state);
            continue;
        }
        const auto found = this->upstreams.map.try_emplace(announcement.key, DispatchUpstream { announcement, registered.state, UpstreamLoad { announcement.requestSlots } }).first;
        auto& upstream = found->second;
        upstream.announcement = announcement;
        upstream.state = registered.state;
        upstream.load.setSlots(announcement.requestSlots, this->capacity.slotShare(announcement));
        upstream.extraRoundTrip = this->extraRoundTripTo(announcement.zone);
        upstream.region = this->regions.regionOf(announcement.zone);
        upstream.isInOtherRegion = upstream.extraRoundTrip >= interRegionRoundTrip;
        const auto hash = preferenceHash(announcement.key, this->options.preferenceSeed);
        upstream.preferencePenalty = computePreferencePenalty(hash);
        upstream.preferenceOrder = computePreferenceOrder(hash, announcement.requestSlots);
        if (registered.state == UpstreamState::Draining) {
            upstream.recordLeaving(lastCurrentAt);
        }
        if (const auto leaving = this->leavingSince.find(announcement.key); leaving != this->leavingSince.end()) {
            upstream.recordLeaving(leaving->second);
        }
        upstream.registration = Registration::Current;
        this->findOrCreateService(announcement.service).upstreams.push_back(announcement.key);
    }
    for (auto& [name, service] : this->services) {
        std::ranges::sort(service->upstreams, {}, [this](const UpstreamKey& key) { return this->upstreams.find(key)->preferenceOrder; });
    }
    absl::erase_if(this->upstreams.map, [](const auto& item) { return item.second.registration == Registration::Ended && item.second.load.inFlight() == 0; });
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
    return { now, capacity / this->capacity.entryCount(), offset };
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

void Dispatcher::setEntryCount(std::uint32_t count)
{
    if (!this->capacity.knowsEntryCount() || std::max(1U, count) != this->capacity.entryCount()) {
        this->capacity.setEntryCount(count);
        for (auto& [key, upstream] : this->upstreams.map) {
            upstream.load.setSlots(upstream.announcement.requestSlots, this->capacity.slotShare(upstream.announcement));
        }
    }
    const auto previous = this->warmUpShare.entryCount();
    this->warmUpShare.recordEntryCount(count);
    if (this->warmUpShare.entryCount() == previous) {
        return;
    }
    for (const auto& [name, service] : this->services) {
        if (!service->item.hasWarmUp()) {
            continue;
        }
        const auto rate = this->warmUpShare.sendsPerSecond(service->item);
        for (const auto& key : service->upstreams) {
            if (auto* upstream = this->upstreams.find(key)) {
                upstream->warmUp.setRate(rate);
            }
        }
    }
}

void Dispatcher::beginWarmUp(Instant now, const ServiceItem& service, DispatchUpstream& upstream, Duration timeLeft)
{
    const auto phase = computeSlotPhase(upstream.announcement.key, upstream.warmUpIndex, this->options.preferenceSeed);
    upstream.warmUp.begin(now, now + timeLeft, service.warmUpTime, this->warmUpShare.sendsPerSecond(service), phase);
    upstream.load.resetLimit(now);
}

void Dispatcher::syncWarmUpItems()
{
    for (auto& [key, upstream] : this->upstreams.map) {
        const auto& service = this->findOrCreateService(upstream.announcement.service).item;
        if (!service.hasWarmUp()) {
            if (!upstream.liftedWarmUp) {
                upstream.liftedWarmUp = std::exchange(upstream.warmUp, {});
            }
            continue;
        }
        if (upstream.liftedWarmUp) {
            upstream.warmUp = *std::exchange(upstream.liftedWarmUp, std::nullopt);
        }
        upstream.warmUp.setRate(this->warmUpShare.sendsPerSecond(service));
    }
}

void Dispatcher::syncWarmUps(Instant now, const RegistryState& state)
{
    std::uint64_t latestIncarnation = 0;
    for (const auto& [key, upstream] : this->upstreams.map) {
        latestIncarnation = std::max(latestIncarnation, key.incarnation);
    }
    for (auto& [key, upstream] : this->upstreams.map) {
        const auto& service = this->findOrCreateService(upstream.announcement.service).item;
        const bool isNew = std::exchange(upstream.isNew, false);
        if (!service.hasWarmUp()) {
            continue;
        }
        const auto stated = state.warmUps().find(key);
        if (stated == state.warmUps().end()) {
            // The leader states nothing about an upstream that registered before the service was configured.
            const auto* registered = state.findUpstream(key.name);
            const bool isStatementDue = registered != nullptr && registered->changedAt > state.itemsChangedAt();
            if (isNew && this->hasSynced && isStatementDue && !isKnownToBeOld(key, latestIncarnation, service.warmUpTime)) {
                this->beginWarmUp(now, service, upstream, service.warmUpTime);
                upstream.isWarmUpAssumed = true;
            }
            continue;
        }
        const auto& [timeLeft, changedAt] = stated->second;
        if (upstream.warmUpIndex == changedAt) {
            continue;
        }
        upstream.warmUpIndex = changedAt;
        const bool wasAssumed = std::exchange(upstream.isWarmUpAssumed, false);
        if (timeLeft > Duration::zero()) {
            this->beginWarmUp(now, service, upstream, timeLeft);
        } else if (wasAssumed) {
            // It started warm, as all upstreams do that start before there is traffic.
            upstream.warmUp.clear();
        } else {
            upstream.warmUp.endWarmUp(now);
        }
    }
}

void Dispatcher::syncKeys(Instant now, const RegistryState& state, DispatchService& service)
{
    const auto ranges = state.keyRanges(service.name);
    service.ranges.assign(ranges.begin(), ranges.end());
    service.unconfirmedRanges.sync(now, service.ranges, service.rangesIndex);
    service.rangesIndex = state.keysChangedAt(service.name);
    this->requeue(service);
}

void Dispatcher::requeue(DispatchService& service)
{
    std::vector<PendingRequestId> waiting;
    std::ranges::transform(service.queue, std::back_inserter(waiting), &QueuePosition::id);
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
        this->syncUpstreams(now, lastCurrentAt, state);
    }
    if (hasNewOrders || hasNewUpstreams) {
        this->syncEvacuations(now);
    }
    const bool hasNewItems = this->itemsIndex != state.itemsChangedAt();
    if (hasNewItems) {
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
        this->syncWarmUpItems();
        this->linkBudget.retainRoutes([&routes](const std::string& name) { return routes.contains(name); });
    }
    if (hasNewUpstreams || this->warmUpsIndex != state.warmUpsChangedAt()) {
        this->warmUpsIndex = state.warmUpsChangedAt();
        this->syncWarmUps(now, state);
    }
    this->hasSynced = true;
    for (auto& [name, service] : this->services) {
        const auto changedAt = state.keysChangedAt(name);
        if (service->item.isSharded && service->rangesIndex != changedAt) {
            this->syncKeys(now, state, *service);
        } else if (hasNewOrders || hasNewItems) {
            this->requeue(*service);
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
