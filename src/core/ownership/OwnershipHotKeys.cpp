#include "core/ownership/OwnershipState.h"
#include "core/routing/RouteTable.h"

namespace teaselturn {

ApplyOutcome OwnershipState::applyCommand(const IsolateHotKey& command)
{
    const auto found = this->services.find(command.service);
    if (found == this->services.end()) {
        return { ResultCode::RequestServiceUnknown };
    }
    if (command.key.empty() || command.key.size() > limits::maxKeyBytes) {
        return { ResultCode::RequestKeyInvalid };
    }
    if (this->findHotKey(command.service, command.key) != nullptr) {
        return { ResultCode::AlreadyApplied };
    }
    if (this->hotKeys.size() >= limits::maxHotKeys || this->nextHotKeySlot == UINT32_MAX) {
        return { ResultCode::TooManyHotKeys };
    }
    auto& partitions = found->second.partitions;
    const SlotId partitionSlot { command.service, static_cast<std::uint32_t>(hashKey(command.key) % partitions.size()) };
    auto& partition = partitions[partitionSlot.index];
    if (partition.moveTarget != UpstreamId {}) {
        return { ResultCode::FenceOutdated };
    }
    // Both get a new fence. Under the old one, the owner would accept the key as part of the partition from an entry VM
    // that has not applied this command, even after the key has moved to another owner.
    partition.fence = Fence { this->index.value };
    this->recordSlotChange(partitionSlot, partition.owner);

    const SlotId slot { command.service, this->nextHotKeySlot++ };
    auto record = partition;
    record.owner = {};
    auto& isolated = this->hotKeys[slot] = { slot, command.key, record };
    this->hotKeyNames[command.service][command.key] = slot;
    this->setOwner(slot, isolated.record, partition.owner);
    return {};
}

ApplyOutcome OwnershipState::applyCommand(const MergeHotKey& command)
{
    const auto* hotKey = this->findHotKey(command.slot);
    if (hotKey == nullptr) {
        return { ResultCode::SlotUnknown };
    }
    const auto& partitions = this->services.at(command.slot.service).partitions;
    const auto& partition = partitions[hashKey(hotKey->key) % partitions.size()];
    const auto& record = hotKey->record;
    const bool isMoving = record.moveTarget != UpstreamId {} || partition.moveTarget != UpstreamId {};
    if (record.owner == UpstreamId {} || record.owner != partition.owner || isMoving) {
        return { ResultCode::FenceOutdated };
    }
    this->removeHotKey(command.slot);
    return {};
}

void OwnershipState::removeHotKey(SlotId slot)
{
    auto& hotKey = this->hotKeys.at(slot);
    this->setOwner(slot, hotKey.record, {});
    this->unowned.erase(slot);
    auto& names = this->hotKeyNames.at(slot.service);
    names.erase(hotKey.key);
    if (names.empty()) {
        this->hotKeyNames.erase(slot.service);
    }
    this->hotKeys.erase(slot);
}

}
