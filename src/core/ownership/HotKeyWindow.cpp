#include "core/ownership/HotKeyWindow.h"

#include "core/ownership/OwnershipState.h"

#include <algorithm>

namespace teaselturn {

void HotKeyWindow::reset(Instant now)
{
    this->buckets.clear();
    this->startedAt = now;
}

void HotKeyWindow::expire(Instant now)
{
    while (!this->buckets.empty() && this->buckets.front().start + windowLength <= now) {
        this->buckets.pop_front();
    }
}

void HotKeyWindow::add(Instant now, std::span<const SlotLoad> loads, std::span<const HotKeySample> samples)
{
    this->expire(now);
    if (this->buckets.empty() || this->buckets.back().start + bucketLength <= now) {
        this->buckets.push_back({ now, {}, {} });
    }
    auto& bucket = this->buckets.back();
    for (const auto& load : loads) {
        bucket.totals[load.slot.service] += load.requests;
    }
    for (const auto& sample : samples) {
        Key key { sample.service, sample.key };
        if (const auto found = bucket.keys.find(key); found != bucket.keys.end()) {
            found->second += sample.requests;
        } else if (bucket.keys.size() < maxKeysPerBucket && sample.key.size() <= limits::maxKeyBytes) {
            bucket.keys.emplace(std::move(key), sample.requests);
        }
    }
}

HotKeyWindow::Bucket HotKeyWindow::sum() const
{
    Bucket sum;
    for (const auto& bucket : this->buckets) {
        for (const auto& [service, requests] : bucket.totals) {
            sum.totals[service] += requests;
        }
        for (const auto& [key, requests] : bucket.keys) {
            sum.keys[key] += requests;
        }
    }
    return sum;
}

std::vector<IsolateHotKey> HotKeyWindow::hotKeys(Instant now, const OwnershipState& state)
{
    this->expire(now);
    const auto sum = this->sum();
    std::vector<std::pair<std::uint64_t, const Key*>> candidates;
    for (const auto& [key, requests] : sum.keys) {
        const auto total = sum.totals.find(key.first);
        const bool isHot = total != sum.totals.end() && total->second >= minRequests && requests * hotDivisor > total->second;
        if (isHot && !state.partitions(key.first).empty() && state.findHotKey(key.first, key.second) == nullptr) {
            candidates.emplace_back(requests, &key);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    const auto room = maxIsolatedHotKeys - std::min(maxIsolatedHotKeys, state.hotKeyCount());
    std::vector<IsolateHotKey> isolated;
    for (std::size_t i = 0; i < std::min(room, candidates.size()); ++i) {
        isolated.push_back({ candidates[i].second->first, candidates[i].second->second });
    }
    return isolated;
}

std::vector<SlotId> HotKeyWindow::coldKeys(Instant now, const OwnershipState& state)
{
    this->expire(now);
    std::vector<SlotId> cold;
    if (now < this->startedAt + windowLength) {
        return cold;
    }
    const auto sum = this->sum();
    state.forEachHotKey([&](const HotKeyRecord& hotKey) {
        const auto total = sum.totals.find(hotKey.slot.service);
        const auto found = sum.keys.find({ hotKey.slot.service, hotKey.key });
        const auto requests = found == sum.keys.end() ? 0 : found->second;
        if (total == sum.totals.end() || requests * coldDivisor < std::max(total->second, minRequests)) {
            cold.push_back(hotKey.slot);
        }
    });
    return cold;
}

}
