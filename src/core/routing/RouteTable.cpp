#include "core/routing/RouteTable.h"

#include "core/ownership/OwnershipState.h"

#include <algorithm>

namespace teaselturn {

RouteTable::RouteTable() = default;

RouteTable::~RouteTable() = default;

std::optional<ServiceId> RouteTable::findService(std::string_view name) const noexcept
{
    const SharedShardLock lock { this->mutex };
    const auto found = this->names.find(name);
    return found == this->names.end() ? std::nullopt : std::optional { found->second };
}

std::optional<Route> RouteTable::find(ServiceId service, std::string_view key) const noexcept
{
    const auto hash = hashKey(key);
    const SharedShardLock lock { this->mutex };
    if (service.value >= this->services.size() || !this->services[service.value]) {
        return std::nullopt;
    }
    const auto& found = *this->services[service.value];
    SlotId slot { service, 0 };
    Entry entry;
    const auto hot = found.hotKeys.empty() ? found.hotKeys.end() : found.hotKeys.find(HashedKey { key, hash });
    if (hot != found.hotKeys.end()) {
        slot.index = hot->second.slot;
        entry = hot->second.entry;
    } else {
        slot.index = static_cast<std::uint32_t>(hash % found.partitions.size());
        entry = found.partitions[slot.index];
    }
    return Route { slot, { entry.owner }, { entry.fence }, found.zoneRule, entry.isMoving != 0 };
}

RouteTable::Entry RouteTable::toEntry(const SlotRecord& record) noexcept
{
    return { record.owner.value, record.fence.value, record.moveTarget != UpstreamId {} ? 1U : 0U };
}

void RouteTable::update(const OwnershipState& state, const LogEntry&, RegionId region)
{
    const auto changed = state.slotsChangedAfter(this->tableIndex);
    if (!changed) {
        this->rebuild(state, region);
        return;
    }
    if (state.servicesChangedAt() > this->tableIndex) {
        this->syncServices(state, region, true);
    }
    this->tableIndex = state.appliedIndex();
    if (changed->empty()) {
        return;
    }
    const ExclusiveShardLock lock { this->mutex };
    for (const auto slot : *changed) {
        this->updateSlot(state, slot);
    }
}

void RouteTable::rebuild(const OwnershipState& state, RegionId region)
{
    this->syncServices(state, region, false);
    this->tableIndex = state.appliedIndex();
}

std::unique_ptr<RouteTable::Service> RouteTable::build(const OwnershipState& state, const ServiceSpec& spec)
{
    auto service = std::make_unique<Service>();
    const auto slots = state.partitions(spec.id);
    service->partitions.reserve(slots.size());
    std::transform(slots.begin(), slots.end(), std::back_inserter(service->partitions), &RouteTable::toEntry);
    state.forEachHotKey([&](const HotKeyRecord& hotKey) {
        if (hotKey.slot.service == spec.id) {
            service->hotKeys[hotKey.key] = { hotKey.slot.index, toEntry(hotKey.record) };
        }
    });
    return service;
}

bool RouteTable::hasMatchingService(const OwnershipState& state, ServiceId service) const noexcept
{
    return service.value < this->services.size() && this->services[service.value]
        && this->services[service.value]->partitions.size() == state.partitions(service).size();
}

void RouteTable::syncServices(const OwnershipState& state, RegionId region, bool keepsExisting)
{
    const auto* bundle = state.bundleInForce(region);
    const auto specs = bundle != nullptr ? std::span<const ServiceSpec> { bundle->bundle.services } : std::span<const ServiceSpec> {};
    std::vector<std::unique_ptr<Service>> next;
    ServiceNames nextNames;
    std::vector<const ServiceSpec*> present;
    for (const auto& spec : specs) {
        if (state.partitions(spec.id).empty()) {
            continue;
        }
        next.resize(std::max<std::size_t>(next.size(), spec.id.value + 1U));
        nextNames[spec.name] = spec.id;
        present.push_back(&spec);
        // Builds the service before taking the lock, so that lookups don't wait for it.
        if (!keepsExisting || !this->hasMatchingService(state, spec.id)) {
            next[spec.id.value] = build(state, spec);
        }
    }
    const ExclusiveShardLock lock { this->mutex };
    for (const auto* spec : present) {
        auto& service = next[spec->id.value];
        if (!service) {
            service = std::move(this->services[spec->id.value]);
        }
        service->zoneRule = spec->zoneRule;
    }
    this->services.swap(next);
    this->names.swap(nextNames);
}

RouteTable::Service* RouteTable::findMutableService(ServiceId service) noexcept
{
    return service.value < this->services.size() ? this->services[service.value].get() : nullptr;
}

void RouteTable::updateSlot(const OwnershipState& state, SlotId slot)
{
    auto* service = this->findMutableService(slot.service);
    if (service == nullptr) {
        return;
    }
    if (!slot.isHotKey()) {
        if (const auto* record = state.findSlot(slot); record != nullptr && slot.index < service->partitions.size()) {
            service->partitions[slot.index] = toEntry(*record);
        }
        return;
    }
    if (const auto* hotKey = state.findHotKey(slot); hotKey != nullptr) {
        service->hotKeys[hotKey->key] = { slot.index, toEntry(hotKey->record) };
        return;
    }
    absl::erase_if(service->hotKeys, [slot](const auto& hot) { return hot.second.slot == slot.index; });
}

}
