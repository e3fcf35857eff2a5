#pragma once

#include "core/ledger/LedgerLimits.h"
#include "core/ledger/Member.h"

#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <functional>
#include <utility>

/// Member: log replication, heartbeats, commit and leader lease.
namespace teaselturn {

template <RandomSource Random>
void Member<Random>::followLeader(NodeId from)
{
    this->becomeFollower();
    this->knownLeader = from;
    this->lastLeaderContactAt = this->now;
    this->scheduleElection();
}

template <RandomSource Random>
LogIndex Member<Random>::conflictHint(LogIndex previousIndex) const noexcept
{
    if (previousIndex > this->log.lastIndex()) {
        return this->log.lastIndex();
    }
    // Skips all entries of the conflicting term in one round trip.
    const auto term = this->log.termAt(previousIndex);
    auto hint = previousIndex;
    while (hint > this->committed && this->log.termAt(hint) == term) {
        --hint.value;
    }
    return hint;
}

template <RandomSource Random>
bool Member<Random>::appendMissing(const AppendRequest& request)
{
    for (const auto& entry : request.entries) {
        if (entry.index <= this->log.base()) {
            continue;
        }
        if (entry.index <= this->log.lastIndex()) {
            if (this->log.termAt(entry.index) == entry.term) {
                continue;
            }
            if (entry.index <= this->committed) {
                return false;
            }
            this->truncateLog(entry.index);
        }
        if (entry.index.value != this->log.lastIndex().value + 1) {
            return false;
        }
        this->appendEntry(entry);
    }
    return true;
}

template <RandomSource Random>
void Member<Random>::replyToAppend(NodeId from, const AppendRequest& request, LogIndex match)
{
    // Acknowledges a heartbeat immediately with the synced index, so that a slow disk does not look like a lost member.
    if (request.entries.empty() || match <= this->durableIndex) {
        this->send(from, AppendReply { this->hardState.term, this->disk, true, std::min(match, this->durableIndex), request.round });
    } else {
        this->sendAfterPersist(from, AppendReply { this->hardState.term, this->disk, true, match, request.round });
    }
}

template <RandomSource Random>
void Member<Random>::handle(NodeId from, const AppendRequest& request)
{
    if (request.term < this->hardState.term) {
        this->send(from, AppendReply { this->hardState.term, this->disk, false, this->durableIndex, request.round });
        return;
    }
    if (request.term > this->hardState.term) {
        this->adoptTerm(request.term);
    } else if (this->currentRole == MemberRole::Leader) {
        return;
    }
    this->followLeader(from);
    // Entries at and below the base are committed, so they match the leader's log without a check.
    if (request.previousIndex >= this->log.base() && this->log.termAt(request.previousIndex) != request.previousTerm) {
        this->send(from, AppendReply { this->hardState.term, this->disk, false, this->conflictHint(request.previousIndex), request.round });
        return;
    }
    if (!this->appendMissing(request)) {
        return;
    }
    const LogIndex match { request.previousIndex.value + request.entries.size() };
    this->commitThrough(std::min({ request.commitIndex, match, this->log.lastIndex() }));
    this->replyToAppend(from, request, match);
}

template <RandomSource Random>
PeerProgress* Member<Random>::findPeer(NodeId node, DiskId peerDisk) noexcept
{
    const auto found = std::find_if(this->peers.begin(), this->peers.end(), [node, peerDisk](const auto& progress) { return progress.node == node && progress.disk == peerDisk; });
    return found == this->peers.end() ? nullptr : &*found;
}

template <RandomSource Random>
void Member<Random>::confirmRound(PeerProgress& progress, std::uint64_t round) noexcept
{
    if (const auto start = this->rounds.startOf(round)) {
        progress.confirmedAt = std::max(progress.confirmedAt, *start);
    }
}

template <RandomSource Random>
void Member<Random>::handleRejectedAppend(PeerProgress& progress, LogIndex hint)
{
    if (progress.mode == ReplicationMode::Snapshot) {
        return;
    }
    // The hint can be below matchIndex, because it skips a whole term of the peer's log.
    const auto next = std::max(LogIndex { progress.matchIndex.value + 1 }, std::min(progress.nextIndex, LogIndex { hint.value + 1 }));
    // A delayed rejection without new information must not trigger another probe; the next heartbeat probes again.
    if (next < progress.nextIndex || progress.mode == ReplicationMode::Replicate) {
        progress.probeFrom(next);
    }
}

template <RandomSource Random>
void Member<Random>::handle(NodeId from, const AppendReply& reply)
{
    if (reply.term > this->hardState.term) {
        this->adoptTerm(reply.term);
        return;
    }
    if (this->currentRole != MemberRole::Leader || reply.term < this->hardState.term) {
        return;
    }
    auto* progress = this->findPeer(from, reply.disk);
    if (!progress) {
        return;
    }
    this->confirmRound(*progress, reply.round);
    if (!reply.isAccepted) {
        this->handleRejectedAppend(*progress, reply.matchIndex);
        return;
    }
    progress->recordMatch(reply.matchIndex);
    if (progress->mode == ReplicationMode::Probe) {
        progress->mode = ReplicationMode::Replicate;
        progress->isProbeOutstanding = false;
    }
    this->advanceCommit();
}

template <RandomSource Random>
void Member<Random>::beginRound()
{
    this->rounds.begin(this->now);
    this->roundDue = this->now + this->timing.heartbeat;
    this->roundCommitIndex = this->committed;
    for (auto& progress : this->peers) {
        progress.isHeartbeatDue = true;
        progress.isProbeOutstanding = false;
        if (this->now >= progress.chunkSentAt + this->timing.electionMinimum) {
            progress.isChunkOutstanding = false;
        }
    }
}

template <RandomSource Random>
void Member<Random>::replicate()
{
    for (auto& progress : this->peers) {
        this->replicateTo(progress);
    }
}

template <RandomSource Random>
void Member<Random>::replicateTo(PeerProgress& progress)
{
    if (progress.nextIndex <= this->log.base() && progress.mode != ReplicationMode::Snapshot) {
        progress.mode = ReplicationMode::Snapshot;
        progress.inFlight.clear();
        progress.snapshot.reset();
    }
    if (progress.mode == ReplicationMode::Snapshot) {
        this->sendSnapshot(progress);
    }
    if (progress.mode == ReplicationMode::Probe && !progress.isProbeOutstanding) {
        progress.isProbeOutstanding = true;
        this->sendAppend(progress, {});
    }
    while (progress.mode == ReplicationMode::Replicate && progress.nextIndex <= this->log.lastIndex() && progress.inFlight.size() < limits::maxAppendsInFlight) {
        auto entries = this->log.slice(progress.nextIndex, this->log.lastIndex(), limits::maxAppendBytes);
        const auto last = entries.back().index;
        this->sendAppend(progress, std::move(entries));
        progress.inFlight.push_back(last);
        progress.nextIndex = LogIndex { last.value + 1 };
    }
    if (progress.isHeartbeatDue) {
        this->sendAppend(progress, {});
    }
}

template <RandomSource Random>
void Member<Random>::sendAppend(PeerProgress& progress, std::vector<LogEntry> entries)
{
    // During a snapshot transfer a heartbeat has previous index zero, which matches every log.
    const auto previous = progress.mode == ReplicationMode::Snapshot ? LogIndex {} : LogIndex { progress.nextIndex.value - 1 };
    const auto previousTerm = this->log.termAt(previous).value_or(Term {});
    progress.isHeartbeatDue = false;
    this->send(progress.node, AppendRequest { this->hardState.term, previous, previousTerm, this->committed, std::move(entries), this->rounds.current() });
}

template <RandomSource Random>
void Member<Random>::advanceCommit()
{
    absl::InlinedVector<LogIndex, limits::maxConfiguredMembers> matches;
    for (const auto& member : this->configuration.newest()) {
        if (!member.voter) {
            continue;
        }
        const auto* progress = this->findPeer(member.node, member.disk);
        matches.push_back(member.node == this->self ? this->durableIndex : progress ? progress->matchIndex
                                                                                    : LogIndex {});
    }
    std::sort(matches.begin(), matches.end(), std::greater<> {});
    const auto index = matches[this->configuration.quorum() - 1];
    // Entries of earlier terms commit only through one of the current term (Raft, section 5.4.2).
    if (index > this->committed && this->log.termAt(index) == this->hardState.term) {
        this->commitThrough(index);
        this->stepDownIfRemoved();
    }
}

template <RandomSource Random>
Instant Member<Random>::quorumConfirmedAt(Instant now) const noexcept
{
    absl::InlinedVector<Instant, limits::maxConfiguredMembers> confirmed;
    for (const auto& member : this->configuration.newest()) {
        if (!member.voter) {
            continue;
        }
        const auto found = std::find_if(this->peers.begin(), this->peers.end(), [&member](const auto& progress) { return progress.node == member.node; });
        confirmed.push_back(member.node == this->self ? now : found == this->peers.end() ? Instant::min()
                                                                                         : found->confirmedAt);
    }
    std::sort(confirmed.begin(), confirmed.end(), std::greater<> {});
    return confirmed[this->configuration.quorum() - 1];
}

template <RandomSource Random>
void Member<Random>::checkQuorum()
{
    // Without a quorum the leader lease ends after electionMinimum. A leader that receives no replies but whose
    // heartbeats still arrive would prevent an election, so it steps down. The additional heartbeat interval avoids an
    // election if only one round was lost.
    const auto quorumTimeout = this->timing.electionMinimum + this->timing.heartbeat;
    if (this->now >= std::max(this->leaderSince, this->quorumConfirmedAt(this->now)) + quorumTimeout) {
        this->becomeFollower();
    }
}

template <RandomSource Random>
bool Member<Random>::hasLeaderLease(Instant now) const noexcept
{
    if (this->currentRole != MemberRole::Leader || this->committed < this->termStartIndex) {
        return false;
    }
    // A follower's clock may run faster by up to the drift bound. The shorter lease stays within electionMinimum on
    // that clock.
    const auto length = this->timing.electionMinimum * timing::driftDivisor / (timing::driftDivisor + 1);
    const auto confirmed = this->quorumConfirmedAt(now);
    return confirmed != Instant::min() && now < confirmed + length;
}

}
