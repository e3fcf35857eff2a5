#pragma once

#include "core/ledger/LedgerLimits.h"
#include "core/ledger/Member.h"

#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <functional>
#include <utility>

/// Replication of Member: entries, heartbeats, commit, leader lease.
namespace teaselturn {

template <RandomSource Random>
void Member<Random>::followLeader(NodeId from)
{
    this->becomeFollower();
    this->knownLeader = from;
    this->leaderContact = this->now;
    this->scheduleElection();
}

template <RandomSource Random>
LogIndex Member<Random>::conflictHint(LogIndex previousIndex) const noexcept
{
    if (previousIndex > this->log.lastIndex()) {
        return this->log.lastIndex();
    }
    // Skips the whole conflicting term in one step.
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
    // A heartbeat is answered at once with what is synced, so a slow disk does not look like a lost member.
    if (request.entries.empty() || match <= this->durable) {
        this->send(from, AppendReply { this->hardState.term, this->disk, true, std::min(match, this->durable), request.round });
    } else {
        this->sendAfterPersist(from, AppendReply { this->hardState.term, this->disk, true, match, request.round });
    }
}

template <RandomSource Random>
void Member<Random>::handle(NodeId from, const AppendRequest& request)
{
    if (request.term < this->hardState.term) {
        this->send(from, AppendReply { this->hardState.term, this->disk, false, this->durable, request.round });
        return;
    }
    if (request.term > this->hardState.term) {
        this->adoptTerm(request.term);
    } else if (this->currentRole == MemberRole::Leader) {
        return;
    }
    this->followLeader(from);
    // Entries at and below the base are committed, so they match without a check.
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
PeerProgress* Member<Random>::peer(NodeId node, DiskId peerDisk) noexcept
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
void Member<Random>::refused(PeerProgress& progress, LogIndex hint)
{
    if (progress.mode == ReplicationMode::Snapshot) {
        return;
    }
    // The hint can be below what already matches, because it skips a whole term of the peer's log.
    const auto next = std::max(LogIndex { progress.matchIndex.value + 1 }, std::min(progress.nextIndex, LogIndex { hint.value + 1 }));
    // A late refusal that teaches nothing new must not cause another probe; the next heartbeat probes again.
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
    auto* progress = this->peer(from, reply.disk);
    if (!progress) {
        return;
    }
    this->confirmRound(*progress, reply.round);
    if (!reply.isAccepted) {
        this->refused(*progress, reply.matchIndex);
        return;
    }
    progress->matched(reply.matchIndex);
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
    this->roundCommit = this->committed;
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
    // During a snapshot transfer the heartbeat names the empty log, which every log matches.
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
        const auto* progress = this->peer(member.node, member.disk);
        matches.push_back(member.node == this->self ? this->durable : progress ? progress->matchIndex
                                                                               : LogIndex {});
    }
    std::sort(matches.begin(), matches.end(), std::greater<> {});
    const auto index = matches[this->configuration.quorum() - 1];
    // Entries of earlier terms commit only through one of the current term (Raft, section 5.4.2).
    if (index > this->committed && this->log.termAt(index) == this->hardState.term) {
        this->commitThrough(index);
        this->stepDownWhereRemoved();
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
    // Without a quorum the leader lease is over after electionMinimum; a leader that hears nothing but is still heard
    // would keep the others from an election. One heartbeat more spares an election where one round was lost.
    const auto patience = this->timing.electionMinimum + this->timing.heartbeat;
    if (this->now >= std::max(this->leaderSince, this->quorumConfirmedAt(this->now)) + patience) {
        this->becomeFollower();
    }
}

template <RandomSource Random>
bool Member<Random>::hasLeaderLease(Instant now) const noexcept
{
    if (this->currentRole != MemberRole::Leader || this->committed < this->termStart) {
        return false;
    }
    // On a follower's clock, which may run faster by the drift bound, the lease is no longer than electionMinimum.
    const auto length = this->timing.electionMinimum * timing::driftDivisor / (timing::driftDivisor + 1);
    const auto confirmed = this->quorumConfirmedAt(now);
    return confirmed != Instant::min() && now < confirmed + length;
}

}
