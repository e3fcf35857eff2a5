#pragma once

#include "core/ledger/LedgerService.h"
#include "core/ownership/MemberPlan.h"

#include <algorithm>

namespace teaselturn {

/// How long a member holds a feed request open when it has nothing new.
inline constexpr Duration feedHold = std::chrono::milliseconds { 500 };
/// Largest part of a snapshot in one feed answer, in bytes.
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
    this->followLeadership(now);
    this->proposeDecisions(now);
    this->answerFeeds(now);
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::receive(Instant now, NodeId from, const PeerMessage& message)
{
    if (const auto* request = std::get_if<DelegationRequest>(&message)) {
        this->takeDelegationRequest(now, from, *request);
    } else if (const auto* request = std::get_if<ProposeRequest>(&message)) {
        this->takeProposeRequest(now, from, *request);
    } else if (const auto* request = std::get_if<FeedRequest>(&message)) {
        this->takeFeedRequest(now, from, *request);
    } else {
        this->member.receive(now, from, message);
    }
    this->followLeadership(now);
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::takeDelegationRequest(Instant now, NodeId from, const DelegationRequest& request)
{
    if (this->coordinatedTerm == Term {} || !this->member.hasLeaderLease(now)) {
        this->reply(from, DelegationReply { request.sequence, ResultCode::NotLeader, {}, this->member.commitIndex(), this->member.leader() });
        return;
    }
    auto answer = this->coordinator.delegate(now, from, request, this->ownership);
    answer.commitIndex = std::max(answer.commitIndex, this->member.commitIndex());
    answer.leader = this->member.leader();
    if (answer.length > std::chrono::milliseconds::zero()) {
        this->queuedDelegations.push_back({ from, request.boot });
    }
    this->reply(from, std::move(answer));
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::takeProposeRequest(Instant now, NodeId from, const ProposeRequest& request)
{
    const Proposer proposer { from, request.sequence };
    if (this->pendingByProposer.contains(proposer)) {
        return;
    }
    if (const auto known = this->answered.find(proposer); known != this->answered.end()) {
        this->reply(from, known->second);
        return;
    }
    ProposeReply refusal { request.sequence, ResultCode::NotLeader, {}, {}, this->member.leader() };
    if (this->coordinatedTerm == Term {} || !this->member.hasLeaderLease(now)) {
        this->reply(from, std::move(refusal));
        return;
    }
    const auto index = this->member.propose(now, request.command);
    if (!index) {
        refusal.code = static_cast<ResultCode>(index.error().value());
        this->reply(from, std::move(refusal));
        return;
    }
    this->pending.emplace(*index, PendingProposal { this->member.term(), proposer });
    this->pendingByProposer.emplace(proposer, *index);
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::takeFeedRequest(Instant now, NodeId from, const FeedRequest& request)
{
    if (request.appliedIndex < this->ownership.appliedIndex()) {
        this->feedWaiters.erase(from);
        this->reply(from, this->feedReply(request));
        return;
    }
    this->feedWaiters[from] = FeedWaiter { request, now + feedHold };
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::reply(NodeId to, PeerMessage message)
{
    this->replies.push_back({ to, std::move(message) });
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::followLeadership(Instant now)
{
    const auto leads = this->member.role() == MemberRole::Leader;
    if (this->coordinatedTerm != Term {} && (!leads || this->member.term() != this->coordinatedTerm)) {
        this->coordinatedTerm = Term {};
        this->dropPending(leads);
    }
    // The leader lease implies that an entry of this term is committed; the applied state then holds every earlier one.
    if (leads && this->coordinatedTerm == Term {} && this->member.hasLeaderLease(now) && this->ownership.appliedIndex() >= this->member.commitIndex()) {
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
    // The member refuses a change while another is pending, and a promotion of a learner that lags: the next tick tries
    // again.
    for (auto& change : planMemberChange(this->member.members(), accepted->bundle.members, this->self)) {
        if (const auto index = this->member.propose(now, std::move(change))) {
            this->pending.emplace(*index, PendingProposal { this->member.term(), std::nullopt });
            return;
        }
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::dropPending(bool isLeader)
{
    for (const auto& [index, proposal] : this->pending) {
        if (proposal.proposer) {
            const auto leader = isLeader ? NodeId {} : this->member.leader();
            this->reply(proposal.proposer->node, ProposeReply { proposal.proposer->sequence, ResultCode::ProposalDropped, {}, {}, leader });
        }
    }
    this->pending.clear();
    this->pendingByProposer.clear();
    this->coordinator.handleDroppedProposals();
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::remember(const Proposer& proposer, const ProposeReply& answer)
{
    if (this->answered.insert_or_assign(proposer, answer).second) {
        this->answeredOrder.push_back(proposer);
    }
    while (this->answeredOrder.size() > limits::rememberedProposals) {
        this->answered.erase(this->answeredOrder.front());
        this->answeredOrder.pop_front();
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
LedgerEffects LedgerService<Random, Policy, Codec>::takeEffects(Instant now)
{
    LedgerEffects effects;
    effects.storage = this->member.takeEffects();
    this->takenThrough = this->member.lastIndex();
    if (effects.storage.install) {
        this->install(*effects.storage.install);
    }
    this->applyCommitted(now, std::move(effects.storage.committed));
    effects.storage.committed.clear();
    this->followLeadership(now);
    this->answerFeeds(now);
    effects.applied = std::exchange(this->appliedEntries, {});
    effects.immediate = std::exchange(effects.storage.immediate, {});
    effects.afterPersist = std::exchange(effects.storage.afterPersist, {});
    std::ranges::move(std::exchange(this->replies, {}), std::back_inserter(effects.immediate));
    std::ranges::move(std::exchange(this->queuedDelegations, {}), std::back_inserter(this->takenDelegations));
    const auto applied = this->ownership.appliedIndex();
    if (!this->isSnapshotPending && applied.value >= this->member.firstIndex().value + this->options.snapshotInterval) {
        this->isSnapshotPending = true;
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
        if (this->coordinatedTerm != Term {}) {
            this->coordinator.applied(now, entry, outcome, this->ownership);
        } else {
            this->coordinator.appliedAsFollower(now, entry.index);
        }
        if (const auto found = this->pending.find(entry.index); found != this->pending.end()) {
            if (const auto proposer = found->second.proposer) {
                const auto isOurs = found->second.term == entry.term;
                ProposeReply answer { proposer->sequence, isOurs ? ResultCode::Ok : ResultCode::ProposalDropped, entry.index, isOurs ? outcome : ApplyOutcome {}, this->member.leader() };
                this->remember(*proposer, answer);
                this->pendingByProposer.erase(*proposer);
                this->reply(proposer->node, std::move(answer));
            }
            this->pending.erase(found);
        }
        this->appliedEntries.push_back({ std::move(entry), std::move(outcome) });
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::answerFeeds(Instant now)
{
    for (auto waiter = this->feedWaiters.begin(); waiter != this->feedWaiters.end();) {
        const auto hasNews = waiter->second.request.appliedIndex < this->ownership.appliedIndex();
        if (!hasNews && now < waiter->second.answerBy) {
            ++waiter;
            continue;
        }
        this->reply(waiter->first, this->feedReply(waiter->second.request));
        waiter = this->feedWaiters.erase(waiter);
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
FeedReply LedgerService<Random, Policy, Codec>::feedReply(const FeedRequest& request)
{
    // A transfer under way continues with the snapshot that it began with.
    if (request.snapshotIndex != LogIndex {} && this->feedSnapshot && this->feedSnapshot->index == request.snapshotIndex) {
        return this->feedSnapshotPart(request);
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
    return this->feedSnapshotPart(FeedRequest { request.sequence, request.appliedIndex, this->feedSnapshot->index, 0 });
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
FeedReply LedgerService<Random, Policy, Codec>::feedSnapshotPart(const FeedRequest& request)
{
    const auto& bytes = this->feedSnapshot->bytes;
    const auto begin = std::min<std::size_t>(request.snapshotOffset, bytes.size());
    const auto end = std::min(begin + feedSnapshotPartBytes, bytes.size());
    FeedReply answer { request.sequence, this->ownership.appliedIndex(), {}, begin, bytes.size(), this->feedSnapshot->index, {} };
    answer.snapshotBytes.assign(bytes.begin() + static_cast<std::ptrdiff_t>(begin), bytes.begin() + static_cast<std::ptrdiff_t>(end));
    return answer;
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::persisted(Instant now)
{
    this->member.persisted(now, this->takenThrough);
    this->followLeadership(now);
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::sent(Instant now)
{
    for (const auto& delegation : std::exchange(this->takenDelegations, {})) {
        if (this->coordinatedTerm != Term {}) {
            this->coordinator.delegationSent(now, delegation.entry, delegation.boot);
        }
    }
}

template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
void LedgerService<Random, Policy, Codec>::snapshotSaved(const LedgerSnapshot& snapshot)
{
    this->isSnapshotPending = false;
    this->member.compacted(snapshot);
}

}
