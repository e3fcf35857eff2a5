#pragma once

#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <string>

namespace teaselturn {

/// Leaky bucket that tracks the load on the network link of an entry VM. Each request reserves the bytes that it and
/// its response are expected to put on the link in each direction; the backlog drains at the link's speed. A saturated
/// link delays every response and drops datagrams of the registry's feed, so the dispatcher refuses requests before the
/// link is full. Deterministic; not thread-safe.
class BandwidthBudget {
public:
    /// @param bytesPerSecond Speed of the link in each direction. Zero means unlimited.
    explicit BandwidthBudget(std::size_t bytesPerSecond) noexcept
        : bytesPerSecond(static_cast<double>(bytesPerSecond))
    {
    }

    /// Leaves half of the link to the registry's feed while that is delayed. A link that was not full is not the cause of the
    /// delay and stays available to requests.
    void setFeedDelayed(Instant now, bool isDelayed) noexcept
    {
        this->drain(now);
        this->isYielding = isDelayed && this->busyShare > minBusyShare;
    }

    /// @return Expected size of a request and its response on this route, in bytes.
    double expectedBytes(const std::string& route, std::size_t requestBytes) const noexcept
    {
        const auto average = this->responseBytes.find(route);
        return static_cast<double>(requestBytes) + (average == this->responseBytes.end() ? 0 : average->second);
    }

    /// @return Time until the link has carried all reserved bytes.
    Duration queueingDelay(Instant now) noexcept
    {
        if (this->bytesPerSecond <= 0) {
            return Duration::zero();
        }
        this->drain(now);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { this->backlog / this->usableBytesPerSecond() });
    }

    /// Adds bytes to the backlog.
    void reserve(Instant now, double bytes) noexcept
    {
        this->drain(now);
        this->backlog += bytes;
    }

    /// Removes reserved bytes that a request did not use: it got no response, or a smaller one than expected.
    void release(Instant now, double bytes) noexcept
    {
        this->drain(now);
        this->backlog = std::max(0.0, this->backlog - bytes);
    }

    /// Updates the expected response size of a route (exponential moving average).
    void recordResponseSize(const std::string& route, std::size_t bytes)
    {
        const auto size = static_cast<double>(bytes);
        const auto [average, isNew] = this->responseBytes.try_emplace(route, size);
        if (!isNew) {
            average->second += (size - average->second) * responseSizeWeight;
        }
    }

    /// Removes the expected response size of every route for which the predicate returns false.
    template <typename IsKept>
    void retainRoutes(IsKept isKept)
    {
        absl::erase_if(this->responseBytes, [&isKept](const auto& item) { return !isKept(item.first); });
    }

private:
    /// The rest is for the registry's feed, load reports and TCP overhead.
    static constexpr double usableFraction = 0.85;
    /// Fraction while a full link delays the feed. A full link drops datagrams, so the feed returns only once the queue in front
    /// of the link is gone.
    static constexpr double yieldingFraction = 0.5;
    /// Share of the last second in which requests waited for the link, from which it counts as full. A single large body
    /// keeps the link busy for half a second.
    static constexpr double minBusyShare = 0.7;
    static constexpr std::chrono::duration<double> busyShareTime { 1.0 };
    /// Weight of one response in the moving average of a route's response size.
    static constexpr double responseSizeWeight = 0.05;

    double usableBytesPerSecond() const noexcept { return this->bytesPerSecond * (this->isYielding ? yieldingFraction : usableFraction); }

    void drain(Instant now) noexcept
    {
        const auto elapsed = std::chrono::duration<double> { std::max<Duration>(now - this->lastDrainedAt, Duration::zero()) };
        if (this->bytesPerSecond > 0 && elapsed.count() > 0) {
            const std::chrono::duration<double> busy { std::min(elapsed.count(), this->backlog / this->usableBytesPerSecond()) };
            const auto kept = std::exp(-elapsed / busyShareTime);
            this->busyShare = this->busyShare * kept + busy / elapsed * (1 - kept);
        }
        this->backlog = std::max(0.0, this->backlog - elapsed.count() * this->usableBytesPerSecond());
        this->lastDrainedAt = std::max(this->lastDrainedAt, now);
    }

    double bytesPerSecond;
    double backlog {};
    double busyShare {};
    bool isYielding {};
    Instant lastDrainedAt;
    absl::flat_hash_map<std::string, double> responseBytes;
};

}
