#include "core/registry/RegistryState.h"

#include "core/registry/ItemRules.h"
#include "core/registry/ItemsAfterChange.h"
#include "core/registry/KeyRanges.h"

#include <algorithm>

namespace teaselturn {

namespace {

    ApplyOutcome outcomeOf(const Status& status)
    {
        ApplyOutcome outcome;
        outcome.code = status ? ResultCode::Ok : static_cast<ResultCode>(status.error().value());
        return outcome;
    }

}

ApplyOutcome RegistryState::apply(LogIndex entryIndex, const Command& command)
{
    if (entryIndex.value != this->index.value + 1) {
        return { ResultCode::Internal };
    }
    this->index = entryIndex;
    return std::visit([this](const auto& alternative) { return this->applyCommand(alternative); }, command);
}

ApplyOutcome RegistryState::applyCommand(const ChangeMembers& command)
{
    this->memberSpecs = command.members;
    return {};
}

const ItemRecord* RegistryState::findItem(ItemKind kind, std::string_view name) const
{
    const auto found = this->items.find(ItemKey { kind, std::string { name } });
    return found == this->items.end() ? nullptr : &found->second;
}

bool RegistryState::isNewerVersion(ItemKind kind, std::string_view name, std::uint64_t version) const
{
    const auto* record = this->findItem(kind, name);
    return record == nullptr || version > record->item.version;
}

/// @param document Content of the item; empty for a deletion.
Status RegistryState::checkVersion(ItemKind kind, std::string_view name, std::uint64_t version, std::string_view document) const
{
    const auto* record = this->findItem(kind, name);
    if (record == nullptr || record->item.version != version) {
        return success();
    }
    // Two operators may submit different content under the same version. The first commit wins, and the other operator
    // must get an error instead of a success.
    if (record->isDeleted != document.empty() || (!record->isDeleted && record->item.document != document)) {
        return { ResultCode::ItemConflict, std::string { name } + " has other content under this version" };
    }
    return success();
}

Status RegistryState::check(const ChangeItems& change) const
{
    for (const auto& item : change.upserts) {
        if (auto checked = checkItem(item); !checked) {
            return checked;
        }
        if (auto checked = this->checkVersion(item.kind(), item.name, item.version, item.document); !checked) {
            return checked;
        }
    }
    for (const auto& deletion : change.deletions) {
        if (auto checked = this->checkVersion(deletion.kind, deletion.name, deletion.version, {}); !checked) {
            return checked;
        }
    }
    if (auto checked = ItemsAfterChange { *this, change }.checkServicesOfRoutes(); !checked) {
        return checked;
    }
    if (this->items.size() + change.upserts.size() + change.deletions.size() > limits::maxConfigItems) {
        return { ResultCode::ItemsInvalid, "too many items" };
    }
    return success();
}

bool RegistryState::isAlreadyApplied(const ChangeItems& change) const
{
    const auto isKnown = [this](ItemKind kind, std::string_view name, std::uint64_t version) { return !this->isNewerVersion(kind, name, version); };
    return std::ranges::all_of(change.upserts, [&](const ConfigItem& item) { return isKnown(item.kind(), item.name, item.version); })
        && std::ranges::all_of(change.deletions, [&](const ItemDeletion& deletion) { return isKnown(deletion.kind, deletion.name, deletion.version); });
}

ApplyOutcome RegistryState::applyCommand(const ChangeItems& command)
{
    if (const auto checked = this->check(command); !checked) {
        return outcomeOf(checked);
    }
    bool isChanged = false;
    for (const auto& item : command.upserts) {
        if (this->isNewerVersion(item.kind(), item.name, item.version)) {
            this->items[{ item.kind(), item.name }] = ItemRecord { item.kind(), item, false };
            isChanged = true;
        }
    }
    for (const auto& deletion : command.deletions) {
        if (this->isNewerVersion(deletion.kind, deletion.name, deletion.version)) {
            ConfigItem deleted { deletion.name, deletion.version, {}, {} };
            this->items[{ deletion.kind, deletion.name }] = ItemRecord { deletion.kind, std::move(deleted), true };
            isChanged = true;
        }
    }
    if (isChanged) {
        this->itemsIndex = this->index;
    }
    return {};
}

const ServiceItem* RegistryState::findService(std::string_view name) const
{
    const auto* record = this->findItem(ItemKind::Service, name);
    return record == nullptr || record->isDeleted ? nullptr : std::get_if<ServiceItem>(&record->item.content);
}

CallerLimits RegistryState::callerLimits() const
{
    CallerLimits configured;
    this->forEachItem([&configured](const ConfigItem& item) {
        if (const auto* callerLimits = std::get_if<CallerLimits>(&item.content)) {
            configured = *callerLimits;
        }
    });
    return configured;
}

const RegisteredUpstream* RegistryState::findUpstream(std::string_view name) const
{
    const auto found = this->registered.find(name);
    return found == this->registered.end() ? nullptr : &found->second;
}

bool RegistryState::isAlive(const UpstreamKey& key) const
{
    const auto* upstream = this->findUpstream(key.name);
    return upstream != nullptr && upstream->announcement.key == key && (upstream->state == UpstreamState::Ready || upstream->state == UpstreamState::Draining);
}

ApplyOutcome RegistryState::applyCommand(const RegisterUpstream& command)
{
    const auto found = this->registered.find(command.key.name);
    if (found != this->registered.end()) {
        const auto& existing = found->second;
        const bool isSameIncarnation = existing.announcement.key == command.key;
        const bool wouldEndDraining = existing.state == UpstreamState::Draining && !command.isDraining;
        if (existing.announcement.key.incarnation > command.key.incarnation || (isSameIncarnation && (existing.state == UpstreamState::Gone || wouldEndDraining))) {
            return { ResultCode::AlreadyApplied };
        }
    }
    for (auto& [name, other] : this->registered) {
        const bool sharesAddress = name != command.key.name && other.announcement.endpoint == command.endpoint && other.state != UpstreamState::Gone;
        if (!sharesAddress) {
            continue;
        }
        if (other.announcement.key.incarnation > command.key.incarnation) {
            // The announcement was delayed, and its address now belongs to a later incarnation.
            return { ResultCode::AlreadyApplied };
        }
        this->markDeparted(other, UpstreamState::Gone);
    }
    const auto state = command.isDraining ? UpstreamState::Draining : UpstreamState::Ready;
    if (found != this->registered.end() && found->second.announcement.key != command.key) {
        this->warmUpTimes.erase(found->second.announcement.key);
    }
    this->registered[command.key.name] = RegisteredUpstream { command, state, this->index };
    this->upstreamsIndex = this->index;
    return {};
}

ApplyOutcome RegistryState::applyCommand(const RemoveUpstream& command)
{
    const auto found = this->registered.find(command.key.name);
    if (found == this->registered.end() || found->second.announcement.key != command.key || found->second.state == UpstreamState::Gone) {
        return { ResultCode::AlreadyApplied };
    }
    this->markDeparted(found->second, command.hasLeft ? UpstreamState::Gone : UpstreamState::Dead);
    return {};
}

void RegistryState::markDeparted(RegisteredUpstream& upstream, UpstreamState state)
{
    upstream.state = state;
    upstream.changedAt = this->index;
    this->upstreamsIndex = this->index;
    this->clearMovesTo([&upstream](const UpstreamKey& target) { return target == upstream.announcement.key; });
    this->warmUpTimes.erase(upstream.announcement.key);
    if (state != UpstreamState::Gone) {
        return;
    }
    this->departedNames.push_back(upstream.announcement.key.name);
    while (this->departedNames.size() > limits::maxDepartedUpstreams) {
        const auto oldest = this->registered.find(this->departedNames.front());
        if (oldest != this->registered.end() && oldest->second.state == UpstreamState::Gone) {
            this->registered.erase(oldest);
        }
        this->departedNames.pop_front();
    }
}

void RegistryState::clearMovesTo(const std::function<bool(const UpstreamKey&)>& isTarget)
{
    for (auto& [service, keyRanges] : this->keys) {
        for (auto& range : keyRanges.ranges) {
            if (range.isMoving() && isTarget(range.target)) {
                range.target = {};
                keyRanges.changedAt = this->index;
            }
        }
        joinKeyRanges(keyRanges.ranges);
    }
}

ApplyOutcome RegistryState::applyCommand(const AssignKeyRanges& command)
{
    auto& [ranges, changedAt] = this->keys[command.service];
    changedAt = this->index;
    for (const auto& grant : command.grants) {
        grantKeys(ranges, grant, Fence { this->index.value });
    }
    joinKeyRanges(ranges);
    return {};
}

ApplyOutcome RegistryState::applyCommand(const BeginKeyMoves& command)
{
    auto& [ranges, changedAt] = this->keys[command.service];
    changedAt = this->index;
    for (const auto& move : command.moves) {
        if (this->isAlive(move.target)) {
            markMove(ranges, move);
        }
    }
    joinKeyRanges(ranges);
    return {};
}

ApplyOutcome RegistryState::applyCommand(const BeginWarmUp& command)
{
    const auto* upstream = this->findUpstream(command.key.name);
    if (upstream == nullptr || upstream->announcement.key != command.key || upstream->state == UpstreamState::Gone) {
        return { ResultCode::AlreadyApplied };
    }
    if (command.timeLeft > Duration::zero()) {
        // Keys that the owner has released already are granted to it again.
        this->clearMovesTo([&command](const UpstreamKey& target) { return target == command.key; });
    }
    this->warmUpTimes[command.key] = { command.timeLeft, this->index };
    this->warmUpsIndex = this->index;
    return {};
}

ApplyOutcome RegistryState::applyCommand(const EvacuateZone& command)
{
    const auto position = std::ranges::lower_bound(this->evacuated, command.zone);
    const bool isOrdered = position != this->evacuated.end() && *position == command.zone;
    if (isOrdered == command.isEvacuated) {
        return {};
    }
    if (command.isEvacuated && this->evacuated.size() >= limits::maxEvacuatedZones) {
        return { ResultCode::ItemsInvalid };
    }
    if (command.isEvacuated) {
        this->evacuated.insert(position, command.zone);
        this->clearMovesTo([this, &command](const UpstreamKey& target) {
            const auto* upstream = this->findUpstream(target.name);
            return upstream != nullptr && upstream->announcement.zone == command.zone;
        });
    } else {
        this->evacuated.erase(position);
    }
    this->evacuationsIndex = this->index;
    return {};
}

bool RegistryState::isEvacuated(std::string_view zone) const noexcept
{
    return std::ranges::binary_search(this->evacuated, zone);
}

std::span<const KeyRange> RegistryState::keyRanges(std::string_view service) const
{
    const auto found = this->keys.find(service);
    return found == this->keys.end() ? std::span<const KeyRange> {} : std::span<const KeyRange> { found->second.ranges };
}

LogIndex RegistryState::keysChangedAt(std::string_view service) const
{
    const auto found = this->keys.find(service);
    return found == this->keys.end() ? LogIndex {} : found->second.changedAt;
}

const KeyRange* RegistryState::findRange(std::string_view service, KeyNumber key) const
{
    return findKeyRange(this->keyRanges(service), key);
}

RegistrySnapshot RegistryState::snapshot() const
{
    RegistrySnapshot result { this->index, this->itemsIndex, {}, {}, {}, this->memberSpecs, this->evacuated, {} };
    for (const auto& [key, warmUp] : this->warmUpTimes) {
        result.warmUps.push_back({ key, warmUp.timeLeft });
    }
    for (const auto& [key, record] : this->items) {
        result.items.push_back(record);
    }
    for (const auto& [name, upstream] : this->registered) {
        result.upstreams.push_back(upstream);
    }
    for (const auto& [service, keyRanges] : this->keys) {
        auto& copy = result.keys.emplace_back(ServiceKeys { service, keyRanges.ranges });
        for (auto& range : copy.ranges) {
            range.expectedDelay = {};
        }
    }
    return result;
}

void RegistryState::restore(RegistrySnapshot snapshot)
{
    this->index = snapshot.appliedIndex;
    this->itemsIndex = snapshot.itemsChangedAt;
    this->upstreamsIndex = this->index;
    this->memberSpecs = std::move(snapshot.members);
    this->evacuated = std::move(snapshot.evacuatedZones);
    this->evacuationsIndex = this->index;
    this->warmUpTimes.clear();
    for (const auto& warmUp : snapshot.warmUps) {
        this->warmUpTimes.emplace(warmUp.key, RecordedWarmUp { warmUp.timeLeft, this->index });
    }
    this->warmUpsIndex = this->index;
    this->items.clear();
    for (auto& record : snapshot.items) {
        this->items.emplace(ItemKey { record.kind, record.item.name }, std::move(record));
    }
    this->registered.clear();
    this->departedNames.clear();
    for (auto& upstream : snapshot.upstreams) {
        if (upstream.state == UpstreamState::Gone) {
            this->departedNames.push_back(upstream.announcement.key.name);
        }
        this->registered.emplace(upstream.announcement.key.name, std::move(upstream));
    }
    // Members evict the upstreams that departed first, so a restored member must have the same order as the others.
    std::ranges::sort(this->departedNames, {}, [this](const std::string& name) { return this->registered.at(name).changedAt; });
    this->keys.clear();
    for (auto& service : snapshot.keys) {
        this->keys.emplace(std::move(service.service), Keys { std::move(service.ranges), this->index });
    }
}

}
