#include "core/ownership/LeaseManager.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace teaselturn {

namespace {

    /// Lease length assumed for an upstream that has not been granted a lease yet.
    constexpr auto firstLease = timing::withDrift(timing::leaseLength);

    bool contains(const std::vector<SlotRelease>& list, const SlotRelease& item)
    {
        return std::find(list.begin(), list.end(), item) != list.end();
    }

    std::uint64_t versionOf(const std::vector<SlotRelease>& grants)
    {
        // Hashes field by field, since the structure has padding.
        std::uint64_t version = 0;
        for (const auto& grant : grants) {
            const std::array<std::uint64_t, 3> fields { std::uint64_t { grant.slot.service.value } << 32U | grant.slot.index, grant.fence.value, version };
            version = XXH3_64bits(fields.data(), sizeof(fields)) | 1U;
        }
        return version;
    }

}

LeaseManager::LeaseManager(NodeId node, BootId boot)
    : node(node)
    , boot(boot)
{
}

bool LeaseManager::PendingProposal::startIfDue(Instant now) noexcept
{
    if (this->proposedAt && now < *this->proposedAt + proposalResendInterval) {
        return false;
    }
    this->proposedAt = now;
    return true;
}

void LeaseManager::addDelegation(Instant sentAt, const DelegationReply& reply) { this->delegations.add(sentAt, reply); }

Instant LeaseManager::delegationEnd() const noexcept { return this->delegations.end(); }

bool LeaseManager::isTableFresh(Instant now, LogIndex appliedIndex) const noexcept { return now < this->delegations.usableUntil(appliedIndex); }

std::size_t LeaseManager::upstreamCount() const noexcept { return this->attachedSessions.size(); }

bool LeaseManager::isValid(const Heartbeat& heartbeat) noexcept
{
    return !heartbeat.name.empty() && heartbeat.name.size() <= maxUpstreamNameBytes && heartbeat.requestSlots > 0
        && heartbeat.connectionLimit > 0 && heartbeat.endpoint.port != 0;
}

bool LeaseManager::isAttachedHere(const UpstreamRecord& record) const noexcept
{
    return record.attachment.leaseManager == this->node && record.attachment.leaseManagerBoot == this->boot;
}

LeaseManager::AttachedSession& LeaseManager::findOrAddSession(Instant now, const UpstreamRecord& record)
{
    auto& attachedSession = this->attachedSessions[record.id];
    if (attachedSession.session != record.session) {
        attachedSession = {};
        attachedSession.session = record.session;
        // A former lease manager may have renewed an earlier session until its delegation ended. Before it can use a
        // later delegation, it must apply the entry that attached the upstream here. The first session of an upstream
        // has no predecessor.
        const bool isFirst = record.session.value == record.id.value;
        attachedSession.isConfirmed = isFirst;
        attachedSession.leaseEnd = now + (isFirst ? firstLease : timing::withDrift(timing::delegationLength));
    }
    return attachedSession;
}

HeartbeatDecision LeaseManager::handleHeartbeat(Instant now, const Heartbeat& heartbeat, const OwnershipState& state)
{
    if (!isValid(heartbeat)) {
        return { ResultCode::HeartbeatInvalid };
    }
    const auto* record = state.findUpstream(heartbeat.name, heartbeat.incarnation);
    if (record == nullptr && heartbeat.isLeaving) {
        HeartbeatDecision decision { ResultCode::UpstreamUnknown };
        // Its slots may have been reassigned since its last heartbeat. The empty list of grants tells the upstream that
        // it may exit.
        decision.reply.session = heartbeat.session;
        decision.reply.grantsIncluded = true;
        return decision;
    }
    if (record == nullptr || !this->isAttachedHere(*record) || heartbeat.session > record->session) {
        return this->attach(now, heartbeat, state);
    }
    auto& attachedSession = this->findOrAddSession(now, *record);
    if (attachedSession.expiry) {
        // No lease is granted after the expiry was proposed, since it may be applied at any moment.
        return *attachedSession.expiry == ExpiryReason::Left ? HeartbeatDecision { ResultCode::UpstreamDraining } : this->attach(now, heartbeat, state);
    }
    HeartbeatDecision decision;
    decision.reply.upstream = record->id;
    decision.reply.session = record->session;
    if (heartbeat.session != record->session) {
        decision.code = ResultCode::SessionOutdated;
        return decision;
    }
    this->fillReply(now, heartbeat, state, attachedSession, decision);
    return decision;
}

HeartbeatDecision LeaseManager::attach(Instant now, const Heartbeat& heartbeat, const OwnershipState& state)
{
    const auto* bundle = state.acceptedBundle();
    if (bundle == nullptr || state.partitions(heartbeat.service).empty()) {
        return { ResultCode::RequestServiceUnknown };
    }
    const auto& retired = bundle->bundle.retiredZones;
    if (std::find(retired.begin(), retired.end(), heartbeat.zone) != retired.end()) {
        return { ResultCode::ZoneRetired };
    }
    const AttachKey key { heartbeat.name, heartbeat.incarnation };
    if (!this->attaching.contains(key) && this->attachedSessions.size() + this->attaching.size() >= limits::maxUpstreamsPerLeaseManager) {
        return { ResultCode::TooManyUpstreams };
    }
    HeartbeatDecision decision { ResultCode::SessionOutdated };
    if (const auto* record = state.findUpstream(heartbeat.name, heartbeat.incarnation)) {
        // The reply names the current session, since the upstream must acknowledge it before it may begin many more.
        decision.reply.upstream = record->id;
        decision.reply.session = record->session;
    }
    if (this->attaching[key].startIfDue(now)) {
        decision.proposal = AttachUpstream { heartbeat.name, heartbeat.incarnation, heartbeat.service, heartbeat.zone,
            heartbeat.endpoint, heartbeat.requestSlots, heartbeat.connectionLimit, heartbeat.checksGrants, this->node, this->boot, heartbeat.session };
    }
    return decision;
}

std::chrono::milliseconds LeaseManager::leaseFor(Instant now, const UpstreamRecord& record, const OwnershipState& state) const
{
    if (state.keepsLeasesAfterDelegation(record.attachment.service)) {
        return timing::leaseLength;
    }
    const auto rest = std::chrono::floor<std::chrono::milliseconds>(this->delegations.usableUntil(state.appliedIndex()) - now);
    return std::clamp(rest, std::chrono::milliseconds::zero(), timing::leaseLength);
}

void LeaseManager::fillReply(Instant now, const Heartbeat& heartbeat, const OwnershipState& state, AttachedSession& attachedSession, HeartbeatDecision& decision)
{
    const auto& record = *state.findUpstream(decision.reply.upstream);
    auto& reply = decision.reply;
    if (!attachedSession.isConfirmed) {
        // Any lease of an earlier session was requested before this heartbeat.
        attachedSession.isConfirmed = true;
        attachedSession.leaseEnd = now + firstLease;
    }
    if (heartbeat.isLeaving && !attachedSession.isDrainRequested) {
        attachedSession.isDrainRequested = true;
        attachedSession.drainingSince = now;
    }
    if (recordReleases(attachedSession, heartbeat, record.id, state)) {
        attachedSession.releaseProposal = {};
    }
    removeAppliedReleases(attachedSession, record.id, state);
    listGrants(now, attachedSession, record, state);
    reply.lease = this->leaseFor(now, record, state);
    if (reply.lease == std::chrono::milliseconds::zero()) {
        decision.code = ResultCode::DelegationMissing;
        reply.grantsIncluded = heartbeat.grantsVersion != 0;
    } else {
        // Counted from now already, in case the reply leaves but handleHeartbeatReplySent() is not reached.
        attachedSession.leaseEnd = std::max(attachedSession.leaseEnd, now + timing::withDrift(reply.lease));
        reply.grantsVersion = attachedSession.version;
        reply.grantsIncluded = heartbeat.grantsVersion != attachedSession.version;
        if (reply.grantsIncluded) {
            reply.grants = attachedSession.grants;
        }
    }
    reply.releaseWanted = attachedSession.slotsToRelease;
    decision.proposal = this->nextProposal(now, record, attachedSession, state);
}

void LeaseManager::handleHeartbeatReplySent(Instant now, UpstreamId upstream, SessionId session, std::chrono::milliseconds lease)
{
    const auto found = this->attachedSessions.find(upstream);
    if (found != this->attachedSessions.end() && found->second.session == session && lease > std::chrono::milliseconds::zero()) {
        found->second.leaseEnd = std::max(found->second.leaseEnd, now + timing::withDrift(lease));
    }
}

bool LeaseManager::recordReleases(AttachedSession& attachedSession, const Heartbeat& heartbeat, UpstreamId upstream, const OwnershipState& state)
{
    bool isNew = false;
    for (const auto& released : heartbeat.released) {
        const auto* slot = state.findSlot(released.slot);
        if (slot != nullptr && slot->owner == upstream && slot->fence == released.fence && !contains(attachedSession.releasedSlots, released)) {
            attachedSession.releasedSlots.push_back(released);
            attachedSession.grantsListedAt = {};
            isNew = true;
        }
    }
    return isNew;
}

void LeaseManager::removeAppliedReleases(AttachedSession& attachedSession, UpstreamId upstream, const OwnershipState& state)
{
    std::erase_if(attachedSession.releasedSlots, [&](const SlotRelease& release) {
        const auto* slot = state.findSlot(release.slot);
        return slot == nullptr || slot->owner != upstream || slot->fence != release.fence;
    });
}

void LeaseManager::listGrants(Instant now, AttachedSession& attachedSession, const UpstreamRecord& record, const OwnershipState& state)
{
    const auto changedAt = state.slotsChangedAt(record.id);
    const bool isForLeaving = attachedSession.isDrainRequested && record.isDraining && now >= attachedSession.drainingSince + leavingTimeout;
    if (attachedSession.grantsListedAt == changedAt && attachedSession.grantsListedAt != LogIndex {} && attachedSession.isListedForLeaving == isForLeaving) {
        return;
    }
    attachedSession.grants.clear();
    attachedSession.slotsToRelease.clear();
    for (const auto& owned : state.slotsOf(record.id)) {
        const bool isMoving = state.findSlot(owned.slot)->moveTarget != UpstreamId {};
        if (isForLeaving || isMoving || contains(attachedSession.releasedSlots, owned)) {
            attachedSession.slotsToRelease.push_back(owned);
        } else {
            attachedSession.grants.push_back(owned);
        }
    }
    attachedSession.isListedForLeaving = isForLeaving;
    attachedSession.version = versionOf(attachedSession.grants);
    attachedSession.grantsListedAt = changedAt;
}

std::optional<Command> LeaseManager::nextProposal(Instant now, const UpstreamRecord& record, AttachedSession& attachedSession, const OwnershipState& state)
{
    if (attachedSession.isDrainRequested && !record.isDraining && attachedSession.drainProposal.startIfDue(now)) {
        return DrainUpstream { record.id, record.session };
    }
    if (!attachedSession.releasedSlots.empty() && attachedSession.releaseProposal.startIfDue(now)) {
        return ReleaseSlots { record.id, record.session, attachedSession.releasedSlots };
    }
    if (attachedSession.isDrainRequested && record.isDraining && state.slotCount(record.id) == 0 && !attachedSession.expiry) {
        attachedSession.expiry = ExpiryReason::Left;
    }
    if (attachedSession.expiry && attachedSession.expiryProposal.startIfDue(now)) {
        return ExpireUpstream { record.id, record.session, *attachedSession.expiry };
    }
    return std::nullopt;
}

bool LeaseManager::hasLeaseEnded(Instant now, const UpstreamRecord& record, const AttachedSession& attachedSession, const OwnershipState& state) const
{
    // If leases outlast delegations, or did when the upstream was first attached, a former lease manager that is cut
    // off may renew an earlier session indefinitely, until the upstream itself has learned of the later one.
    const auto moveSince = state.moveSince(record.attachment.service);
    const bool wasEverKept = moveSince == LogIndex {} || record.id.value < moveSince.value;
    const bool mayBeRenewedElsewhere = !attachedSession.isConfirmed && wasEverKept;
    return now >= attachedSession.leaseEnd && !mayBeRenewedElsewhere;
}

std::vector<Command> LeaseManager::tick(Instant now, const OwnershipState& state)
{
    absl::erase_if(this->attachedSessions, [&](const auto& item) {
        const auto* record = state.findUpstream(item.first);
        return record == nullptr || record->session != item.second.session || !this->isAttachedHere(*record);
    });
    absl::erase_if(this->attaching, [&](const auto& item) {
        return now >= *item.second.proposedAt + proposalResendInterval;
    });
    std::vector<Command> proposals;
    state.forEachUpstreamOf(this->node, [&](const UpstreamRecord& record) {
        if (!this->isAttachedHere(record)) {
            return;
        }
        auto& attachedSession = this->findOrAddSession(now, record);
        removeAppliedReleases(attachedSession, record.id, state);
        if (!attachedSession.expiry && this->hasLeaseEnded(now, record, attachedSession, state)) {
            attachedSession.expiry = ExpiryReason::LeaseEnded;
        }
        if (auto proposal = this->nextProposal(now, record, attachedSession, state)) {
            proposals.push_back(std::move(*proposal));
        }
    });
    return proposals;
}

}
