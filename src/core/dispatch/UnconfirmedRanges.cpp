#include "core/dispatch/UnconfirmedRanges.h"

#include <algorithm>

namespace teaselturn {

namespace {

    /// Delay before a request is sent again to an owner that refused its key: long enough for a new owner to be
    /// announced, short compared with request deadlines. Each further refusal doubles the delay.
    constexpr std::chrono::milliseconds misdirectedRetryDelay { 120 };
    constexpr std::uint32_t maxRetryDelayDoublings { 3 };
    /// Expected time without an owner for keys that are moving, from the first refusal of the former owner: a commit
    /// across regions and the next owner's heartbeat.
    constexpr std::chrono::milliseconds expectedMoveTime { 150 };
    /// A move that takes longer is assumed to have stopped; the former owner may hold the keys again.
    constexpr std::chrono::milliseconds moveTimeout { 1'200 };
    /// Time for a proposal to be committed across regions and reach this entry VM by the feed, less the time that a
    /// heartbeat reply takes.
    constexpr std::chrono::milliseconds feedDelay { 50 };

}

const UnconfirmedRange* UnconfirmedRanges::find(const KeyRange* range) const
{
    const auto found = range == nullptr ? this->records.end() : this->records.find(rangeId(*range));
    return found == this->records.end() ? nullptr : &found->second;
}

Instant UnconfirmedRanges::recordRefusal(Instant now, const KeyRange& range)
{
    auto& record = this->records[rangeId(range)];
    const auto delay = misdirectedRetryDelay * (1 << std::min(record.refusals, maxRetryDelayDoublings));
    const bool isReleased = range.isMoving() && record.refusals == 0;
    record.expectedAt = now + (isReleased ? expectedMoveTime : delay);
    record.probeAt = now + (isReleased ? moveTimeout : delay);
    ++record.refusals;
    return record.probeAt;
}

void UnconfirmedRanges::recordProbe(Instant now, const KeyRange& range)
{
    const auto found = this->records.find(rangeId(range));
    if (found != this->records.end()) {
        found->second.probeAt = now + misdirectedRetryDelay * 2;
        found->second.expectedAt = found->second.probeAt;
    }
}

void UnconfirmedRanges::confirm(const KeyRange& range)
{
    this->records.erase(rangeId(range));
}

void UnconfirmedRanges::sync(Instant now, std::span<const KeyRange> ranges, LogIndex previousIndex)
{
    absl::flat_hash_map<std::uint64_t, UnconfirmedRange> kept;
    for (const auto& range : ranges) {
        const auto previous = this->records.find(rangeId(range));
        if (previous != this->records.end()) {
            kept.insert(*previous);
        } else if (range.fence.value > previousIndex.value && range.expectedDelay > feedDelay) {
            // Until the reply to its next heartbeat, the new owner does not know that it owns these keys and would
            // refuse requests for them.
            const auto holdsAt = now + range.expectedDelay - feedDelay;
            kept.emplace(rangeId(range), UnconfirmedRange { holdsAt, holdsAt, 0 });
        }
    }
    this->records = std::move(kept);
}

}
