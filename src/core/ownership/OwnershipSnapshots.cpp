#include "core/ownership/OwnershipState.h"

namespace teaselturn {

OwnershipSnapshot OwnershipState::snapshot() const
{
    OwnershipSnapshot snapshot { this->index, this->accepted, this->previous, this->stage };
    for (const auto& [id, upstream] : this->upstreams) {
        snapshot.upstreams.push_back(upstream.record);
    }
    for (const auto& [id, service] : this->services) {
        snapshot.services.push_back({ id, service.partitions, service.moveSince });
    }
    for (const auto& [slot, hotKey] : this->hotKeys) {
        snapshot.hotKeys.push_back(hotKey);
    }
    snapshot.nextHotKeySlot = this->nextHotKeySlot;
    snapshot.members = this->memberSpecs;
    return snapshot;
}

void OwnershipState::restore(OwnershipSnapshot snapshot)
{
    OwnershipState next { std::move(this->check) };
    next.index = snapshot.appliedIndex;
    next.accepted = std::move(snapshot.accepted);
    next.previous = std::move(snapshot.previous);
    next.stage = snapshot.rolloutStage;
    next.nextHotKeySlot = snapshot.nextHotKeySlot;
    next.memberSpecs = std::move(snapshot.members);
    for (auto& record : snapshot.upstreams) {
        next.addUpstream(std::move(record));
    }
    const auto addSlot = [&next](SlotId slot, UpstreamId owner) {
        if (const auto found = next.upstreams.find(owner); found != next.upstreams.end()) {
            found->second.slots.insert(slot);
        } else {
            next.unowned.insert(next.unowned.end(), slot);
        }
    };
    for (auto& service : snapshot.services) {
        std::uint32_t i = 0;
        for (const auto& record : service.partitions) {
            addSlot({ service.service, i++ }, record.owner);
        }
        next.services[service.service] = { std::move(service.partitions), service.moveSince };
    }
    for (auto& hotKey : snapshot.hotKeys) {
        addSlot(hotKey.slot, hotKey.record.owner);
        next.hotKeyNames[hotKey.slot.service][hotKey.key] = hotKey.slot;
        next.hotKeys[hotKey.slot] = std::move(hotKey);
    }
    next.changesCompleteSince = next.index;
    next.servicesChanged = next.index;
    *this = std::move(next);
}

}
