#include "core/ownership/OwnershipState.h"

#include <algorithm>

namespace teaselturn {

ResultCode OwnershipState::checkAttachment(const AttachUpstream& command) const
{
    if (command.name.empty() || command.name.size() > maxUpstreamNameBytes || command.requestSlots == 0) {
        return ResultCode::HeartbeatInvalid;
    }
    if (!this->services.contains(command.service)) {
        return ResultCode::RequestServiceUnknown;
    }
    const auto& bundle = this->accepted->bundle;
    if (std::find(bundle.retiredZones.begin(), bundle.retiredZones.end(), command.zone) != bundle.retiredZones.end()) {
        return ResultCode::ZoneRetired;
    }
    if (std::none_of(bundle.zones.begin(), bundle.zones.end(), [&](const auto& zone) { return zone.id == command.zone; })) {
        return ResultCode::HeartbeatInvalid;
    }
    return ResultCode::Ok;
}

ResultCode OwnershipState::checkSession(UpstreamId upstream, SessionId session) const
{
    const auto* record = this->findUpstream(upstream);
    if (record == nullptr) {
        return ResultCode::UpstreamUnknown;
    }
    return record->session == session ? ResultCode::Ok : ResultCode::SessionOutdated;
}

ApplyOutcome OwnershipState::applyCommand(const AttachUpstream& command)
{
    if (const auto code = this->checkAttachment(command); code != ResultCode::Ok) {
        return { code };
    }
    const auto* existing = this->findUpstream(command.name, command.incarnation);
    const auto isNewAtLeaseManager = existing == nullptr || existing->attachment.leaseManager != command.leaseManager;
    if (isNewAtLeaseManager && this->upstreamsByLeaseManager[command.leaseManager].size() >= limits::maxUpstreamsPerLeaseManager) {
        return { ResultCode::TooManyUpstreams };
    }
    if (existing != nullptr) {
        return this->attachAgain(this->upstreams.at(existing->id), command);
    }
    if (this->upstreams.size() >= limits::maxUpstreams) {
        return { ResultCode::TooManyUpstreams };
    }
    const UpstreamId id { this->index.value };
    const SessionId session { this->index.value };
    this->addUpstream({ id, session, command, false });
    return { ResultCode::Ok, id, session };
}

ApplyOutcome OwnershipState::attachAgain(UpstreamState& upstream, const AttachUpstream& command)
{
    auto& record = upstream.record;
    if (record.attachment.service != command.service || record.attachment.zone != command.zone) {
        return { ResultCode::HeartbeatInvalid };
    }
    const auto isAcknowledged = command.acknowledgedSession == record.session;
    if (!isAcknowledged && record.unacknowledgedSessions >= maxUnacknowledgedSessions) {
        return { ResultCode::SessionOutdated };
    }
    record.unacknowledgedSessions = isAcknowledged ? 0 : record.unacknowledgedSessions + 1;
    // False if any attachment of the upstream did not check grants, because requests sent under it may still arrive.
    const bool checksGrants = record.attachment.checksGrants && command.checksGrants;
    this->upstreamsByLeaseManager[record.attachment.leaseManager].erase(record.id);
    this->upstreamsByLeaseManager[command.leaseManager].insert(record.id);
    record.attachment = command;
    record.attachment.checksGrants = checksGrants;
    record.session = SessionId { this->index.value };
    return { ResultCode::Ok, record.id, record.session };
}

ApplyOutcome OwnershipState::applyCommand(const ExpireUpstream& command)
{
    const auto code = this->checkSession(command.upstream, command.session);
    if (code == ResultCode::Ok) {
        this->removeUpstream(command.upstream, command.reason != ExpiryReason::ZoneRetired);
    }
    return { code };
}

ApplyOutcome OwnershipState::applyCommand(const DrainUpstream& command)
{
    if (const auto code = this->checkSession(command.upstream, command.session); code != ResultCode::Ok) {
        return { code };
    }
    auto& record = this->upstreams.at(command.upstream).record;
    const auto code = record.isDraining ? ResultCode::AlreadyApplied : ResultCode::Ok;
    record.isDraining = true;
    return { code };
}

void OwnershipState::addUpstream(UpstreamRecord record)
{
    const auto id = record.id;
    this->upstreamNames[record.attachment.name][record.attachment.incarnation] = id;
    this->upstreamsByLeaseManager[record.attachment.leaseManager].insert(id);
    this->upstreams[id] = { std::move(record), {}, this->index };
}

void OwnershipState::removeUpstream(UpstreamId id, bool leaseHasEnded)
{
    const auto found = this->upstreams.find(id);
    const auto attachment = found->second.record.attachment;
    const std::vector<SlotId> slots { found->second.slots.begin(), found->second.slots.end() };
    for (const auto slot : slots) {
        this->freeSlot(slot, *this->editSlot(slot), leaseHasEnded && attachment.checksGrants);
    }
    const auto leaseManager = this->upstreamsByLeaseManager.find(attachment.leaseManager);
    leaseManager->second.erase(id);
    if (leaseManager->second.empty()) {
        this->upstreamsByLeaseManager.erase(leaseManager);
    }
    const auto named = this->upstreamNames.find(attachment.name);
    named->second.erase(attachment.incarnation);
    if (named->second.empty()) {
        this->upstreamNames.erase(named);
    }
    this->upstreams.erase(id);
}

}
