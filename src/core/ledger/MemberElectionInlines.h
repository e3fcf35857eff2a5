#pragma once

#include "core/ledger/Member.h"

#include <algorithm>
#include <utility>

/// Member: pre-vote, elections and role changes.
namespace teaselturn {

template <RandomSource Random>
bool Member<Random>::isInContact(Instant now) const noexcept
{
    if (this->currentRole == MemberRole::Leader) {
        return now < std::max(this->leaderSince, this->quorumConfirmedAt(now)) + this->timing.electionMinimum;
    }
    return now < this->lastLeaderContactAt + this->timing.electionMinimum;
}

template <RandomSource Random>
void Member<Random>::scheduleElection(Duration minimum, Duration maximum)
{
    const auto spread = static_cast<std::uint64_t>(std::max<Duration::rep>((maximum - minimum).count(), 0));
    this->electionDue = this->now + minimum + Duration { static_cast<Duration::rep>(this->random.below(spread + 1)) };
}

template <RandomSource Random>
void Member<Random>::adoptTerm(Term newTerm)
{
    this->hardState = { newTerm, {}, {} };
    this->pending.hardState = this->hardState;
    this->knownLeader = {};
    this->becomeFollower();
}

template <RandomSource Random>
void Member<Random>::becomeFollower()
{
    if (this->currentRole == MemberRole::Leader) {
        // A leader that steps down waits a full election timeout, like a follower that has just lost contact.
        this->knownLeader = {};
        this->scheduleElection();
    }
    this->currentRole = MemberRole::Follower;
    this->votes.clear();
    this->peers.clear();
    this->termStartIndex = {};
    this->uncommittedBytes = 0;
}

template <RandomSource Random>
void Member<Random>::becomeLeader()
{
    this->currentRole = MemberRole::Leader;
    this->knownLeader = this->self;
    this->leaderSince = this->now;
    this->rounds = {};
    this->peers.clear();
    this->votes.clear();
    this->updatePeers();
    this->termStartIndex = LogIndex { this->log.lastIndex().value + 1 };
    this->appendEntry({ this->hardState.term, this->termStartIndex, NoOperation {} });
    this->beginRound();
}

template <RandomSource Random>
void Member<Random>::startPreVote()
{
    this->currentRole = MemberRole::PreCandidate;
    this->knownLeader = {};
    this->votes.clear();
    // A pre-vote does not change the term, so it can be retried soon without disrupting the cluster. The retry shortens
    // the time without a leader if the others still considered the old leader alive at the first attempt.
    this->scheduleElection(2 * this->timing.heartbeat, 5 * this->timing.heartbeat);
    this->requestVotes(Term { this->hardState.term.value + 1 }, true);
    this->addVote(this->self);
}

template <RandomSource Random>
void Member<Random>::startElection()
{
    this->currentRole = MemberRole::Candidate;
    this->votes.clear();
    this->hardState = { Term { this->hardState.term.value + 1 }, this->self, this->disk };
    this->pending.hardState = this->hardState;
    // Longer than a round trip between regions plus two syncs. A split vote delays the next election by at most this.
    this->scheduleElection(this->timing.electionMinimum / 2, this->timing.electionMinimum);
    // persisted() adds this member's own vote once it is on disk.
    this->requestVotes(this->hardState.term, false);
}

template <RandomSource Random>
void Member<Random>::requestVotes(Term forTerm, bool isPreVote)
{
    for (const auto& member : this->configuration.newest()) {
        if (member.voter && member.node != this->self) {
            this->send(member.node, VoteRequest { forTerm, this->disk, this->log.lastIndex(), this->log.lastTerm(), isPreVote, member.disk });
        }
    }
}

template <RandomSource Random>
void Member<Random>::addVote(NodeId from)
{
    if (std::find(this->votes.begin(), this->votes.end(), from) == this->votes.end()) {
        this->votes.push_back(from);
    }
    if (this->votes.size() < this->configuration.quorum()) {
        return;
    }
    if (this->currentRole == MemberRole::PreCandidate) {
        this->startElection();
    } else if (this->currentRole == MemberRole::Candidate) {
        this->becomeLeader();
    }
}

template <RandomSource Random>
bool Member<Random>::isUpToDate(const VoteRequest& request) const noexcept
{
    if (request.lastTerm != this->log.lastTerm()) {
        return request.lastTerm > this->log.lastTerm();
    }
    return request.lastIndex >= this->log.lastIndex();
}

template <RandomSource Random>
void Member<Random>::handle(NodeId from, const VoteRequest& request)
{
    if (request.voterDisk != this->disk) {
        return;
    }
    if (request.term < this->hardState.term) {
        this->send(from, VoteReply { this->hardState.term, this->disk, false, request.isPreVote });
        return;
    }
    // The leader lease depends on this: a member that has acknowledged a heartbeat votes for no other candidate until
    // the minimum election timeout has passed.
    if (this->isInContact(this->now)) {
        return;
    }
    if (request.isPreVote) {
        const auto isGranted = request.term > this->hardState.term && this->isUpToDate(request);
        if (isGranted && this->currentRole == MemberRole::PreCandidate && from < this->self) {
            // Two candidates that start within a round trip split the vote, repeatedly if three of five members are
            // left. The one with the larger node number withdraws.
            this->becomeFollower();
            this->scheduleElection();
        }
        this->send(from, VoteReply { isGranted ? request.term : this->hardState.term, this->disk, isGranted, true });
        return;
    }
    if (request.term > this->hardState.term) {
        this->adoptTerm(request.term);
    }
    const auto hasNotVoted = this->hardState.votedFor == NodeId {};
    const auto isSameCandidate = this->hardState.votedFor == from && this->hardState.votedForDisk == request.disk;
    const auto isGranted = (hasNotVoted || isSameCandidate) && this->isUpToDate(request);
    if (isGranted && hasNotVoted) {
        this->hardState.votedFor = from;
        this->hardState.votedForDisk = request.disk;
        this->pending.hardState = this->hardState;
        this->scheduleElection();
    }
    this->sendAfterPersist(from, VoteReply { this->hardState.term, this->disk, isGranted, false });
}

template <RandomSource Random>
void Member<Random>::handle(NodeId from, const VoteReply& reply)
{
    const auto isGrantOfPreVote = reply.isPreVote && reply.isGranted;
    if (reply.term > this->hardState.term && !isGrantOfPreVote) {
        this->adoptTerm(reply.term);
        return;
    }
    const auto expectedRole = reply.isPreVote ? MemberRole::PreCandidate : MemberRole::Candidate;
    const auto expectedTerm = this->hardState.term.value + (reply.isPreVote ? 1 : 0);
    if (reply.isGranted && this->currentRole == expectedRole && reply.term.value == expectedTerm && this->configuration.isVoter(from, reply.disk)) {
        this->addVote(from);
    }
}

}
