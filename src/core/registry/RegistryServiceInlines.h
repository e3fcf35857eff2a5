#pragma once

#include "core/registry/RegistryService.h"

#include <algorithm>

namespace teaselturn {

namespace registry {
    /// A member without a message from the leader for this long serves no feeds and redirects no control requests: its
    /// state may be stale. It also requests to join, because it may have been removed.
    inline constexpr std::chrono::milliseconds leaderContactTimeout { 1'000 };
    /// Interval between requests of a process to become a member.
    inline constexpr std::chrono::milliseconds joinInterval { 300 };
    /// Time after which a request to join expires.
    inline constexpr std::chrono::seconds joinRequestExpiry { 2 };
}

template <RandomSource Random, RegistryCodec Codec>
RegistryService<Random, Codec>::RegistryService(MemberState state, std::vector<NodeId> seeds, Random random, Codec codec, Instant now, RegistryOptions options)
    : self(state.node)
    , disk(state.disk)
    , seeds(std::move(seeds))
    , options(options)
    , member(state, options.election, std::move(random), now)
    , coordinator(options.leases)
    , codec(std::move(codec))
    , lastLeaderMessageAt(now - registry::leaderContactTimeout)
    , lastJoinRequestAt(now)
{
    if (state.snapshot) {
        this->installSnapshot(*state.snapshot);
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::tick(Instant now)
{
    this->member.tick(now);
    this->updateLeadership(now);
    this->proposeDecisions(now);
    this->requestToJoin(now);
    this->replyToFeeds(now);
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::receive(Instant now, NodeId from, const PeerMessage& message)
{
    if (const auto* request = std::get_if<FeedRequest>(&message)) {
        this->handleFeedRequest(now, from, *request);
    } else if (const auto* report = std::get_if<KeyLoadReport>(&message)) {
        this->handleLoadReport(now, from, *report);
    } else if (const auto* probe = std::get_if<MemberProbe>(&message)) {
        if (this->isUpToDate(now)) {
            this->send(from, MemberProbeReply { probe->sequence });
        } else {
            this->send(from, MemberUnavailableReply { probe->sequence });
        }
    } else if (const auto* join = std::get_if<JoinRequest>(&message)) {
        this->handleJoinRequest(now, from, *join);
    } else {
        this->member.receive(now, from, message);
        this->recordLeaderMessage(now, from, message);
    }
    this->updateLeadership(now);
}

template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::hasLeaderContact(Instant now) const noexcept
{
    return this->isActiveLeader(now) || (this->member.leader() != NodeId {} && this->member.leader() != this->self && now - this->lastLeaderMessageAt < registry::leaderContactTimeout);
}

template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::isUpToDate(Instant now) const noexcept
{
    if (this->isActiveLeader(now)) {
        return true;
    }
    // Until a leader commits an entry of its own term, the commit index that it reports may be far below the true one:
    // after a restart of all members it is zero.
    const bool isOfTerm = this->appliedTerm == this->member.term();
    return isOfTerm && this->hasLeaderContact(now) && this->previousLeaderCommit && this->registry.appliedIndex() >= *this->previousLeaderCommit;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::recordLeaderMessage(Instant now, NodeId from, const PeerMessage& message)
{
    std::optional<LogIndex> commit;
    if (const auto* append = std::get_if<AppendRequest>(&message)) {
        commit = append->commitIndex;
    } else if (const auto* chunk = std::get_if<SnapshotChunk>(&message)) {
        commit = chunk->lastIndex;
    }
    if (!commit || this->member.leader() != from) {
        return;
    }
    this->lastLeaderMessageAt = now;
    this->previousLeaderCommit = std::exchange(this->leaderCommit, commit);
}

template <RandomSource Random, RegistryCodec Codec>
ControlResult RegistryService<Random, Codec>::redirectToLeader() const
{
    const auto leader = this->member.leader();
    if (leader == NodeId {} || leader == this->self) {
        return LeaderUnavailable {};
    }
    return RedirectToLeader { leader };
}

template <RandomSource Random, RegistryCodec Codec>
std::optional<ControlResult> RegistryService<Random, Codec>::redirectForRead(Instant now) const
{
    if (this->isActiveLeader(now)) {
        return std::nullopt;
    }
    return this->hasLeaderContact(now) ? this->redirectToLeader() : ControlResult { LeaderUnavailable {} };
}

template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::propose(Instant now, Command command, ProposalWaiter waiter)
{
    const auto index = this->member.propose(now, std::move(command));
    if (!index) {
        return false;
    }
    this->pendingDecisions += std::holds_alternative<NoWaiter>(waiter) ? 1 : 0;
    this->pending.emplace(*index, PendingProposal { this->member.term(), std::move(waiter) });
    return true;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::depart(Instant now, ControlRequestId requestId, std::string_view upstream, std::optional<std::uint64_t> incarnation)
{
    if (auto redirect = this->redirectForRead(now)) {
        this->respond(requestId, std::move(*redirect));
        return;
    }
    const auto* registered = this->registry.findUpstream(upstream);
    if (registered == nullptr || registered->state == UpstreamState::Gone || (incarnation && registered->announcement.key.incarnation != *incarnation)) {
        this->respond(requestId, DepartureRecorded {});
        return;
    }
    if (!this->propose(now, RemoveUpstream { registered->announcement.key, true }, DepartureWaiter { requestId })) {
        this->respond(requestId, LeaderUnavailable {});
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::changeItems(Instant now, ControlRequestId requestId, ChangeItems change)
{
    if (auto redirect = this->redirectForRead(now)) {
        this->respond(requestId, std::move(*redirect));
        return;
    }
    if (const auto checked = this->registry.check(change); !checked) {
        this->respond(requestId, ItemsResult { static_cast<ResultCode>(checked.error().value()), checked.failure().detail });
        return;
    }
    if (this->registry.isAlreadyApplied(change)) {
        this->respond(requestId, ItemsResult {});
        return;
    }
    if (this->joinPendingChange(requestId, change)) {
        return;
    }
    if (!this->propose(now, change, ItemsWaiter { change, { requestId } })) {
        this->respond(requestId, LeaderUnavailable {});
    }
}

/// Adds the request to an equal change that is pending, so that both get the same result.
/// @return True if there is such a change.
template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::joinPendingChange(ControlRequestId requestId, const ChangeItems& change)
{
    for (auto& [index, proposal] : this->pending) {
        auto* items = std::get_if<ItemsWaiter>(&proposal.waiter);
        if (items != nullptr && items->change == change) {
            items->requestIds.push_back(requestId);
            return true;
        }
    }
    return false;
}

template <RandomSource Random, RegistryCodec Codec>
auto RegistryService<Random, Codec>::findPendingEvacuation(std::string_view zone) -> EvacuationWaiter*
{
    EvacuationWaiter* latest = nullptr;
    for (auto& [index, proposal] : this->pending) {
        auto* waiter = std::get_if<EvacuationWaiter>(&proposal.waiter);
        if (waiter != nullptr && waiter->order.zone == zone) {
            latest = waiter;
        }
    }
    return latest;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::evacuate(Instant now, ControlRequestId requestId, EvacuateZone order)
{
    if (auto redirect = this->redirectForRead(now)) {
        this->respond(requestId, std::move(*redirect));
        return;
    }
    // An order that is being committed may be the opposite of the one in force, so it decides before that.
    auto* pendingOrder = this->findPendingEvacuation(order.zone);
    if (pendingOrder != nullptr && pendingOrder->order == order) {
        pendingOrder->requestIds.push_back(requestId);
        return;
    }
    if (pendingOrder == nullptr && this->registry.isEvacuated(order.zone) == order.isEvacuated) {
        this->respond(requestId, EvacuationRecorded {});
        return;
    }
    if (!this->propose(now, order, EvacuationWaiter { order, { requestId } })) {
        this->respond(requestId, LeaderUnavailable {});
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::updateLeadership(Instant now)
{
    const auto isLeader = this->member.role() == MemberRole::Leader;
    if (this->coordinatedTerm != Term {} && (!isLeader || this->member.term() != this->coordinatedTerm)) {
        this->coordinatedTerm = Term {};
        this->failPendingProposals();
    }
    // The leader lease implies that an entry of this term is committed, so the applied state includes every earlier
    // entry.
    if (isLeader && this->coordinatedTerm == Term {} && this->member.hasLeaderLease(now) && this->registry.appliedIndex() >= this->member.commitIndex()) {
        this->coordinatedTerm = this->member.term();
        this->coordinator.becameLeader(now, this->registry);
        this->joiners.clear();
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::proposeDecisions(Instant now)
{
    if (!this->isActiveLeader(now)) {
        return;
    }
    this->changeMembers(now);
    if (this->pendingDecisions > 0) {
        return;
    }
    for (auto& command : this->coordinator.decide(now, this->registry)) {
        if (!this->propose(now, std::move(command), NoWaiter {})) {
            return;
        }
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::changeMembers(Instant now)
{
    std::vector<JoinCandidate> candidates;
    for (const auto& [node, joiner] : this->joiners) {
        if (now - joiner.lastRequestAt <= registry::joinRequestExpiry) {
            candidates.push_back({ node, joiner.disk });
        }
    }
    std::vector<MemberContact> contacts;
    for (const auto& spec : this->member.members()) {
        contacts.push_back({ spec, this->member.timeSinceContact(spec.node, now) });
    }
    for (auto& change : planMembershipChanges(contacts, candidates, this->options.joins)) {
        // The member refuses a change while another is pending, and the promotion of a learner that lags.
        if (this->member.propose(now, std::move(change))) {
            return;
        }
    }
}

template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::isConfirmedMember(Instant now) const
{
    const auto isListed = std::ranges::any_of(this->member.members(), [this](const MemberSpec& spec) { return spec.node == this->self && spec.disk == this->disk; });
    return isListed && (this->member.role() == MemberRole::Leader || now - this->lastLeaderMessageAt < registry::leaderContactTimeout);
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::requestToJoin(Instant now)
{
    if (this->isConfirmedMember(now) || now - this->lastJoinRequestAt < registry::joinInterval) {
        return;
    }
    this->lastJoinRequestAt = now;
    std::vector<NodeId> targets { this->seeds };
    std::ranges::transform(this->member.members(), std::back_inserter(targets), &MemberSpec::node);
    std::ranges::sort(targets);
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    for (const auto node : targets) {
        if (node != this->self) {
            this->send(node, JoinRequest { this->self, this->disk });
        }
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::handleJoinRequest(Instant now, NodeId from, const JoinRequest& request)
{
    if (this->isActiveLeader(now)) {
        this->joiners[request.node] = Joiner { request.disk, now };
    } else if (from == request.node && this->hasLeaderContact(now)) {
        this->send(this->member.leader(), request);
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::handleLoadReport(Instant now, NodeId from, const KeyLoadReport& report)
{
    if (this->isActiveLeader(now)) {
        this->coordinator.addLoad(now, report, this->registry);
        this->send(report.entry, KeyLoadReply { this->coordinator.entryVmCount(now) });
    } else if (from == report.entry && this->hasLeaderContact(now)) {
        this->send(this->member.leader(), report);
    }
}

template <RandomSource Random, RegistryCodec Codec>
std::vector<ControlRequestId> RegistryService<Random, Codec>::requestIdsOf(const ProposalWaiter& waiter)
{
    if (const auto* heartbeat = std::get_if<HeartbeatWaiter>(&waiter)) {
        return { heartbeat->requestId };
    }
    if (const auto* items = std::get_if<ItemsWaiter>(&waiter)) {
        return items->requestIds;
    }
    if (const auto* departure = std::get_if<DepartureWaiter>(&waiter)) {
        return { departure->requestId };
    }
    const auto* evacuation = std::get_if<EvacuationWaiter>(&waiter);
    return evacuation == nullptr ? std::vector<ControlRequestId> {} : evacuation->requestIds;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::failPendingProposals()
{
    std::vector<ControlRequestId> requestIds;
    for (const auto& [index, proposal] : this->pending) {
        std::ranges::copy(requestIdsOf(proposal.waiter), std::back_inserter(requestIds));
    }
    while (const auto held = this->heldHeartbeats.takeAny()) {
        requestIds.push_back(held->requestId);
    }
    for (const auto requestId : requestIds) {
        this->respond(requestId, LeaderUnavailable {});
    }
    this->pending.clear();
    this->pendingDecisions = 0;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::completeProposal(Instant now, const LogEntry& entry, const ApplyOutcome& outcome)
{
    const auto found = this->pending.find(entry.index);
    if (found == this->pending.end()) {
        return;
    }
    const auto proposal = std::move(found->second);
    this->pending.erase(found);
    const bool isCommitted = proposal.term == entry.term;
    if (std::holds_alternative<NoWaiter>(proposal.waiter)) {
        --this->pendingDecisions;
    } else if (const auto* heartbeat = std::get_if<HeartbeatWaiter>(&proposal.waiter)) {
        if (isCommitted && this->isActiveLeader(now)) {
            this->handleRegisteredHeartbeat(now, heartbeat->requestId, heartbeat->heartbeat);
        } else {
            this->respond(heartbeat->requestId, LeaderUnavailable {});
        }
    } else if (const auto* items = std::get_if<ItemsWaiter>(&proposal.waiter)) {
        for (const auto requestId : items->requestIds) {
            this->respond(requestId, isCommitted ? ControlResult { ItemsResult { outcome.code, {} } } : ControlResult { LeaderUnavailable {} });
        }
    } else if (const auto* departure = std::get_if<DepartureWaiter>(&proposal.waiter)) {
        this->respond(departure->requestId, isCommitted ? ControlResult { DepartureRecorded {} } : ControlResult { LeaderUnavailable {} });
    } else if (const auto* evacuation = std::get_if<EvacuationWaiter>(&proposal.waiter)) {
        for (const auto requestId : evacuation->requestIds) {
            this->respond(requestId, isCommitted ? ControlResult { EvacuationRecorded { outcome.code } } : ControlResult { LeaderUnavailable {} });
        }
    }
}

template <RandomSource Random, RegistryCodec Codec>
RegistryEffects RegistryService<Random, Codec>::takeEffects(Instant now)
{
    RegistryEffects effects;
    effects.storage = this->member.takeEffects();
    this->lastTakenIndex = this->member.lastIndex();
    if (effects.storage.install) {
        this->installSnapshot(*effects.storage.install);
    }
    this->applyCommitted(now, std::move(effects.storage.committed));
    effects.storage.committed.clear();
    this->updateLeadership(now);
    this->replyToHeartbeats(now);
    this->replyToFeeds(now);
    effects.applied = std::exchange(this->appliedCommands, {});
    effects.responses = std::exchange(this->responses, {});
    effects.immediate = std::exchange(effects.storage.immediate, {});
    effects.afterPersist = std::exchange(effects.storage.afterPersist, {});
    std::ranges::move(std::exchange(this->outboundMessages, {}), std::back_inserter(effects.immediate));
    const auto applied = this->registry.appliedIndex();
    if (this->snapshotSchedule.begin(this->member.firstIndex(), applied)) {
        const auto members = this->member.membersAt(applied);
        effects.snapshot = LedgerSnapshot { applied, this->appliedTerm, { members.begin(), members.end() }, this->codec.encode(this->registry.snapshot()) };
    }
    return effects;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::installSnapshot(const LedgerSnapshot& snapshot)
{
    auto decoded = this->codec.decode(snapshot.bytes);
    if (!decoded) {
        this->failure = decoded.failure();
        return;
    }
    this->registry.restore(std::move(*decoded));
    this->appliedTerm = snapshot.lastTerm;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::applyCommitted(Instant now, std::vector<LogEntry> entries)
{
    for (auto& entry : entries) {
        if (entry.index <= this->registry.appliedIndex()) {
            continue;
        }
        const auto outcome = this->registry.apply(entry.index, entry.command);
        this->appliedTerm = entry.term;
        this->snapshotSchedule.recordApplied(entry.command);
        this->recordUpdatedUpstreams(entry.command);
        this->completeProposal(now, entry, outcome);
        this->appliedCommands.push_back({ std::move(entry), outcome });
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::persisted(Instant now)
{
    this->member.persisted(now, this->lastTakenIndex);
    this->updateLeadership(now);
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::snapshotSaved(const LedgerSnapshot& snapshot)
{
    this->snapshotSchedule.recordSaved();
    this->member.compacted(snapshot);
}

}

#include "core/registry/RegistryFeedInlines.h"
#include "core/registry/RegistryHeartbeatInlines.h"
