#include "core/ownership/OwnershipState.h"

namespace teaselturn {

namespace {

    /// Records the first failure of a command whose parts apply independently.
    void recordFirstFailure(ApplyOutcome& outcome, ResultCode code)
    {
        if (outcome.code == ResultCode::Ok) {
            outcome.code = code;
        }
    }

}

ApplyOutcome OwnershipState::applyCommand(const AssignSlots& command)
{
    ApplyOutcome outcome;
    for (const auto& assignment : command.assignments) {
        recordFirstFailure(outcome, this->assign(assignment));
    }
    return outcome;
}

ApplyOutcome OwnershipState::applyCommand(const BeginMove& command)
{
    ApplyOutcome outcome;
    for (const auto& move : command.moves) {
        recordFirstFailure(outcome, this->beginMove(move));
    }
    return outcome;
}

ApplyOutcome OwnershipState::applyCommand(const ReleaseSlots& command)
{
    ApplyOutcome outcome { this->checkSession(command.upstream, command.session) };
    if (outcome.code != ResultCode::Ok) {
        return outcome;
    }
    const auto& upstream = this->upstreams.at(command.upstream).record;
    for (const auto& released : command.releases) {
        recordFirstFailure(outcome, this->release(upstream, released));
    }
    return outcome;
}

bool OwnershipState::canReceive(SlotId slot, UpstreamId target) const
{
    const auto* upstream = this->findUpstream(target);
    return upstream != nullptr && !upstream->isDraining && upstream->attachment.service == slot.service;
}

ResultCode OwnershipState::assign(const SlotAssignment& assignment)
{
    auto* record = this->editSlot(assignment.slot);
    if (record == nullptr) {
        return ResultCode::SlotUnknown;
    }
    if (record->fence != assignment.expectedFence || record->owner != UpstreamId {}) {
        return ResultCode::FenceOutdated;
    }
    if (!this->canReceive(assignment.slot, assignment.owner)) {
        return this->findUpstream(assignment.owner) == nullptr ? ResultCode::UpstreamUnknown : ResultCode::UpstreamDraining;
    }
    record->fence = Fence { this->index.value };
    this->setOwner(assignment.slot, *record, assignment.owner);
    return ResultCode::Ok;
}

ResultCode OwnershipState::beginMove(const SlotAssignment& move)
{
    auto* record = this->editSlot(move.slot);
    if (record == nullptr) {
        return ResultCode::SlotUnknown;
    }
    if (record->fence != move.expectedFence || record->owner == UpstreamId {} || record->owner == move.owner) {
        return ResultCode::FenceOutdated;
    }
    if (record->moveTarget != UpstreamId {} && this->canReceive(move.slot, record->moveTarget)) {
        return ResultCode::AlreadyApplied;
    }
    if (!this->canReceive(move.slot, move.owner)) {
        return this->findUpstream(move.owner) == nullptr ? ResultCode::UpstreamUnknown : ResultCode::UpstreamDraining;
    }
    record->moveTarget = move.owner;
    this->recordSlotChange(move.slot, record->owner);
    return ResultCode::Ok;
}

ResultCode OwnershipState::release(const UpstreamRecord& upstream, const SlotRelease& release)
{
    auto* record = this->editSlot(release.slot);
    if (record == nullptr) {
        return ResultCode::SlotUnknown;
    }
    if (record->owner != upstream.id || record->fence != release.fence) {
        return ResultCode::FenceOutdated;
    }
    const auto target = record->moveTarget;
    const bool checksGrants = upstream.attachment.checksGrants;
    this->freeSlot(release.slot, *record, checksGrants);
    // An entry VM that has not applied this command may still send requests to an owner that does not check grants, so
    // the next owner has to wait.
    if (checksGrants && target != UpstreamId {} && this->canReceive(release.slot, target)) {
        record->fence = Fence { this->index.value };
        this->setOwner(release.slot, *record, target);
    }
    return ResultCode::Ok;
}

SlotRecord* OwnershipState::editSlot(SlotId slot) noexcept
{
    return const_cast<SlotRecord*>(std::as_const(*this).findSlot(slot));
}

void OwnershipState::setOwner(SlotId slot, SlotRecord& record, UpstreamId owner)
{
    if (const auto former = this->upstreams.find(record.owner); former != this->upstreams.end()) {
        former->second.slots.erase(slot);
    }
    this->recordSlotChange(slot, record.owner);
    record.owner = owner;
    record.moveTarget = {};
    if (owner == UpstreamId {}) {
        this->unowned.insert(slot);
        return;
    }
    this->unowned.erase(slot);
    auto& upstream = this->upstreams.at(owner);
    upstream.slots.insert(slot);
    upstream.slotsChangedAt = this->index;
}

void OwnershipState::freeSlot(SlotId slot, SlotRecord& record, bool ownerChecksGrants)
{
    this->setOwner(slot, record, {});
    record.freedAt = this->index;
    record.lastOwnerChecksGrants = ownerChecksGrants;
}

void OwnershipState::recordSlotChange(SlotId slot, UpstreamId owner)
{
    if (const auto found = this->upstreams.find(owner); found != this->upstreams.end()) {
        found->second.slotsChangedAt = this->index;
    }
    if (this->changes.size() >= maxSlotChanges) {
        this->changesCompleteSince = this->changes.front().first;
        this->changes.pop_front();
    }
    this->changes.emplace_back(this->index, slot);
}

}
