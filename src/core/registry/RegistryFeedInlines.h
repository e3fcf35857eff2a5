#pragma once

#include "core/registry/RegistryService.h"

#include <algorithm>
#include <utility>

/// Feeds of RegistryService: committed entries and snapshots for entry VMs.
namespace teaselturn {

namespace registry {
    /// How long a member holds a feed request open if it has no new entries.
    inline constexpr std::chrono::milliseconds feedHold { 300 };
    /// Lowest expected transfer rate of a long reply, in uncompressed bytes per millisecond, assuming 5:1 compression
    /// and a shared link of 1 Mbit/s (125 bytes per millisecond).
    inline constexpr std::size_t minBytesPerMs = 5 * 125;
    /// Size limit of the entries in one feed reply, in bytes.
    inline constexpr std::size_t feedReplyBytes = 48 * 1024;
    /// Entry VMs that lag by at most this many entries get them in datagrams of a few entries each, in several replies if
    /// need be: a stream that loses a packet stalls for seconds, with everything queued behind it. Members commit 150
    /// entries within 2 s when many upstreams leave or move at once.
    inline constexpr std::uint64_t maxDatagramFeedEntries = 512;
    /// Limit of the estimated size of the entries in one datagram, in bytes before compression; compressed they fit.
    inline constexpr std::size_t maxDatagramFeedBytes = 2'000;
    /// Maximum number of datagrams in reply to one request. Each further request from another region takes 60 ms, and a
    /// link of 2 Mbit/s carries this many datagrams in 50 ms.
    inline constexpr std::size_t maxFeedDatagrams = 8;
    /// Size limit of the snapshot part in one feed reply, in bytes.
    inline constexpr std::size_t feedSnapshotPartBytes = 256 * 1024;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::handleFeedRequest(Instant now, NodeId from, const FeedRequest& request)
{
    if (!this->isUpToDate(now)) {
        return;
    }
    const auto inTransitUntil = this->replyInTransitUntil(from, request);
    if (request.appliedIndex < this->registry.appliedIndex() && inTransitUntil <= now) {
        this->feedWaiters.erase(from);
        this->sendFeedReply(now, from, request);
        return;
    }
    // A request that repeats an earlier one is answered all the same, only later: dropping it would cost the entry VM its
    // reply timeout whenever datagrams of a reply are lost or change places.
    this->feedWaiters[from] = FeedWaiter { request, std::max(now + registry::feedHold, inTransitUntil), inTransitUntil };
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::replyToFeeds(Instant now)
{
    const bool mayReply = this->isUpToDate(now);
    for (auto waiter = this->feedWaiters.begin(); waiter != this->feedWaiters.end();) {
        const auto hasNewEntries = waiter->second.request.appliedIndex < this->registry.appliedIndex();
        const bool isDue = now >= waiter->second.replyBy || (hasNewEntries && mayReply && now >= waiter->second.notBefore);
        if (!isDue) {
            ++waiter;
            continue;
        }
        if (mayReply) {
            this->sendFeedReply(now, waiter->first, waiter->second.request);
        }
        waiter = this->feedWaiters.erase(waiter);
    }
}

template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::isServedByDatagrams(const FeedRequest& request) const noexcept
{
    return this->registry.appliedIndex().value - request.appliedIndex.value <= registry::maxDatagramFeedEntries;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::replyInDatagrams(NodeId to, FeedReply reply)
{
    auto entries = std::exchange(reply.entries, {});
    std::size_t bytes = 0;
    for (auto& entry : entries) {
        const auto size = estimatedBytes(entry.command);
        if (!reply.entries.empty() && bytes + size > registry::maxDatagramFeedBytes) {
            // Numbered as a reply to an earlier request, so that only the last datagram completes the current request.
            auto part = reply;
            --part.sequence;
            this->send(to, std::move(part));
            reply.entries.clear();
            bytes = 0;
        }
        bytes += size;
        reply.entries.push_back(std::move(entry));
    }
    this->send(to, std::move(reply));
}

template <RandomSource Random, RegistryCodec Codec>
Instant RegistryService<Random, Codec>::replyInTransitUntil(NodeId to, const FeedRequest& request) const
{
    const auto last = this->sentFeedReplies.find(to);
    const bool isRepeat = last != this->sentFeedReplies.end() && last->second.appliedIndex == request.appliedIndex && last->second.snapshotOffset == request.snapshotOffset;
    return isRepeat ? last->second.arrivesBy : Instant {};
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::sendFeedReply(Instant now, NodeId to, const FeedRequest& request)
{
    auto reply = this->makeFeedReply(request);
    std::size_t bytes = reply.snapshotBytes.size();
    for (const auto& entry : reply.entries) {
        bytes += estimatedBytes(entry.command);
    }
    const auto transfer = std::chrono::milliseconds { bytes / registry::minBytesPerMs };
    this->sentFeedReplies[to] = SentFeedReply { request.appliedIndex, request.snapshotOffset, now + transfer };
    if (this->isServedByDatagrams(request)) {
        this->replyInDatagrams(to, std::move(reply));
    } else {
        this->send(to, std::move(reply));
    }
}

template <RandomSource Random, RegistryCodec Codec>
FeedReply RegistryService<Random, Codec>::makeFeedReply(const FeedRequest& request)
{
    const auto applied = this->registry.appliedIndex();
    if (request.snapshotIndex == LogIndex {} || request.snapshotIndex != this->feedSnapshotIndex) {
        auto entries = this->member.committedAfter(request.appliedIndex, this->isServedByDatagrams(request) ? registry::maxFeedDatagrams * registry::maxDatagramFeedBytes : registry::feedReplyBytes);
        if (entries) {
            std::erase_if(*entries, [applied](const LogEntry& entry) { return entry.index > applied; });
            return FeedReply { request.sequence, applied, std::move(*entries), 0, 0, {}, {} };
        }
        if (this->feedSnapshotIndex <= request.appliedIndex || this->feedSnapshotIndex < this->member.firstIndex()) {
            this->feedSnapshotIndex = applied;
            this->feedSnapshot = this->codec.encode(this->registry.snapshot());
        }
    }
    const auto offset = request.snapshotIndex == this->feedSnapshotIndex ? request.snapshotOffset : 0;
    const auto begin = std::min<std::size_t>(offset, this->feedSnapshot.size());
    const auto end = std::min(begin + registry::feedSnapshotPartBytes, this->feedSnapshot.size());
    FeedReply reply { request.sequence, applied, {}, begin, this->feedSnapshot.size(), this->feedSnapshotIndex, {} };
    reply.snapshotBytes.assign(this->feedSnapshot.begin() + static_cast<std::ptrdiff_t>(begin), this->feedSnapshot.begin() + static_cast<std::ptrdiff_t>(end));
    return reply;
}

}
