#include "core/registry/KeyRanges.h"

#include <algorithm>

namespace teaselturn {

namespace {

    /// Splits the range that contains a key so that a range begins at the key.
    void splitAt(std::vector<KeyRange>& ranges, std::uint32_t first)
    {
        const auto found = std::ranges::find_if(ranges, [first](const KeyRange& range) { return range.first < first && first <= range.last; });
        if (found == ranges.end()) {
            return;
        }
        auto upper = *found;
        upper.first = static_cast<KeyNumber>(first);
        found->last = static_cast<KeyNumber>(first - 1);
        ranges.insert(found + 1, std::move(upper));
    }

    /// Splits ranges so that one begins at the first key and one ends at the last key.
    /// @return The ranges from the first to the last key.
    std::span<KeyRange> splitAround(std::vector<KeyRange>& ranges, KeyNumber first, KeyNumber last)
    {
        if (ranges.empty()) {
            ranges = emptyKeyRanges();
        }
        splitAt(ranges, first);
        splitAt(ranges, std::uint32_t { last } + 1);
        const auto begin = std::ranges::lower_bound(ranges, first, {}, &KeyRange::first);
        const auto end = std::ranges::upper_bound(ranges, last, {}, &KeyRange::first);
        return { begin, end };
    }

    bool isJoinable(const KeyRange& left, const KeyRange& right) noexcept
    {
        return left.owner == right.owner && left.fence == right.fence && left.handover == right.handover && left.target == right.target;
    }

}

std::vector<KeyRange> emptyKeyRanges()
{
    return { KeyRange { 0, keyNumberCount - 1, {}, {}, {}, {} } };
}

const KeyRange* findKeyRange(std::span<const KeyRange> ranges, KeyNumber key) noexcept
{
    const auto next = std::ranges::upper_bound(ranges, key, {}, &KeyRange::first);
    return next == ranges.begin() ? nullptr : &*(next - 1);
}

void grantKeys(std::vector<KeyRange>& ranges, const KeyRangeGrant& grant, Fence fence)
{
    if (grant.first > grant.last) {
        return;
    }
    for (auto& range : splitAround(ranges, grant.first, grant.last)) {
        range.owner = grant.owner;
        range.fence = fence;
        range.handover = grant.handover;
        range.target = {};
        range.expectedDelay = grant.expectedDelay;
    }
}

void markMove(std::vector<KeyRange>& ranges, const KeyRangeMove& move)
{
    if (move.first > move.last) {
        return;
    }
    for (auto& range : splitAround(ranges, move.first, move.last)) {
        if (range.isOwned() && range.owner != move.target) {
            range.target = move.target;
        }
    }
}

void joinKeyRanges(std::vector<KeyRange>& ranges)
{
    std::size_t kept = 0;
    for (std::size_t i = 1; i < ranges.size(); ++i) {
        if (isJoinable(ranges[kept], ranges[i])) {
            ranges[kept].last = ranges[i].last;
        } else if (++kept != i) {
            // Only moved to another element: self-move-assignment may empty a string.
            ranges[kept] = std::move(ranges[i]);
        }
    }
    if (!ranges.empty()) {
        ranges.resize(kept + 1);
    }
}

}
