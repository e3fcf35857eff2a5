#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace teaselturn {

/// Bounds of the retries of one service over all entry VMs in a sliding window.
struct RetryBounds {
    /// Retries for each request, in thousandths.
    std::uint32_t ratioPerMille { 200 };
    /// Retries in a window beyond the ratio, shared by all entry VMs.
    std::uint32_t slack { 10 };
    std::chrono::milliseconds window { 10'000 };
};

/// This entry VM's part of a service's retries. Every entry VM counts its own requests, and the slack is divided by
/// their number, so the sum keeps the bound without a message. Deterministic, allocates nothing; not thread-safe.
class RetryWindow {
public:
    /// Counts a request of a caller.
    void request(Instant now, const RetryBounds& bounds) noexcept { ++this->bucket(now, bounds).requests; }

    /// Takes a retry.
    /// @param entryCount Entry VMs that share the slack.
    /// @return False where the window has no retry left.
    bool tryRetry(Instant now, const RetryBounds& bounds, std::uint32_t entryCount) noexcept
    {
        auto& current = this->bucket(now, bounds);
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
        for (const auto& bucket : this->buckets) {
            if (bucket.number + bucketCount > current.number) {
                requests += bucket.requests;
                retries += bucket.retries;
            }
        }
        // Upstreams count an arrival when it reaches them, up to a round trip later; a part is kept back for that.
        const auto allowed = (requests * bounds.ratioPerMille / 1'000 + bounds.slack / std::max(1U, entryCount)) * usablePercent / 100;
        if (retries >= allowed) {
            return false;
        }
        ++current.retries;
        return true;
    }

private:
    static constexpr std::uint64_t bucketCount = 10;
    static constexpr std::uint64_t usablePercent = 80;

    struct Bucket {
        std::uint64_t number {};
        std::uint32_t requests {};
        std::uint32_t retries {};
    };

    Bucket& bucket(Instant now, const RetryBounds& bounds) noexcept
    {
        const auto length = std::max<Duration>(Duration { bounds.window } / bucketCount, std::chrono::milliseconds { 1 });
        const auto number = static_cast<std::uint64_t>(now.time_since_epoch() / length) + bucketCount;
        auto& bucket = this->buckets[number % bucketCount];
        if (bucket.number != number) {
            bucket = Bucket { number, 0, 0 };
        }
        return bucket;
    }

    std::array<Bucket, bucketCount> buckets {};
};

}
