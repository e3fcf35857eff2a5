#pragma once

#include "core/ownership/Coordinator.h"
#include "core/routing/RouteTable.h"

#include <algorithm>

namespace teaselturn {

/// Interval of rebalancing and hot-key decisions; unowned slots are assigned at every call.
inline constexpr std::chrono::seconds balanceInterval { 1 };
/// No rebalancing until this long after an election, since load measurements are still incomplete.
inline constexpr std::chrono::seconds balanceDelay { 10 };

/// An upstream process that lost its lease gets no slots for this long. One that freezes or receives no replies would
/// attach repeatedly and interrupt service for every slot assigned to it.
inline constexpr std::chrono::seconds probationLength { 10 };

template <PlacementPolicy Policy>
Coordinator<Policy>::Coordinator(Policy policy)
    : policy(std::move(policy))
{
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::becameLeader(Instant now, const OwnershipState& state)
{
    auto history = std::move(this->appliedHistory);
    *this = Coordinator { std::move(this->policy) };
    this->leaderSince = now;
    // Entries that this member applied one delegation length ago were committed before that under any leader, so their
    // time counts from when they were applied. Entries that it did not record, such as those of a snapshot, count from
    // now.
    this->appliedHistory = std::move(history);
    this->appliedHistory.recordApplied(now, state.appliedIndex());
    this->hotKeyWindow.reset(now);
    state.forEachUpstream([this](const UpstreamRecord& record) {
        this->identities.try_emplace(record.id, record.attachment.name, record.attachment.incarnation);
    });
}

template <PlacementPolicy Policy>
DelegationReply Coordinator<Policy>::delegate(Instant now, NodeId entry, const DelegationRequest& request, const OwnershipState& state)
{
    DelegationReply reply { request.sequence, ResultCode::DelegationMissing, {}, state.appliedIndex() };
    if (!state.hasEntryVm(entry)) {
        return reply;
    }
    // The entry VM could grant a lease under a session whose expiry is about to be applied.
    const auto isExpiring = [&](const auto& item) { return item.second.leaseManager == entry && item.second.boot == request.boot; };
    if (std::any_of(this->pendingExpiries.begin(), this->pendingExpiries.end(), isExpiring)) {
        return reply;
    }
    const auto* contact = this->delegations.find(entry);
    const bool isRepeated = contact != nullptr && contact->boot == request.boot && request.sequence <= contact->sequence;
    if (!this->delegations.renew(now, entry, request)) {
        return reply;
    }
    if (!isRepeated) {
        this->loads.add(request.loads);
        this->hotKeyWindow.add(now, request.loads, request.hotKeys);
    }
    reply.code = ResultCode::Ok;
    reply.length = timing::delegationLength;
    return reply;
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::delegationSent(Instant now, NodeId entry, BootId boot)
{
    this->delegations.extend(now, entry, boot);
}

template <PlacementPolicy Policy>
std::vector<Command> Coordinator<Policy>::decide(Instant now, const OwnershipState& state)
{
    std::vector<Command> commands;
    if (state.acceptedBundle() == nullptr) {
        return commands;
    }
    this->appliedBeforeDelegations = this->appliedHistory.appliedBeforeDelegations(now);
    this->appliedEverywhere = this->appliedBeforeDelegations;
    if (now >= this->leaderSince + timing::withDrift(timing::delegationLength)) {
        this->appliedEverywhere = std::max(this->appliedBeforeDelegations, this->delegations.appliedByHolders(now, state.appliedIndex()));
    }
    this->loads.updateRates(now);
    this->decideExpiries(now, state, commands);
    this->decideRollout(now, state, commands);
    this->decideHotKeys(now, state, commands);
    this->decidePlacement(now, state, commands);
    return commands;
}

template <PlacementPolicy Policy>
bool Coordinator<Policy>::mayTakeOver(Instant now, const UpstreamRecord& upstream, const OwnershipState& state) const
{
    const auto& attachment = upstream.attachment;
    // Delegations granted by earlier leaders may run until one delegation length after this leader's start.
    if (now < this->leaderSince + timing::withDrift(timing::delegationLength)) {
        return false;
    }
    // A session that this member applied less than one delegation length ago may have begun under a delegation that an
    // earlier leader granted, and the lease manager of an earlier session may still be renewing that session.
    if (upstream.session.value > this->appliedBeforeDelegations.value || !this->delegations.hasEnded(now, attachment.leaseManager, attachment.leaseManagerBoot)) {
        return false;
    }
    const auto haveAllApplied = [&](LogIndex index) {
        return state.allEntryVms([&](NodeId entry) { return this->delegations.hasApplied(entry, index); });
    };
    const auto moveSince = state.moveSince(attachment.service);
    if (moveSince != LogIndex {}) {
        // A lease manager that has not applied the change of rule from `keep` to `move` renews beyond its delegation.
        return upstream.id.value >= moveSince.value || haveAllApplied(moveSince);
    }
    return this->delegations.isSuperseded(now, attachment.leaseManager, attachment.leaseManagerBoot)
        && haveAllApplied({ upstream.session.value });
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::decideExpiries(Instant now, const OwnershipState& state, std::vector<Command>& commands)
{
    state.forEachUpstream([&](const UpstreamRecord& upstream) {
        const auto pending = this->pendingExpiries.find(upstream.id);
        const bool isPending = pending != this->pendingExpiries.end() && pending->second.session == upstream.session && pending->second.isProposed;
        if (isPending || commands.size() >= maxCommandsPerDecision || !this->mayTakeOver(now, upstream, state)) {
            return;
        }
        this->pendingExpiries[upstream.id] = { upstream.session, upstream.attachment.leaseManager, upstream.attachment.leaseManagerBoot, true };
        commands.push_back(ExpireUpstream { upstream.id, upstream.session, ExpiryReason::DelegationEnded });
    });
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::decideRollout(Instant now, const OwnershipState& state, std::vector<Command>& commands)
{
    const auto floor = this->leaderSince + timing::withDrift(timing::delegationLength);
    const auto next = this->rollout.next(now, floor, state, this->delegations);
    if (next && !this->isRolloutPending) {
        this->isRolloutPending = true;
        commands.push_back(*next);
    }
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::decideHotKeys(Instant now, const OwnershipState& state, std::vector<Command>& commands)
{
    if (now < this->lastHotKeysAt + balanceInterval) {
        return;
    }
    this->lastHotKeysAt = now;
    const auto cold = this->hotKeyWindow.coldKeys(now, state);
    this->merging = { cold.begin(), cold.end() };
    for (const auto slot : cold) {
        this->decideMerge(slot, state, commands);
    }
    for (auto& isolation : this->hotKeyWindow.hotKeys(now, state)) {
        const bool hasRoom = state.hotKeyCount() + this->pendingIsolations.size() < maxIsolatedHotKeys;
        if (hasRoom && this->pendingIsolations.emplace(isolation.service, isolation.key).second) {
            commands.push_back(std::move(isolation));
        }
    }
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::decideMerge(SlotId slot, const OwnershipState& state, std::vector<Command>& commands)
{
    const auto& hotKey = *state.findHotKey(slot);
    const auto partitions = state.partitions(slot.service);
    const auto& partition = partitions[hashKey(hotKey.key) % partitions.size()];
    const auto& record = hotKey.record;
    const bool isBusy = record.moveTarget != UpstreamId {} || partition.moveTarget != UpstreamId {} || this->pendingSlots.contains(slot);
    if (isBusy || record.owner == UpstreamId {} || partition.owner == UpstreamId {}) {
        return;
    }
    if (record.owner != partition.owner) {
        const SlotAssignment move { slot, partition.owner, record.fence };
        this->propose({ &move, 1 }, &BeginMove::moves, commands);
    } else if (this->pendingMerges.insert(slot).second) {
        commands.push_back(MergeHotKey { slot });
    }
}

template <PlacementPolicy Policy>
Duration Coordinator<Policy>::timeSinceAttached(Instant now, UpstreamId upstream) const
{
    // An upstream attached before this leader's term counts as fully warmed up.
    const auto found = this->attachedAt.find(upstream);
    return found == this->attachedAt.end() ? Duration::max() : now - found->second;
}

template <PlacementPolicy Policy>
bool Coordinator<Policy>::isOnProbation(Instant now, const UpstreamRecord& record) const
{
    const auto found = this->expiredAt.find({ record.attachment.name, record.attachment.incarnation });
    return found != this->expiredAt.end() && now < found->second + probationLength;
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::decidePlacement(Instant now, const OwnershipState& state, std::vector<Command>& commands)
{
    const bool isBalanceDue = now >= this->lastBalancedAt + balanceInterval;
    const PlacementInputs current { state.appliedIndex(), this->appliedEverywhere };
    if (!isBalanceDue && commands.empty() && this->lastPlacement == current) {
        return;
    }
    if (isBalanceDue) {
        this->lastBalancedAt = now;
    }
    absl::btree_map<ServiceId, std::vector<PlacementUpstream>> upstreams;
    absl::btree_map<ServiceId, std::vector<PlacementUpstream>> onProbation;
    absl::btree_set<ServiceId> draining;
    absl::erase_if(this->expiredAt, [now](const auto& item) { return now >= item.second + probationLength; });
    state.forEachUpstream([&](const UpstreamRecord& record) {
        // An upstream with a pending takeover gets no more slots.
        const bool isLeaving = record.isDraining || this->pendingExpiries.contains(record.id);
        const auto& attachment = record.attachment;
        auto& list = this->isOnProbation(now, record) ? onProbation : upstreams;
        list[attachment.service].push_back({ record.id, attachment.zone, attachment.requestSlots, this->timeSinceAttached(now, record.id), isLeaving });
        if (isLeaving && state.slotCount(record.id) > 0) {
            draining.insert(attachment.service);
        }
    });
    for (auto& [service, candidates] : onProbation) {
        // If a service has no other upstream, one on probation is better than none.
        upstreams.try_emplace(service, std::move(candidates));
    }
    for (const auto& [service, candidates] : upstreams) {
        const auto* spec = state.findService(service);
        const auto firstFree = state.freeSlots().lower_bound(SlotId { service, 0 });
        const bool hasFree = firstFree != state.freeSlots().end() && firstFree->service == service;
        if (spec != nullptr && (hasFree || isBalanceDue || draining.contains(service))) {
            this->placeServiceSlots(now, *spec, candidates, state, commands);
        }
    }
    // If the command limit was reached, some slots are still unassigned.
    this->lastPlacement = commands.size() < maxCommandsPerDecision ? std::optional { current } : std::nullopt;
}

template <PlacementPolicy Policy>
PlacementSlot Coordinator<Policy>::viewSlot(SlotId slot, const SlotRecord& record, const OwnershipState& state) const
{
    PlacementSlot view { slot, record.owner, record.fence, this->loads.rate(slot) };
    view.isAssignable = record.lastOwnerChecksGrants || record.freedAt <= this->appliedEverywhere;
    if (record.moveTarget != UpstreamId {}) {
        const auto* target = state.findUpstream(record.moveTarget);
        if (target != nullptr && !target->isDraining) {
            view.owner = target->id;
            view.isMoving = true;
        }
    }
    if (const auto pending = this->pendingSlots.find(slot); pending != this->pendingSlots.end()) {
        view.owner = pending->second;
        view.isMoving = true;
    }
    view.isMoving = view.isMoving || (view.owner != UpstreamId {} && this->merging.contains(slot));
    return view;
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::placeServiceSlots(Instant now, const ServiceSpec& service, std::span<const PlacementUpstream> upstreams, const OwnershipState& state, std::vector<Command>& commands)
{
    std::vector<PlacementSlot> slots;
    const auto partitions = state.partitions(service.id);
    slots.reserve(partitions.size());
    for (std::uint32_t i = 0; i < partitions.size(); ++i) {
        slots.push_back(this->viewSlot({ service.id, i }, partitions[i], state));
    }
    state.forEachHotKey([&](const HotKeyRecord& hotKey) {
        if (hotKey.slot.service == service.id) {
            slots.push_back(this->viewSlot(hotKey.slot, hotKey.record, state));
        }
    });
    const auto decision = this->policy.place(now, service, upstreams, slots, this->allowedMoves(now, service));
    this->propose(decision.assignments, &AssignSlots::assignments, commands);
    for (const auto& move : decision.moves) {
        const auto* owner = state.findUpstream(state.findSlot(move.slot)->owner);
        if (owner != nullptr && !owner->isDraining && !this->pendingExpiries.contains(owner->id)) {
            this->moves[service.id].push_back(now);
        }
    }
    this->propose(decision.moves, &BeginMove::moves, commands);
}

template <PlacementPolicy Policy>
std::size_t Coordinator<Policy>::allowedMoves(Instant now, const ServiceSpec& service)
{
    if (now < this->leaderSince + balanceDelay) {
        return 0;
    }
    auto& recent = this->moves[service.id];
    while (!recent.empty() && recent.front() + std::chrono::minutes { 1 } <= now) {
        recent.pop_front();
    }
    return service.movesPerMinute - std::min<std::size_t>(service.movesPerMinute, recent.size());
}

template <PlacementPolicy Policy>
template <typename Batch>
void Coordinator<Policy>::propose(std::span<const SlotAssignment> assignments, std::vector<SlotAssignment> Batch::*list, std::vector<Command>& commands)
{
    for (std::size_t i = 0; i < assignments.size() && commands.size() < maxCommandsPerDecision; i += maxSlotsPerCommand) {
        const auto part = assignments.subspan(i, std::min(maxSlotsPerCommand, assignments.size() - i));
        Batch batch;
        (batch.*list).assign(part.begin(), part.end());
        for (const auto& assignment : part) {
            this->pendingSlots[assignment.slot] = assignment.owner;
        }
        commands.push_back(std::move(batch));
    }
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::handleDroppedProposals()
{
    this->pendingSlots.clear();
    this->pendingIsolations.clear();
    this->pendingMerges.clear();
    this->isRolloutPending = false;
    this->lastPlacement.reset();
    // Some of them may have reached the log, so the affected entry VMs still get no delegation.
    for (auto& [upstream, pending] : this->pendingExpiries) {
        pending.isProposed = false;
    }
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::removePendingSlots(std::span<const SlotAssignment> assignments)
{
    for (const auto& assignment : assignments) {
        this->pendingSlots.erase(assignment.slot);
    }
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::removeDepartedUpstreams(const OwnershipState& state)
{
    const auto isGone = [&state](const auto& item) { return state.findUpstream(item.first) == nullptr; };
    absl::erase_if(this->attachedAt, isGone);
    absl::erase_if(this->identities, isGone);
    absl::erase_if(this->pendingExpiries, isGone);
}

template <PlacementPolicy Policy>
void Coordinator<Policy>::applied(Instant now, const LogEntry& entry, const ApplyOutcome& outcome, const OwnershipState& state)
{
    this->appliedHistory.recordApplied(now, entry.index);
    if (const auto* expire = std::get_if<ExpireUpstream>(&entry.command); expire != nullptr && outcome.code == ResultCode::Ok && expire->reason != ExpiryReason::Left) {
        if (const auto identity = this->identities.find(expire->upstream); identity != this->identities.end()) {
            this->expiredAt[identity->second] = now;
        }
    }
    if (const auto* assign = std::get_if<AssignSlots>(&entry.command)) {
        this->removePendingSlots(assign->assignments);
    } else if (const auto* begin = std::get_if<BeginMove>(&entry.command)) {
        this->removePendingSlots(begin->moves);
    } else if (const auto* isolation = std::get_if<IsolateHotKey>(&entry.command)) {
        this->pendingIsolations.erase({ isolation->service, isolation->key });
    } else if (const auto* merge = std::get_if<MergeHotKey>(&entry.command)) {
        this->pendingMerges.erase(merge->slot);
    } else if (std::holds_alternative<AdvanceRollout>(entry.command) || std::holds_alternative<AcceptBundle>(entry.command)) {
        this->isRolloutPending = false;
        this->removeDepartedUpstreams(state);
    } else if (std::holds_alternative<AttachUpstream>(entry.command) && outcome.code == ResultCode::Ok) {
        // A later session has another lease manager, or another boot of the same one.
        this->pendingExpiries.erase(outcome.upstream);
        const auto& attach = std::get<AttachUpstream>(entry.command);
        this->identities.try_emplace(outcome.upstream, attach.name, attach.incarnation);
        if (outcome.upstream.value == entry.index.value) {
            this->attachedAt[outcome.upstream] = now;
        }
    } else if (const auto* expire = std::get_if<ExpireUpstream>(&entry.command); expire != nullptr && outcome.code == ResultCode::Ok) {
        this->pendingExpiries.erase(expire->upstream);
        this->attachedAt.erase(expire->upstream);
        this->identities.erase(expire->upstream);
    }
}

}
