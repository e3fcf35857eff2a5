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
void RegistryReplica<Codec>::addProbes(Instant now, std::vector<OutboundMessage>& messages)
{
    const bool isLate = this->isRequestOutstanding && now - this->requestedAt > lateReplyDelay;
    const auto interval = this->isSearching || isLate ? searchInterval : probeInterval;
    if (this->lastProbeAt && now - *this->lastProbeAt < interval) {
        return;
    }
    this->lastProbeAt = now;
    ++this->probeSequence;
    for (const auto node : this->candidates()) {
        messages.push_back({ node, MemberProbe { this->probeSequence } });
    }
}

template <RegistryCodec Codec>
void RegistryReplica<Codec>::handleProbeReply(Instant now, NodeId from, const MemberProbeReply& reply)
{
    if (reply.sequence == this->probeSequence && this->lastProbeAt) {
        this->contacts[from] = Contact { now, now - *this->lastProbeAt };
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
            this->currentSource = this->nearest(now, this->currentSource);
            this->snapshotIndex = {};
            this->snapshotBytes.clear();
        }
        this->isRequestOutstanding = false;
    } else if (this->currentSource == NodeId {}) {
        this->currentSource = this->nearest(now, {});
    }
    if (this->currentSource != NodeId {}) {
        this->isRequestOutstanding = true;
        this->requestedAt = now;
        messages.push_back({ this->currentSource, FeedRequest { ++this->sequence, this->registry.appliedIndex(), this->snapshotIndex, this->snapshotBytes.size() } });
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
    for (const auto& entry : reply.entries) {
        if (entry.index.value == this->registry.appliedIndex().value + 1) {
            static_cast<void>(this->registry.apply(entry.index, entry.command));
        }
    }
    this->hasCaughtUp = this->hasCaughtUp || this->registry.appliedIndex() >= reply.lastIndex;
    if (isAwaited && this->registry.appliedIndex() >= reply.lastIndex) {
        this->currentAt = this->requestedAt;
    }
    return this->registry.appliedIndex() != before;
}

}
