#include "core/dispatch/Dispatcher.h"

#include "core/registry/KeyRanges.h"
#include "core/routing/RouteTable.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace teaselturn {

namespace {

    /// Round trips assumed before any is measured.
    constexpr std::chrono::milliseconds zoneDistance { 3 };
    constexpr std::chrono::milliseconds regionDistance { 60 };
    /// Largest share of the usual latency by which an entry VM prefers one upstream to another of the same speed.
    constexpr double largestAversion = 0.3;
    /// Time from a proposal to its arrival here, less that of the answer to a heartbeat: the commit across regions.
    constexpr std::chrono::milliseconds feedDelay { 50 };

    /// @return The same number in [0, largestAversion) for the same pair in every process.
    double aversionTo(const UpstreamKey& key, std::uint64_t preferenceSeed)
    {
        const auto hash = hashKey(key.name + ":" + std::to_string(preferenceSeed));
        return largestAversion * static_cast<double>(hash % 1'024) / 1'024;
    }

}

Dispatcher::Service& Dispatcher::service(std::string_view name)
{
    const auto found = this->services.find(name);
    if (found != this->services.end()) {
        return *found->second;
    }
    auto made = std::make_unique<Service>();
    made->name = name;
    return *this->services.emplace(std::string { name }, std::move(made)).first->second;
}

Dispatcher::Upstream* Dispatcher::upstream(const UpstreamKey& key)
{
    const auto found = this->upstreams.find(key);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

Duration Dispatcher::distanceTo(std::string_view zone) const
{
    if (zone == this->options.zone) {
        return Duration::zero();
    }
    const auto own = this->options.regions.find(this->options.zone);
    const auto other = this->options.regions.find(zone);
    const bool isSameRegion = own != this->options.regions.end() && other != this->options.regions.end() && own->second == other->second;
    return isSameRegion ? zoneDistance : regionDistance;
}

bool Dispatcher::isDrained(Instant now, const Upstream& upstream) const noexcept
{
    return upstream.drainingSince && now - *upstream.drainingSince >= this->options.drainTime;
}

const KeyRange* Dispatcher::rangeOf(const Exchange& exchange) const
{
    return exchange.request.key ? findKeyRange(exchange.service->ranges, *exchange.request.key) : nullptr;
}

void Dispatcher::syncUpstreams(Instant now, const RegistryState& state)
{
    for (auto& [key, known] : this->upstreams) {
        known.isListed = false;
    }
    for (auto& [name, service] : this->services) {
        service->upstreams.clear();
    }
    for (const auto& [name, registered] : state.upstreams()) {
        const auto& announcement = registered.announcement;
        if (registered.state == UpstreamState::Gone) {
            continue;
        }
        const auto place = this->upstreams.try_emplace(announcement.key, Upstream { announcement, registered.state, UpstreamLoad { announcement.requestSlots } }).first;
        auto& known = place->second;
        known.announcement = announcement;
        known.state = registered.state;
        known.load.setSlots(announcement.requestSlots);
        known.distance = this->distanceTo(announcement.zone);
        known.aversion = aversionTo(announcement.key, this->options.preferenceSeed);
        if (registered.state == UpstreamState::Draining && !known.drainingSince) {
            known.drainingSince = now;
        }
        known.isListed = true;
        this->service(announcement.service).upstreams.push_back(announcement.key);
    }
    absl::erase_if(this->upstreams, [](const auto& item) { return !item.second.isListed && item.second.load.inFlight() == 0; });
}

void Dispatcher::syncKeys(Instant now, const RegistryState& state, Service& service)
{
    const auto ranges = state.keyRanges(service.name);
    service.ranges.assign(ranges.begin(), ranges.end());
    absl::flat_hash_map<std::uint64_t, UnheldRange> stillUnheld;
    for (const auto& range : service.ranges) {
        const auto known = service.unheldRanges.find(rangeNumber(range));
        if (known != service.unheldRanges.end()) {
            stillUnheld.insert(*known);
        } else if (range.fence.value > service.rangesIndex.value && range.expectedDelay > feedDelay) {
            // The owner does not know of its new keys before its next heartbeat.
            stillUnheld.emplace(rangeNumber(range), UnheldRange { now + range.expectedDelay - feedDelay, now + range.expectedDelay - feedDelay, 0 });
        }
    }
    service.rangesIndex = state.keysChangedAt(service.name);
    service.unheldRanges = std::move(stillUnheld);
    // Requests queue by owner, so they move to their keys' new owners.
    std::vector<PendingRequestId> waiting;
    for (const auto& [owner, queue] : service.queues) {
        std::ranges::transform(queue, std::back_inserter(waiting), &QueuePlace::id);
    }
    for (const auto id : waiting) {
        auto& exchange = *this->exchanges.at(id);
        this->dequeue(exchange);
        this->enqueue(exchange);
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
                this->service(item.name).isSharded = content->isSharded;
            }
        });
        absl::flat_hash_set<std::string> routes;
        state.forEachItem([&routes](const ConfigItem& item) {
            if (item.kind() == ItemKind::Route) {
                routes.insert(item.name);
            }
        });
        this->link.keepRoutes([&routes](const std::string& name) { return routes.contains(name); });
    }
    for (auto& [name, service] : this->services) {
        const auto changedAt = state.keysChangedAt(name);
        if (service->isSharded && service->rangesIndex != changedAt) {
            this->syncKeys(now, state, *service);
        }
    }
    for (auto& [name, service] : this->services) {
        this->serve(now, *service, decisions);
    }
}

}
