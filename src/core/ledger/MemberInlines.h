#pragma once

#include "core/ledger/LedgerLimits.h"
#include "core/ledger/Member.h"

#include <algorithm>
#include <utility>

namespace teaselturn {

template <RandomSource Random>
Member<Random>::Member(MemberState state, MemberTiming timing, Random random, Instant now)
    : self(state.node)
    , disk(state.disk)
    , timing(timing)
    , random(std::move(random))
    , log(state.snapshot ? state.snapshot->lastIndex : LogIndex {}, state.snapshot ? state.snapshot->lastTerm : Term {}, std::move(state.entries))
    , configuration(this->log.base(), state.snapshot && !state.snapshot->members.empty() ? state.snapshot->members : std::move(state.initialMembers))
    , hardState(state.hardState)
    , now(now)
    , lastLeaderContactAt(now)
{
    if (state.snapshot) {
        this->snapshot = std::make_shared<const LedgerSnapshot>(std::move(*state.snapshot));
    }
    for (auto index = this->log.firstIndex(); index <= this->log.lastIndex(); ++index.value) {
        if (const auto* change = std::get_if<ChangeMembers>(&this->log.at(index).command)) {
            this->configuration.append(index, change->members);
        }
    }
    this->committed = this->deliveredIndex = this->log.base();
    this->durableIndex = this->log.lastIndex();
    this->scheduleElection();
}

template <RandomSource Random>
void Member<Random>::tick(Instant now)
{
    this->now = std::max(this->now, now);
    if (this->currentRole == MemberRole::Leader) {
        this->checkQuorum();
        if (this->currentRole == MemberRole::Leader && this->now >= this->roundDue) {
            this->beginRound();
        }
        return;
    }
    if (this->now < this->electionDue) {
        return;
    }
    if (this->isSelfVoter()) {
        this->startPreVote();
    } else {
        this->scheduleElection();
    }
}

template <RandomSource Random>
void Member<Random>::receive(Instant now, NodeId from, const PeerMessage& message)
{
    this->now = std::max(this->now, now);
    std::visit([this, from](const auto& content) { this->handle(from, content); }, message);
}

template <RandomSource Random>
Result<LogIndex> Member<Random>::propose(Instant now, Command command)
{
    this->now = std::max(this->now, now);
    if (this->currentRole != MemberRole::Leader) {
        return ResultCode::NotLeader;
    }
    const auto bytes = estimatedBytes(command);
    const auto uncommitted = this->log.lastIndex().value - this->committed.value;
    if (uncommitted >= limits::maxUncommittedEntries || this->uncommittedBytes + bytes > limits::maxUncommittedBytes) {
        return ResultCode::ProposalQueueFull;
    }
    if (const auto* change = std::get_if<ChangeMembers>(&command)) {
        if (const auto status = this->validateChange(*change); !status) {
            return status.failure();
        }
    }
    const LogIndex index { this->log.lastIndex().value + 1 };
    this->appendEntry({ this->hardState.term, index, std::move(command) });
    this->uncommittedBytes += bytes;
    return index;
}

template <RandomSource Random>
MemberEffects Member<Random>::takeEffects()
{
    if (this->currentRole == MemberRole::Leader) {
        this->replicate();
    }
    if (this->deliveredIndex < this->committed) {
        this->pending.committed = this->log.slice(LogIndex { this->deliveredIndex.value + 1 }, this->committed, SIZE_MAX);
        this->deliveredIndex = this->committed;
    }
    this->isHardStateInFlight |= this->pending.hardState.has_value();
    return std::exchange(this->pending, {});
}

template <RandomSource Random>
void Member<Random>::persisted(Instant now, LogIndex through)
{
    this->now = std::max(this->now, now);
    this->isHardStateInFlight = false;
    // Entries replaced or appended after takeEffects() are not on disk yet.
    auto onDisk = std::min(through, this->log.lastIndex());
    if (this->pending.truncateFrom) {
        onDisk = std::min(onDisk, LogIndex { this->pending.truncateFrom->value - 1 });
    }
    if (!this->pending.append.empty()) {
        onDisk = std::min(onDisk, LogIndex { this->pending.append.front().index.value - 1 });
    }
    if (!this->pending.install) {
        this->durableIndex = std::max(this->durableIndex, onDisk);
    }
    if (this->currentRole == MemberRole::Candidate && this->isHardStateDurable()) {
        this->addVote(this->self);
    }
    if (this->currentRole == MemberRole::Leader) {
        this->advanceCommit();
    }
}

template <RandomSource Random>
void Member<Random>::send(NodeId to, PeerMessage message)
{
    auto& queue = this->isHardStateDurable() ? this->pending.immediate : this->pending.afterPersist;
    queue.push_back({ to, std::move(message) });
}

template <RandomSource Random>
void Member<Random>::sendAfterPersist(NodeId to, PeerMessage message)
{
    this->pending.afterPersist.push_back({ to, std::move(message) });
}

template <RandomSource Random>
void Member<Random>::appendEntry(LogEntry entry)
{
    if (const auto* change = std::get_if<ChangeMembers>(&entry.command)) {
        this->configuration.append(entry.index, change->members);
        if (this->currentRole == MemberRole::Leader) {
            this->updatePeers();
        }
    }
    this->pending.append.push_back(entry);
    this->log.append(std::move(entry));
}

template <RandomSource Random>
void Member<Random>::truncateLog(LogIndex from)
{
    auto& appends = this->pending.append;
    appends.erase(std::find_if(appends.begin(), appends.end(), [from](const auto& entry) { return entry.index >= from; }), appends.end());
    this->pending.truncateFrom = std::min(from, this->pending.truncateFrom.value_or(from));
    this->log.truncateFrom(from);
    this->configuration.truncateFrom(from);
    this->durableIndex = std::min(this->durableIndex, LogIndex { from.value - 1 });
}

template <RandomSource Random>
void Member<Random>::commitThrough(LogIndex index)
{
    while (this->committed < index) {
        ++this->committed.value;
        if (this->currentRole == MemberRole::Leader) {
            const auto bytes = estimatedBytes(this->log.at(this->committed).command);
            this->uncommittedBytes -= std::min(bytes, this->uncommittedBytes);
        }
    }
}

template <RandomSource Random>
MemberRole Member<Random>::role() const noexcept
{
    if (this->currentRole == MemberRole::Follower && !this->isSelfVoter()) {
        return MemberRole::Learner;
    }
    return this->currentRole;
}

template <RandomSource Random>
Term Member<Random>::term() const noexcept
{
    return this->hardState.term;
}

template <RandomSource Random>
NodeId Member<Random>::leader() const noexcept
{
    return this->knownLeader;
}

template <RandomSource Random>
LogIndex Member<Random>::commitIndex() const noexcept
{
    return this->committed;
}

template <RandomSource Random>
LogIndex Member<Random>::lastIndex() const noexcept
{
    return this->log.lastIndex();
}

template <RandomSource Random>
LogIndex Member<Random>::firstIndex() const noexcept
{
    return this->log.firstIndex();
}

template <RandomSource Random>
Result<std::vector<LogEntry>> Member<Random>::committedAfter(LogIndex index, std::size_t maxBytes) const
{
    if (index < this->log.base()) {
        return ResultCode::LogCompacted;
    }
    return this->log.slice(LogIndex { index.value + 1 }, this->committed, maxBytes);
}

}

#include "core/ledger/MemberConfigurationInlines.h"
#include "core/ledger/MemberElectionInlines.h"
#include "core/ledger/MemberReplicationInlines.h"
#include "core/ledger/MemberSnapshotInlines.h"
