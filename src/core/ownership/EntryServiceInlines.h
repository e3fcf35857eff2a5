#pragma once

#include "core/ownership/EntryService.h"

#include <algorithm>
#include <utility>

namespace teaselturn {

template <SnapshotCodec Codec>
EntryService<Codec>::EntryService(EntryIdentity identity, BundleCheck check, Codec codec)
    : identity(std::move(identity))
    , ownership(std::move(check))
    , leaseManager(this->identity.node, this->identity.boot)
    , codec(std::move(codec))
    // A restarted process must not reuse sequences that the leader has recorded.
    , lastSequence(this->identity.boot.value)
{
}

template <SnapshotCodec Codec>
void EntryService<Codec>::tick(Instant now)
{
    this->renewDelegation(now);
    this->requestFeed(now);
    for (auto& command : this->leaseManager.tick(now, this->ownership)) {
        this->proposeForLeaseManager(now, std::move(command));
    }
    this->resendProposals(now);
}

template <SnapshotCodec Codec>
void EntryService<Codec>::receive(Instant now, NodeId from, const PeerMessage& message)
{
    if (const auto* reply = std::get_if<DelegationReply>(&message)) {
        this->handleDelegationReply(now, from, *reply);
    } else if (const auto* reply = std::get_if<FeedReply>(&message)) {
        this->handleFeedReply(now, *reply);
    } else if (const auto* reply = std::get_if<ProposeReply>(&message)) {
        this->handleProposeReply(from, *reply);
    } else if (const auto* request = std::get_if<FeedRequest>(&message)) {
        this->handlePeerFeedRequest(from, *request);
    }
}

template <SnapshotCodec Codec>
HeartbeatReply EntryService<Codec>::handleHeartbeat(Instant now, const Heartbeat& heartbeat, ResultCode& code)
{
    auto decision = this->leaseManager.handleHeartbeat(now, heartbeat, this->ownership);
    if (decision.proposal) {
        this->proposeForLeaseManager(now, std::move(*decision.proposal));
    }
    code = decision.code;
    decision.reply.incarnation = heartbeat.incarnation;
    decision.reply.sequence = heartbeat.sequence;
    return std::move(decision.reply);
}

template <SnapshotCodec Codec>
void EntryService<Codec>::handleHeartbeatReplySent(Instant now, const HeartbeatReply& reply)
{
    if (reply.lease > std::chrono::milliseconds::zero()) {
        this->leaseManager.handleHeartbeatReplySent(now, reply.upstream, reply.session, reply.lease);
    }
}

template <SnapshotCodec Codec>
std::uint64_t EntryService<Codec>::propose(Instant now, Command command)
{
    const auto sequence = ++this->lastSequence;
    const auto& proposal = this->proposals.emplace(sequence, Proposal { std::move(command), now, now + timing::proposalTimeout, true }).first->second;
    this->send(this->presumedLeader(), ProposeRequest { sequence, proposal.command });
    return sequence;
}

template <SnapshotCodec Codec>
void EntryService<Codec>::proposeForLeaseManager(Instant now, Command command)
{
    const auto sequence = ++this->lastSequence;
    const auto& proposal = this->proposals.emplace(sequence, Proposal { std::move(command), now, now + timing::proposalResendInterval, false }).first->second;
    this->send(this->presumedLeader(), ProposeRequest { sequence, proposal.command });
}

template <SnapshotCodec Codec>
void EntryService<Codec>::resendProposals(Instant now)
{
    for (auto item = this->proposals.begin(); item != this->proposals.end();) {
        auto& [sequence, proposal] = *item;
        if (now >= proposal.deadline) {
            if (proposal.isFromCaller) {
                this->finishedProposals.push_back({ sequence, ResultCode::NoQuorum, {} });
            }
            item = this->proposals.erase(item);
            continue;
        }
        if (proposal.isFromCaller && now - proposal.sentAt >= timing::proposalResendInterval) {
            proposal.sentAt = now;
            this->send(this->presumedLeader(), ProposeRequest { sequence, proposal.command });
        }
        ++item;
    }
}

template <SnapshotCodec Codec>
std::vector<PeerLocation> EntryService<Codec>::members() const
{
    const auto* accepted = this->ownership.acceptedBundle();
    if (accepted == nullptr || accepted->bundle.members.empty()) {
        return this->identity.bootstrapMembers;
    }
    std::vector<PeerLocation> locations;
    for (const auto& member : accepted->bundle.members) {
        const auto zone = std::ranges::find(accepted->bundle.zones, member.zone, &ZoneSpec::id);
        locations.push_back({ member.id, member.zone, zone == accepted->bundle.zones.end() ? RegionId {} : zone->region });
    }
    return locations;
}

/// @return Feed sources, nearest first: members of the zone, members of the region, other members, other entry VMs of
/// the zone.
template <SnapshotCodec Codec>
std::vector<PeerLocation> EntryService<Codec>::feedSources() const
{
    auto sources = this->members();
    std::ranges::stable_sort(sources, std::ranges::less {}, [this](const PeerLocation& location) {
        return location.zone == this->identity.zone ? 0 : location.region == this->identity.region ? 1
                                                                                                   : 2;
    });
    if (const auto* accepted = this->ownership.acceptedBundle()) {
        for (const auto& entry : accepted->bundle.entries) {
            if (entry.zone == this->identity.zone && entry.id != this->identity.node) {
                sources.push_back({ entry.id, entry.zone, this->identity.region });
            }
        }
    }
    return sources;
}

template <SnapshotCodec Codec>
NodeId EntryService<Codec>::presumedLeader() const
{
    if (this->leader != NodeId {}) {
        return this->leader;
    }
    const auto locations = this->members();
    return locations.empty() ? NodeId {} : locations[this->memberIndex % locations.size()].node;
}

template <SnapshotCodec Codec>
void EntryService<Codec>::selectNextMember()
{
    this->leader = NodeId {};
    ++this->memberIndex;
}

template <SnapshotCodec Codec>
void EntryService<Codec>::selectNextFeedSource()
{
    this->isFeedRequested = false;
    this->transfer.reset();
    ++this->feedSourceIndex;
}

template <SnapshotCodec Codec>
void EntryService<Codec>::renewDelegation(Instant now)
{
    if (this->delegationRequest && now - this->delegationRequest->sentAt >= timing::delegationTimeout) {
        this->delegationRequest.reset();
        this->selectNextMember();
        this->nextRenewal = now;
    }
    if (this->delegationRequest || now < this->nextRenewal) {
        return;
    }
    const auto sequence = ++this->lastSequence;
    this->delegationRequest = SentDelegationRequest { sequence, now };
    this->nextRenewal = now + timing::delegationRenewal;
    const auto* inForce = this->ownership.bundleInForce(this->identity.region);
    DelegationRequest request { sequence, this->identity.boot, this->ownership.appliedIndex(), inForce ? inForce->bundle.version : BundleVersion {}, this->load.isHealthy, std::move(this->load.loads), std::move(this->load.hotKeys) };
    this->load.loads.clear();
    this->load.hotKeys.clear();
    this->send(this->presumedLeader(), std::move(request));
}

template <SnapshotCodec Codec>
void EntryService<Codec>::handleDelegationReply(Instant now, NodeId from, const DelegationReply& reply)
{
    // A reply to an earlier request could extend the delegation from a later time than that request was sent.
    if (!this->delegationRequest || this->delegationRequest->sequence != reply.sequence) {
        return;
    }
    const auto sentAt = this->delegationRequest->sentAt;
    this->delegationRequest.reset();
    if (reply.code == ResultCode::Ok && reply.commitIndex > this->leaderCommit) {
        this->leaderCommitSeenAt = this->leaderCommit > this->ownership.appliedIndex() ? this->leaderCommitSeenAt : now;
        this->leaderCommit = reply.commitIndex;
    }
    if (reply.code == ResultCode::Ok) {
        this->leader = from;
        this->leaseManager.addDelegation(sentAt, reply);
        return;
    }
    if (reply.code != ResultCode::NotLeader) {
        // The leader refuses a delegation while the bundle does not list this entry VM or an expiry of a session here
        // is pending.
        this->leader = from;
    } else if (reply.leader != NodeId {} && reply.leader != from) {
        this->leader = reply.leader;
        this->nextRenewal = now;
    } else {
        this->selectNextMember();
        this->nextRenewal = now + timing::delegationTimeout / 4;
    }
}

template <SnapshotCodec Codec>
void EntryService<Codec>::requestFeed(Instant now)
{
    const auto isLagging = this->leaderCommit > this->ownership.appliedIndex() && !this->transfer && now >= this->leaderCommitSeenAt + timing::feedLagTimeout && now >= this->feedNotBefore;
    if (this->isFeedRequested && (now >= this->feedDueAt || isLagging)) {
        this->selectNextFeedSource();
        this->leaderCommitSeenAt = now;
    }
    const auto sources = this->feedSources();
    if (this->isFeedRequested || now < this->feedNotBefore || sources.empty()) {
        return;
    }
    this->isFeedRequested = true;
    this->feedDueAt = now + timing::feedTimeout;
    this->feedSequence = ++this->lastSequence;
    FeedRequest request { this->feedSequence, this->ownership.appliedIndex(), {}, 0 };
    if (this->transfer) {
        request.snapshotIndex = this->transfer->index;
        request.snapshotOffset = this->transfer->bytes.size();
    }
    this->send(sources[this->feedSourceIndex % sources.size()].node, request);
}

template <SnapshotCodec Codec>
void EntryService<Codec>::handleFeedReply(Instant now, const FeedReply& reply)
{
    if (!this->isFeedRequested || reply.sequence != this->feedSequence) {
        return;
    }
    this->isFeedRequested = false;
    const auto before = this->ownership.appliedIndex();
    if (reply.snapshotTotalBytes != 0) {
        this->handleSnapshotPart(reply);
    } else {
        for (const auto& entry : reply.entries) {
            if (entry.index.value == this->ownership.appliedIndex().value + 1) {
                auto outcome = this->ownership.apply(entry.index, entry.command);
                if (std::holds_alternative<ExpireUpstream>(entry.command) || std::holds_alternative<ReleaseSlots>(entry.command)) {
                    // Renew now: the renewal reports the applied index, and the leader reassigns the freed slots once
                    // every entry VM has reported this log entry as applied.
                    this->nextRenewal = now;
                }
                this->appliedEntries.push_back({ entry, std::move(outcome) });
            }
        }
    }
    const auto hasMore = this->transfer || (this->ownership.appliedIndex() < reply.lastIndex && this->ownership.appliedIndex() > before);
    if (hasMore) {
        this->feedNotBefore = now + timing::feedPause;
    } else if (this->feedSourceIndex % this->feedSources().size() >= this->members().size()) {
        // An entry VM replies at once instead of holding the request open; the next request goes to a member again.
        this->feedNotBefore = now + feedHold;
        this->feedSourceIndex = 0;
    }
    this->requestFeed(now);
}

template <SnapshotCodec Codec>
void EntryService<Codec>::handleSnapshotPart(const FeedReply& reply)
{
    // A snapshot that is not newer than the applied state would revert it.
    if (reply.snapshotIndex <= this->ownership.appliedIndex()) {
        this->transfer.reset();
        return;
    }
    if (!this->transfer || this->transfer->index != reply.snapshotIndex) {
        this->transfer = SnapshotTransfer { reply.snapshotIndex, {} };
    }
    auto& bytes = this->transfer->bytes;
    if (reply.snapshotOffset != bytes.size()) {
        this->transfer.reset();
        return;
    }
    bytes.insert(bytes.end(), reply.snapshotBytes.begin(), reply.snapshotBytes.end());
    if (bytes.size() < reply.snapshotTotalBytes) {
        return;
    }
    auto decoded = this->codec.decode(bytes);
    this->transfer.reset();
    if (decoded && decoded->appliedIndex > this->ownership.appliedIndex()) {
        this->ownership.restore(std::move(*decoded));
        this->appliedEntries.clear();
        this->isRestored = true;
    }
}

template <SnapshotCodec Codec>
void EntryService<Codec>::handleProposeReply(NodeId from, const ProposeReply& reply)
{
    const auto found = this->proposals.find(reply.sequence);
    if (found == this->proposals.end()) {
        return;
    }
    if (reply.code == ResultCode::Ok) {
        this->leader = from;
        if (found->second.isFromCaller) {
            this->finishedProposals.push_back({ reply.sequence, reply.outcome.code, reply.outcome });
        }
        this->proposals.erase(found);
        return;
    }
    // Other results are resent after the resend interval, by then to the leader that the reply named.
    if (reply.leader != NodeId {} && reply.leader != from) {
        this->leader = reply.leader;
    } else if (this->leader == from) {
        this->selectNextMember();
    }
}

/// Replies with a snapshot of the whole state: entry VMs keep no log, and only peers that were cut off from every
/// member send them feed requests.
template <SnapshotCodec Codec>
void EntryService<Codec>::handlePeerFeedRequest(NodeId from, const FeedRequest& request)
{
    const auto applied = this->ownership.appliedIndex();
    FeedReply reply { request.sequence, applied, {}, 0, 0, {}, {} };
    if (request.appliedIndex < applied) {
        if (!this->servedSnapshot || (request.snapshotIndex != this->servedSnapshot->index && this->servedSnapshot->index < applied)) {
            this->servedSnapshot = SnapshotTransfer { applied, this->codec.encode(this->ownership.snapshot()) };
        }
        const auto& bytes = this->servedSnapshot->bytes;
        const auto continues = request.snapshotIndex == this->servedSnapshot->index;
        const auto begin = continues ? std::min<std::size_t>(request.snapshotOffset, bytes.size()) : 0;
        const auto end = std::min(begin + feedSnapshotPartBytes, bytes.size());
        reply.snapshotOffset = begin;
        reply.snapshotTotalBytes = bytes.size();
        reply.snapshotIndex = this->servedSnapshot->index;
        reply.snapshotBytes.assign(bytes.begin() + static_cast<std::ptrdiff_t>(begin), bytes.begin() + static_cast<std::ptrdiff_t>(end));
    }
    this->send(from, std::move(reply));
}

template <SnapshotCodec Codec>
EntryEffects EntryService<Codec>::takeEffects()
{
    return { std::exchange(this->outbound, {}), std::exchange(this->appliedEntries, {}), std::exchange(this->isRestored, false), std::exchange(this->finishedProposals, {}) };
}

}
