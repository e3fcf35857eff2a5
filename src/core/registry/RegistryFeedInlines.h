#pragma once

#include "core/registry/RegistryService.h"

#include <algorithm>
#include <utility>

/// Feeds of RegistryService: what entry VMs get of the log.
namespace teaselturn {

namespace registry {
    /// How long a member holds a feed request open when it has nothing new.
    inline constexpr std::chrono::milliseconds feedHold { 300 };
    /// Speed at which a long answer arrives at least: compressed to a fifth over a shared link of 1 Mbit/s.
    inline constexpr std::size_t slowestBytesPerMs = 5 * 125;
    /// Entries in one feed answer, in bytes.
    inline constexpr std::size_t feedBytes = 48 * 1024;
    /// Entry VMs that are up to this many entries behind get them in datagrams, a few entries each: a stream that loses a
    /// packet stalls for seconds, and everything behind it.
    inline constexpr std::uint64_t datagramFeedEntries = 96;
    /// Entries in one datagram, in bytes as estimated; compressed they fit.
    inline constexpr std::size_t datagramFeedBytes = 2'000;
    /// Datagrams that answer one request. From another region each further request takes 60 ms, and a link of 2 Mbit/s
    /// carries this many in 50 ms.
    inline constexpr std::size_t feedDatagrams = 8;
    /// Part of a snapshot in one feed answer, in bytes.
    inline constexpr std::size_t feedSnapshotPartBytes = 256 * 1024;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::takeFeedRequest(Instant now, NodeId from, const FeedRequest& request)
{
    if (!this->isCurrent(now)) {
        return;
    }
    if (request.appliedIndex < this->registry.appliedIndex()) {
        this->feedWaiters.erase(from);
        this->sendFeed(now, from, request);
        return;
    }
    this->feedWaiters[from] = FeedWaiter { request, now + registry::feedHold };
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::answerFeeds(Instant now)
{
    const bool mayAnswer = this->isCurrent(now);
    for (auto waiter = this->feedWaiters.begin(); waiter != this->feedWaiters.end();) {
        const auto hasNews = waiter->second.request.appliedIndex < this->registry.appliedIndex();
        if ((!hasNews || !mayAnswer) && now < waiter->second.answerBy) {
            ++waiter;
            continue;
        }
        if (mayAnswer) {
            this->sendFeed(now, waiter->first, waiter->second.request);
        }
        waiter = this->feedWaiters.erase(waiter);
    }
}

template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::isNear(const FeedRequest& request) const noexcept
{
    return this->registry.appliedIndex().value - request.appliedIndex.value <= registry::datagramFeedEntries;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::replyInDatagrams(NodeId to, FeedReply answer)
{
    auto entries = std::exchange(answer.entries, {});
    std::size_t bytes = 0;
    for (auto& entry : entries) {
        const auto size = estimatedBytes(entry.command);
        if (!answer.entries.empty() && bytes + size > registry::datagramFeedBytes) {
            // As answers to an earlier request they do not end the wait for the last one.
            auto part = answer;
            --part.sequence;
            this->reply(to, std::move(part));
            answer.entries.clear();
            bytes = 0;
        }
        bytes += size;
        answer.entries.push_back(std::move(entry));
    }
    this->reply(to, std::move(answer));
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::sendFeed(Instant now, NodeId to, const FeedRequest& request)
{
    auto& last = this->sentFeeds[to];
    const bool isRepeat = last.appliedIndex == request.appliedIndex && last.snapshotOffset == request.snapshotOffset;
    if (isRepeat && now < last.arrivesBy) {
        return;
    }
    auto answer = this->feedReply(request);
    std::size_t bytes = answer.snapshotBytes.size();
    for (const auto& entry : answer.entries) {
        bytes += estimatedBytes(entry.command);
    }
    const auto transfer = std::chrono::milliseconds { bytes / registry::slowestBytesPerMs };
    last = SentFeed { request.appliedIndex, request.snapshotOffset, now + transfer };
    if (this->isNear(request)) {
        this->replyInDatagrams(to, std::move(answer));
    } else {
        this->reply(to, std::move(answer));
    }
}

template <RandomSource Random, RegistryCodec Codec>
FeedReply RegistryService<Random, Codec>::feedReply(const FeedRequest& request)
{
    const auto applied = this->registry.appliedIndex();
    if (request.snapshotIndex == LogIndex {} || request.snapshotIndex != this->feedSnapshotIndex) {
        auto entries = this->member.committedAfter(request.appliedIndex, this->isNear(request) ? registry::feedDatagrams * registry::datagramFeedBytes : registry::feedBytes);
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
    FeedReply answer { request.sequence, applied, {}, begin, this->feedSnapshot.size(), this->feedSnapshotIndex, {} };
    answer.snapshotBytes.assign(this->feedSnapshot.begin() + static_cast<std::ptrdiff_t>(begin), this->feedSnapshot.begin() + static_cast<std::ptrdiff_t>(end));
    return answer;
}

}
