#include "core/ownership/OwnershipState.h"

#include <algorithm>

namespace teaselturn {

OwnershipState::OwnershipState(BundleCheck check)
    : check(std::move(check))
{
}

ApplyOutcome OwnershipState::apply(LogIndex index, const Command& command)
{
    if (index.value != this->index.value + 1) {
        return { ResultCode::Internal };
    }
    this->index = index;
    return std::visit([this](const auto& alternative) { return this->applyCommand(alternative); }, command);
}

ApplyOutcome OwnershipState::applyCommand(const NoOperation&) { return {}; }

ApplyOutcome OwnershipState::applyCommand(const ChangeMembers& command)
{
    this->memberSpecs = command.members;
    return {};
}

LogIndex OwnershipState::appliedIndex() const noexcept { return this->index; }

const SignedBundle* OwnershipState::acceptedBundle() const noexcept { return this->accepted ? &*this->accepted : nullptr; }

const SignedBundle* OwnershipState::bundleInForce(RegionId region) const noexcept
{
    if (!this->previous) {
        return this->acceptedBundle();
    }
    const auto& order = this->accepted->bundle.rollout;
    const auto reached = order.begin() + std::min<std::ptrdiff_t>(this->stage, std::ssize(order));
    return std::find(order.begin(), reached, region) != reached ? &*this->accepted : &*this->previous;
}

std::uint32_t OwnershipState::rolloutStage() const noexcept { return this->stage; }

bool OwnershipState::isRollingOut() const noexcept { return this->previous.has_value(); }

bool OwnershipState::hasEntryVm(NodeId entry) const noexcept
{
    return this->accepted && !this->allEntryVms([entry](NodeId listed) { return listed != entry; });
}

bool OwnershipState::allEntryVms(const std::function<bool(NodeId)>& condition) const
{
    const auto holds = [&condition](const std::optional<SignedBundle>& bundle) {
        const auto isMet = [&condition](const NodeSpec& entry) { return condition(entry.id); };
        return !bundle || std::all_of(bundle->bundle.entries.begin(), bundle->bundle.entries.end(), isMet);
    };
    return holds(this->accepted) && holds(this->previous);
}

const ServiceSpec* OwnershipState::findServiceIn(const std::optional<SignedBundle>& bundle, ServiceId service) const noexcept
{
    if (!bundle) {
        return nullptr;
    }
    const auto& specs = bundle->bundle.services;
    const auto found = std::find_if(specs.begin(), specs.end(), [service](const auto& spec) { return spec.id == service; });
    return found == specs.end() ? nullptr : &*found;
}

const ServiceSpec* OwnershipState::findService(ServiceId service) const noexcept
{
    const auto* spec = this->findServiceIn(this->accepted, service);
    return spec != nullptr ? spec : this->findServiceIn(this->previous, service);
}

LogIndex OwnershipState::moveSince(ServiceId service) const noexcept
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? LogIndex {} : found->second.moveSince;
}

bool OwnershipState::keepsLeasesAfterDelegation(ServiceId service) const noexcept
{
    const auto* current = this->findServiceIn(this->accepted, service);
    const auto* former = this->findServiceIn(this->previous, service);
    const auto isKept = [](const ServiceSpec* spec) { return spec == nullptr || spec->zoneRule == ZoneRule::Keep; };
    return (current != nullptr || former != nullptr) && isKept(current) && isKept(former);
}

const UpstreamRecord* OwnershipState::findUpstream(UpstreamId id) const noexcept
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second.record;
}

const UpstreamRecord* OwnershipState::findUpstream(std::string_view name, std::uint64_t incarnation) const noexcept
{
    const auto named = this->upstreamNames.find(name);
    if (named == this->upstreamNames.end()) {
        return nullptr;
    }
    const auto found = named->second.find(incarnation);
    return found == named->second.end() ? nullptr : this->findUpstream(found->second);
}

void OwnershipState::forEachUpstream(const std::function<void(const UpstreamRecord&)>& visit) const
{
    for (const auto& [id, upstream] : this->upstreams) {
        visit(upstream.record);
    }
}

void OwnershipState::forEachUpstreamOf(NodeId leaseManager, const std::function<void(const UpstreamRecord&)>& visit) const
{
    const auto found = this->upstreamsByLeaseManager.find(leaseManager);
    if (found == this->upstreamsByLeaseManager.end()) {
        return;
    }
    for (const auto id : found->second) {
        visit(this->upstreams.at(id).record);
    }
}

const SlotRecord* OwnershipState::findSlot(SlotId slot) const noexcept
{
    if (slot.isHotKey()) {
        const auto found = this->hotKeys.find(slot);
        return found == this->hotKeys.end() ? nullptr : &found->second.record;
    }
    const auto slots = this->partitions(slot.service);
    return slot.index < slots.size() ? &slots[slot.index] : nullptr;
}

std::span<const SlotRecord> OwnershipState::partitions(ServiceId service) const noexcept
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? std::span<const SlotRecord> {} : std::span { found->second.partitions };
}

const HotKeyRecord* OwnershipState::findHotKey(ServiceId service, std::string_view key) const noexcept
{
    const auto names = this->hotKeyNames.find(service);
    if (names == this->hotKeyNames.end()) {
        return nullptr;
    }
    const auto found = names->second.find(key);
    return found == names->second.end() ? nullptr : this->findHotKey(found->second);
}

const HotKeyRecord* OwnershipState::findHotKey(SlotId slot) const noexcept
{
    const auto found = this->hotKeys.find(slot);
    return found == this->hotKeys.end() ? nullptr : &found->second;
}

void OwnershipState::forEachHotKey(const std::function<void(const HotKeyRecord&)>& visit) const
{
    for (const auto& [slot, hotKey] : this->hotKeys) {
        visit(hotKey);
    }
}

std::size_t OwnershipState::hotKeyCount() const noexcept { return this->hotKeys.size(); }

std::vector<SlotRelease> OwnershipState::slotsOf(UpstreamId owner) const
{
    std::vector<SlotRelease> owned;
    const auto found = this->upstreams.find(owner);
    if (found == this->upstreams.end()) {
        return owned;
    }
    owned.reserve(found->second.slots.size());
    for (const auto slot : found->second.slots) {
        owned.push_back({ slot, this->findSlot(slot)->fence });
    }
    return owned;
}

std::size_t OwnershipState::slotCount(UpstreamId owner) const noexcept
{
    const auto found = this->upstreams.find(owner);
    return found == this->upstreams.end() ? 0 : found->second.slots.size();
}

LogIndex OwnershipState::slotsChangedAt(UpstreamId owner) const noexcept
{
    const auto found = this->upstreams.find(owner);
    return found == this->upstreams.end() ? LogIndex {} : found->second.slotsChangedAt;
}

const absl::btree_set<SlotId>& OwnershipState::freeSlots() const noexcept { return this->unowned; }

std::optional<std::vector<SlotId>> OwnershipState::slotsChangedAfter(LogIndex index) const
{
    if (index < this->changesCompleteSince) {
        return std::nullopt;
    }
    const auto first = std::upper_bound(this->changes.begin(), this->changes.end(), index,
        [](LogIndex bound, const auto& change) { return bound < change.first; });
    std::vector<SlotId> slots;
    slots.reserve(static_cast<std::size_t>(this->changes.end() - first));
    std::for_each(first, this->changes.end(), [&slots](const auto& change) { slots.push_back(change.second); });
    return slots;
}

LogIndex OwnershipState::servicesChangedAt() const noexcept { return this->servicesChanged; }

std::span<const MemberSpec> OwnershipState::members() const noexcept { return this->memberSpecs; }

}
