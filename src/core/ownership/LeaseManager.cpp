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
    auto& held = this->attachedSessions[record.id];
    if (held.session != record.session) {
        held = {};
        held.session = record.session;
        // A former lease manager may have renewed an earlier session until its delegation ended. Before it can use a
        // later delegation, it must apply the entry that attached the upstream here. The first session of an upstream
        // has no predecessor.
        const bool isFirst = record.session.value == record.id.value;
        held.isConfirmed = isFirst;
        held.leaseEnd = now + (isFirst ? firstLease : timing::withDrift(timing::delegationLength));
    }
    return held;
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
    auto& held = this->findOrAddSession(now, *record);
    if (held.expiry) {
        // No lease is granted after the expiry was proposed, since it may be applied at any moment.
        return *held.expiry == ExpiryReason::Left ? HeartbeatDecision { ResultCode::UpstreamDraining } : this->attach(now, heartbeat, state);
    }
    HeartbeatDecision decision;
    decision.reply.upstream = record->id;
    decision.reply.session = record->session;
    if (heartbeat.session != record->session) {
        decision.code = ResultCode::SessionOutdated;
        return decision;
    }
    this->fillReply(now, heartbeat, state, held, decision);
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

void LeaseManager::fillReply(Instant now, const Heartbeat& heartbeat, const OwnershipState& state, AttachedSession& held, HeartbeatDecision& decision)
{
    const auto& record = *state.findUpstream(decision.reply.upstream);
    auto& reply = decision.reply;
    if (!held.isConfirmed) {
        // Any lease of an earlier session was requested before this heartbeat.
        held.isConfirmed = true;
        held.leaseEnd = now + firstLease;
    }
    if (heartbeat.isLeaving && !held.isDrainRequested) {
        held.isDrainRequested = true;
        held.drainingSince = now;
    }
    if (recordReleases(held, heartbeat, record.id, state)) {
        held.releaseProposal = {};
    }
    removeAppliedReleases(held, record.id, state);
    listGrants(now, held, record, state);
    reply.lease = this->leaseFor(now, record, state);
    if (reply.lease == std::chrono::milliseconds::zero()) {
        decision.code = ResultCode::DelegationMissing;
        reply.grantsIncluded = heartbeat.grantsVersion != 0;
    } else {
        // Counted from now already, in case the reply leaves but handleHeartbeatReplySent() is not reached.
        held.leaseEnd = std::max(held.leaseEnd, now + timing::withDrift(reply.lease));
        reply.grantsVersion = held.version;
        reply.grantsIncluded = heartbeat.grantsVersion != held.version;
        if (reply.grantsIncluded) {
            reply.grants = held.grants;
        }
    }
    reply.releaseWanted = held.slotsToRelease;
    decision.proposal = this->nextProposal(now, record, held, state);
}

void LeaseManager::handleHeartbeatReplySent(Instant now, UpstreamId upstream, SessionId session, std::chrono::milliseconds lease)
{
    const auto found = this->attachedSessions.find(upstream);
    if (found != this->attachedSessions.end() && found->second.session == session && lease > std::chrono::milliseconds::zero()) {
        found->second.leaseEnd = std::max(found->second.leaseEnd, now + timing::withDrift(lease));
    }
}

bool LeaseManager::recordReleases(AttachedSession& held, const Heartbeat& heartbeat, UpstreamId upstream, const OwnershipState& state)
{
    bool isNew = false;
    for (const auto& released : heartbeat.released) {
        const auto* slot = state.findSlot(released.slot);
        if (slot != nullptr && slot->owner == upstream && slot->fence == released.fence && !contains(held.releasedSlots, released)) {
            held.releasedSlots.push_back(released);
            held.grantsListedAt = {};
            isNew = true;
        }
    }
    return isNew;
}

void LeaseManager::removeAppliedReleases(AttachedSession& held, UpstreamId upstream, const OwnershipState& state)
{
    std::erase_if(held.releasedSlots, [&](const SlotRelease& release) {
        const auto* slot = state.findSlot(release.slot);
        return slot == nullptr || slot->owner != upstream || slot->fence != release.fence;
    });
}

void LeaseManager::listGrants(Instant now, AttachedSession& held, const UpstreamRecord& record, const OwnershipState& state)
{
    const auto changedAt = state.slotsChangedAt(record.id);
    const bool isForLeaving = held.isDrainRequested && record.isDraining && now >= held.drainingSince + leavingTimeout;
    if (held.grantsListedAt == changedAt && held.grantsListedAt != LogIndex {} && held.isListedForLeaving == isForLeaving) {
        return;
    }
    held.grants.clear();
    held.slotsToRelease.clear();
    for (const auto& owned : state.slotsOf(record.id)) {
        const bool isMoving = state.findSlot(owned.slot)->moveTarget != UpstreamId {};
        if (isForLeaving || isMoving || contains(held.releasedSlots, owned)) {
            held.slotsToRelease.push_back(owned);
        } else {
            held.grants.push_back(owned);
        }
    }
    held.isListedForLeaving = isForLeaving;
    held.version = versionOf(held.grants);
    held.grantsListedAt = changedAt;
}

std::optional<Command> LeaseManager::nextProposal(Instant now, const UpstreamRecord& record, AttachedSession& held, const OwnershipState& state)
{
    if (held.isDrainRequested && !record.isDraining && held.drainProposal.startIfDue(now)) {
        return DrainUpstream { record.id, record.session };
    }
    if (!held.releasedSlots.empty() && held.releaseProposal.startIfDue(now)) {
        return ReleaseSlots { record.id, record.session, held.releasedSlots };
    }
    if (held.isDrainRequested && record.isDraining && state.slotCount(record.id) == 0 && !held.expiry) {
        held.expiry = ExpiryReason::Left;
    }
    if (held.expiry && held.expiryProposal.startIfDue(now)) {
        return ExpireUpstream { record.id, record.session, *held.expiry };
    }
    return std::nullopt;
}

bool LeaseManager::hasLeaseEnded(Instant now, const UpstreamRecord& record, const AttachedSession& held, const OwnershipState& state) const
{
    // If leases outlast delegations, or did when the upstream was first attached, a former lease manager that is cut
    // off may renew an earlier session indefinitely, until the upstream itself has learned of the later one.
    const auto moveSince = state.moveSince(record.attachment.service);
    const bool wasEverKept = moveSince == LogIndex {} || record.id.value < moveSince.value;
    const bool mayBeRenewedElsewhere = !held.isConfirmed && wasEverKept;
    return now >= held.leaseEnd && !mayBeRenewedElsewhere;
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
        auto& held = this->findOrAddSession(now, record);
        removeAppliedReleases(held, record.id, state);
        if (!held.expiry && this->hasLeaseEnded(now, record, held, state)) {
            held.expiry = ExpiryReason::LeaseEnded;
        }
        if (auto proposal = this->nextProposal(now, record, held, state)) {
            proposals.push_back(std::move(*proposal));
        }
    });
    return proposals;
}

}
