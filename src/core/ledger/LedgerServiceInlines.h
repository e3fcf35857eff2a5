#pragma once

#include "core/ledger/LedgerService.h"
#include "core/ownership/MemberPlan.h"

#include <algorithm>

namespace teaselturn {

/// How long a member holds a feed request open if it has no new entries.
inline constexpr Duration feedHold = std::chrono::milliseconds { 500 };
/// Maximum size of the snapshot part in one feed reply, in bytes.
inline constexpr std::size_t feedSnapshotPartBytes = 48 * 1024;

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
LedgerService<Random, Policy, Codec>::LedgerService(MemberState state, MemberTiming timing, Random random, Policy policy, BundleCheck check, Codec codec, Instant now, LedgerOptions options)
    : self(state.node)
    , member(state, timing, std::move(random), now)
    , ownership(std::move(check))
    , coordinator(std::move(policy))
    , codec(std::move(codec))
    , options(options)
{
    if (state.snapshot) {
        this->install(*state.snapshot);
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::tick(Instant now)
{
    this->member.tick(now);
    this->updateLeadership(now);
    this->proposeDecisions(now);
    this->replyToFeedRequests(now);
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::receive(Instant now, NodeId from, const PeerMessage& message)
{
    if (const auto* request = std::get_if<DelegationRequest>(&message)) {
        this->handleDelegationRequest(now, from, *request);
    } else if (const auto* request = std::get_if<ProposeRequest>(&message)) {
        this->handleProposeRequest(now, from, *request);
    } else if (const auto* request = std::get_if<FeedRequest>(&message)) {
        this->handleFeedRequest(now, from, *request);
    } else {
        this->member.receive(now, from, message);
    }
    this->updateLeadership(now);
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::handleDelegationRequest(Instant now, NodeId from, const DelegationRequest& request)
{
    if (this->coordinatedTerm == Term {} || !this->member.hasLeaderLease(now)) {
        this->sendReply(from, DelegationReply { request.sequence, ResultCode::NotLeader, {}, this->member.commitIndex(), this->member.leader() });
        return;
    }
    auto reply = this->coordinator.delegate(now, from, request, this->ownership);
    reply.commitIndex = std::max(reply.commitIndex, this->member.commitIndex());
    reply.leader = this->member.leader();
    if (reply.length > std::chrono::milliseconds::zero()) {
        this->queuedDelegations.push_back({ from, request.boot });
    }
    this->sendReply(from, std::move(reply));
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::handleProposeRequest(Instant now, NodeId from, const ProposeRequest& request)
{
    const Proposer proposer { from, request.sequence };
    if (this->pendingByProposer.contains(proposer)) {
        return;
    }
    if (const auto cached = this->cachedReplies.find(proposer); cached != this->cachedReplies.end()) {
        this->sendReply(from, cached->second);
        return;
    }
    ProposeReply refusal { request.sequence, ResultCode::NotLeader, {}, {}, this->member.leader() };
    if (this->coordinatedTerm == Term {} || !this->member.hasLeaderLease(now)) {
        this->sendReply(from, std::move(refusal));
        return;
    }
    const auto index = this->member.propose(now, request.command);
    if (!index) {
        refusal.code = static_cast<ResultCode>(index.error().value());
        this->sendReply(from, std::move(refusal));
        return;
    }
    this->pending.emplace(*index, PendingProposal { this->member.term(), proposer });
    this->pendingByProposer.emplace(proposer, *index);
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::handleFeedRequest(Instant now, NodeId from, const FeedRequest& request)
{
    if (request.appliedIndex < this->ownership.appliedIndex()) {
        this->pendingFeedRequests.erase(from);
        this->sendReply(from, this->makeFeedReply(request));
        return;
    }
    this->pendingFeedRequests[from] = PendingFeedRequest { request, now + feedHold };
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::sendReply(NodeId to, PeerMessage message)
{
    this->replies.push_back({ to, std::move(message) });
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::updateLeadership(Instant now)
{
    const auto isLeader = this->member.role() == MemberRole::Leader;
    if (this->coordinatedTerm != Term {} && (!isLeader || this->member.term() != this->coordinatedTerm)) {
        this->coordinatedTerm = Term {};
        this->failPendingProposals(isLeader);
    }
    // The leader lease implies that an entry of this term is committed, so the applied state includes every entry of
    // earlier terms.
    if (isLeader && this->coordinatedTerm == Term {} && this->member.hasLeaderLease(now) && this->ownership.appliedIndex() >= this->member.commitIndex()) {
        this->coordinatedTerm = this->member.term();
        this->coordinator.becameLeader(now, this->ownership);
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::proposeDecisions(Instant now)
{
    if (this->coordinatedTerm == Term {} || !this->member.hasLeaderLease(now)) {
        return;
    }
    this->proposeMemberChange(now);
    for (auto& command : this->coordinator.decide(now, this->ownership)) {
        const auto index = this->member.propose(now, std::move(command));
        if (!index) {
            this->coordinator.handleDroppedProposals();
            return;
        }
        this->pending.emplace(*index, PendingProposal { this->member.term(), std::nullopt });
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::proposeMemberChange(Instant now)
{
    const auto* accepted = this->ownership.acceptedBundle();
    if (accepted == nullptr) {
        return;
    }
    // The member refuses a change while another one is pending, and the promotion of a learner that has not caught up.
    // The next tick retries.
    for (auto& change : planMemberChange(this->member.members(), accepted->bundle.members, this->self)) {
        if (const auto index = this->member.propose(now, std::move(change))) {
            this->pending.emplace(*index, PendingProposal { this->member.term(), std::nullopt });
            return;
        }
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::failPendingProposals(bool isLeader)
{
    for (const auto& [index, proposal] : this->pending) {
        if (proposal.proposer) {
            const auto leader = isLeader ? NodeId {} : this->member.leader();
            this->sendReply(proposal.proposer->node, ProposeReply { proposal.proposer->sequence, ResultCode::ProposalDropped, {}, {}, leader });
        }
    }
    this->pending.clear();
    this->pendingByProposer.clear();
    this->coordinator.handleDroppedProposals();
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::cacheReply(const Proposer& proposer, const ProposeReply& reply)
{
    if (this->cachedReplies.insert_or_assign(proposer, reply).second) {
        this->cachedReplyOrder.push_back(proposer);
    }
    while (this->cachedReplyOrder.size() > limits::maxCachedReplies) {
        this->cachedReplies.erase(this->cachedReplyOrder.front());
        this->cachedReplyOrder.pop_front();
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
LedgerEffects LedgerService<Random, Policy, Codec>::takeEffects(Instant now)
{
    LedgerEffects effects;
    effects.storage = this->member.takeEffects();
    this->lastTakenIndex = this->member.lastIndex();
    if (effects.storage.install) {
        this->install(*effects.storage.install);
    }
    this->applyCommitted(now, std::move(effects.storage.committed));
    effects.storage.committed.clear();
    this->updateLeadership(now);
    this->replyToFeedRequests(now);
    effects.applied = std::exchange(this->appliedEntries, {});
    effects.immediate = std::exchange(effects.storage.immediate, {});
    effects.afterPersist = std::exchange(effects.storage.afterPersist, {});
    std::ranges::move(std::exchange(this->replies, {}), std::back_inserter(effects.immediate));
    std::ranges::move(std::exchange(this->queuedDelegations, {}), std::back_inserter(this->inFlightDelegations));
    const auto applied = this->ownership.appliedIndex();
    if (this->snapshotSchedule.begin(this->member.firstIndex(), applied)) {
        const auto members = this->member.membersAt(applied);
        effects.snapshot = LedgerSnapshot { applied, this->appliedTerm, { members.begin(), members.end() }, this->codec.encode(this->ownership.snapshot()) };
    }
    return effects;
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::install(const LedgerSnapshot& snapshot)
{
    auto decoded = this->codec.decode(snapshot.bytes);
    if (!decoded) {
        this->failure = decoded.failure();
        return;
    }
    this->ownership.restore(std::move(*decoded));
    this->appliedTerm = snapshot.lastTerm;
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::applyCommitted(Instant now, std::vector<LogEntry> entries)
{
    for (auto& entry : entries) {
        if (entry.index <= this->ownership.appliedIndex()) {
            continue;
        }
        auto outcome = this->ownership.apply(entry.index, entry.command);
        this->appliedTerm = entry.term;
        this->snapshotSchedule.recordApplied(entry.command);
        if (this->coordinatedTerm != Term {}) {
            this->coordinator.applied(now, entry, outcome, this->ownership);
        } else {
            this->coordinator.appliedAsFollower(now, entry.index);
        }
        if (const auto found = this->pending.find(entry.index); found != this->pending.end()) {
            if (const auto proposer = found->second.proposer) {
                const auto isSameProposal = found->second.term == entry.term;
                ProposeReply reply { proposer->sequence, isSameProposal ? ResultCode::Ok : ResultCode::ProposalDropped, entry.index, isSameProposal ? outcome : ApplyOutcome {}, this->member.leader() };
                this->cacheReply(*proposer, reply);
                this->pendingByProposer.erase(*proposer);
                this->sendReply(proposer->node, std::move(reply));
            }
            this->pending.erase(found);
        }
        this->appliedEntries.push_back({ std::move(entry), std::move(outcome) });
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::replyToFeedRequests(Instant now)
{
    for (auto it = this->pendingFeedRequests.begin(); it != this->pendingFeedRequests.end();) {
        const auto hasNewEntries = it->second.request.appliedIndex < this->ownership.appliedIndex();
        if (!hasNewEntries && now < it->second.replyBy) {
            ++it;
            continue;
        }
        this->sendReply(it->first, this->makeFeedReply(it->second.request));
        it = this->pendingFeedRequests.erase(it);
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
FeedReply LedgerService<Random, Policy, Codec>::makeFeedReply(const FeedRequest& request)
{
    // A transfer in progress continues with the snapshot it started with.
    if (request.snapshotIndex != LogIndex {} && this->feedSnapshot && this->feedSnapshot->index == request.snapshotIndex) {
        return this->makeFeedSnapshotPart(request);
    }
    auto entries = this->member.committedAfter(request.appliedIndex, limits::feedBytes);
    if (entries) {
        const auto applied = this->ownership.appliedIndex();
        std::erase_if(*entries, [applied](const LogEntry& entry) { return entry.index > applied; });
        return FeedReply { request.sequence, applied, std::move(*entries), 0, 0, {}, {} };
    }
    if (!this->feedSnapshot || this->feedSnapshot->index.value + limits::snapshotInterval < this->ownership.appliedIndex().value || this->feedSnapshot->index <= request.appliedIndex) {
        this->feedSnapshot = CachedSnapshot { this->ownership.appliedIndex(), this->codec.encode(this->ownership.snapshot()) };
    }
    return this->makeFeedSnapshotPart(FeedRequest { request.sequence, request.appliedIndex, this->feedSnapshot->index, 0 });
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
FeedReply LedgerService<Random, Policy, Codec>::makeFeedSnapshotPart(const FeedRequest& request)
{
    const auto& bytes = this->feedSnapshot->bytes;
    const auto begin = std::min<std::size_t>(request.snapshotOffset, bytes.size());
    const auto end = std::min(begin + feedSnapshotPartBytes, bytes.size());
    FeedReply reply { request.sequence, this->ownership.appliedIndex(), {}, begin, bytes.size(), this->feedSnapshot->index, {} };
    reply.snapshotBytes.assign(bytes.begin() + static_cast<std::ptrdiff_t>(begin), bytes.begin() + static_cast<std::ptrdiff_t>(end));
    return reply;
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::persisted(Instant now)
{
    this->member.persisted(now, this->lastTakenIndex);
    this->updateLeadership(now);
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::sent(Instant now)
{
    for (const auto& delegation : std::exchange(this->inFlightDelegations, {})) {
        if (this->coordinatedTerm != Term {}) {
            this->coordinator.delegationSent(now, delegation.entry, delegation.boot);
        }
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::snapshotSaved(const LedgerSnapshot& snapshot)
{
    this->snapshotSchedule.recordSaved();
    this->member.compacted(snapshot);
}

}
