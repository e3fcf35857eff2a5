#pragma once

#include "core/registry/RegistryReplica.h"

#include <algorithm>

namespace teaselturn {

template <RegistryCodec Codec>
std::vector<NodeId> RegistryReplica<Codec>::candidates() const
{
    std::vector<NodeId> nodes { this->seeds };
    for (const auto& member : this->registry.members()) {
        if (std::ranges::find(nodes, member.node) == nodes.end()) {
            nodes.push_back(member.node);
        }
    }
    return nodes;
}

template <RegistryCodec Codec>
NodeId RegistryReplica<Codec>::nearest(Instant now, NodeId except) const
{
    NodeId best;
    Duration bestRoundTrip {};
    for (const auto& [node, contact] : this->contacts) {
        if (node == except || now - contact.lastProbeReplyAt > probeReplyExpiry) {
            continue;
        }
        if (best == NodeId {} || contact.roundTrip < bestRoundTrip) {
            best = node;
            bestRoundTrip = contact.roundTrip;
        }
    }
    return best;
}

template <RegistryCodec Codec>
NodeId RegistryReplica<Codec>::sourceAfter(Instant now, NodeId silent) const
{
    if (const auto node = this->nearest(now, silent); node != NodeId {}) {
        return node;
    }
    const auto nodes = this->candidates();
    const auto position = std::ranges::find(nodes, silent);
    if (nodes.empty() || position == nodes.end()) {
        return nodes.empty() ? NodeId {} : nodes.front();
    }
    return position + 1 == nodes.end() ? nodes.front() : *(position + 1);
}

template <RegistryCodec Codec>
void RegistryReplica<Codec>::addProbes(Instant now, std::vector<OutboundMessage>& messages)
{
    const bool isLate = this->isRequestOutstanding && now - this->requestedAt > lateReplyDelay;
    const auto interval = this->isSearching || isLate ? searchInterval : probeInterval;
    if (this->lastProbeAt && now - *this->lastProbeAt < interval) {
        return;
    }
    this->lastProbeAt = now;
    this->probeTimes.record(++this->probeSequence, now);
    for (const auto node : this->candidates()) {
        messages.push_back({ node, MemberProbe { this->probeSequence } });
    }
}

template <RegistryCodec Codec>
void RegistryReplica<Codec>::handleProbeReply(Instant now, NodeId from, const MemberProbeReply& reply)
{
    // On a congested link a reply takes longer than the interval between probes.
    if (const auto sentAt = this->probeTimes.find(reply.sequence)) {
        this->contacts[from] = Contact { now, now - *sentAt };
    }
}

template <RegistryCodec Codec>
std::vector<OutboundMessage> RegistryReplica<Codec>::nextMessages(Instant now)
{
    std::vector<OutboundMessage> messages;
    this->addProbes(now, messages);
    if (this->isRequestOutstanding && now - this->requestedAt < replyTimeout) {
        return messages;
    }
    if (this->isRequestOutstanding) {
        // The datagram may be lost, the member down, or its reply still in transit on a slow link.
        const auto contact = this->contacts.find(this->currentSource);
        const bool isAlive = contact != this->contacts.end() && contact->second.lastProbeReplyAt > this->requestedAt;
        this->isSearching = true;
        if (!isAlive) {
            this->contacts.erase(this->currentSource);
            this->currentSource = this->sourceAfter(now, this->currentSource);
            this->snapshotIndex = {};
            this->snapshotBytes.clear();
        }
        this->isRequestOutstanding = false;
    } else if (this->currentSource == NodeId {}) {
        this->currentSource = this->nearest(now, {});
    }
    if (this->currentSource != NodeId {} && now >= this->requestNotBefore) {
        this->isRequestOutstanding = true;
        this->requestedAt = now;
        this->requestTimes.record(++this->sequence, now);
        messages.push_back({ this->currentSource, FeedRequest { this->sequence, this->registry.appliedIndex(), this->snapshotIndex, this->snapshotBytes.size() } });
    }
    return messages;
}

template <RegistryCodec Codec>
bool RegistryReplica<Codec>::appendSnapshotPart(const FeedReply& reply)
{
    if (reply.snapshotOffset == 0) {
        this->snapshotBytes.clear();
    }
    if (reply.snapshotOffset != this->snapshotBytes.size()) {
        return false;
    }
    this->snapshotIndex = reply.snapshotIndex;
    this->snapshotBytes.insert(this->snapshotBytes.end(), reply.snapshotBytes.begin(), reply.snapshotBytes.end());
    return this->snapshotBytes.size() >= reply.snapshotTotalBytes;
}

template <RegistryCodec Codec>
void RegistryReplica<Codec>::applyEntries(std::span<const LogEntry> entries)
{
    const auto next = [this] { return LogIndex { this->registry.appliedIndex().value + 1 }; };
    for (const auto& entry : entries) {
        if (entry.index == next()) {
            static_cast<void>(this->registry.apply(entry.index, entry.command));
        } else if (entry.index > next() && this->earlyEntries.size() < maxEarlyEntries) {
            this->earlyEntries.emplace(entry.index, entry.command);
        }
    }
    for (auto early = this->earlyEntries.begin(); early != this->earlyEntries.end() && early->first <= next(); early = this->earlyEntries.erase(early)) {
        if (early->first == next()) {
            static_cast<void>(this->registry.apply(early->first, early->second));
        }
    }
}

template <RegistryCodec Codec>
Result<bool> RegistryReplica<Codec>::handleFeedReply(Instant now, NodeId from, const FeedReply& reply)
{
    if (reply.sequence > this->sequence) {
        return false;
    }
    const bool isAwaited = from == this->currentSource && reply.sequence == this->sequence && this->isRequestOutstanding;
    if (isAwaited) {
        this->isRequestOutstanding = false;
        this->isSearching = false;
    }
    this->lastFeedReplyAt = now;
    const auto before = this->registry.appliedIndex();
    if (reply.snapshotTotalBytes > 0) {
        if (!isAwaited) {
            return false;
        }
        if (!this->appendSnapshotPart(reply)) {
            return false;
        }
        auto decoded = this->codec.decode(this->snapshotBytes);
        this->snapshotIndex = {};
        this->snapshotBytes.clear();
        if (!decoded) {
            return decoded.failure();
        }
        if (decoded->appliedIndex > before) {
            this->registry.restore(std::move(*decoded));
        }
    }
    // Entries of a reply that arrives after its request was repeated are used too: on a congested link every reply is
    // late.
    this->applyEntries(reply.entries);
    if (isAwaited) {
        this->requestNotBefore = this->earlyEntries.empty() ? Instant {} : now + reorderDelay;
    } else if (this->earlyEntries.empty()) {
        this->requestNotBefore = {};
    }
    this->hasCaughtUp = this->hasCaughtUp || this->registry.appliedIndex() >= reply.lastIndex;
    const auto sentAt = this->requestTimes.find(reply.sequence);
    if (sentAt && this->registry.appliedIndex() >= reply.lastIndex) {
        this->currentAt = std::max(this->currentAt, *sentAt);
    }
    return this->registry.appliedIndex() != before;
}

}
