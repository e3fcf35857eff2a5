#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace teaselturn {

/// Limits the retries of one service, over all entry VMs, in a sliding window.
struct RetryBounds {
    /// Allowed retries per 1,000 requests.
    std::uint32_t ratioPerMille { 200 };
    /// Retries allowed per window in addition to the ratio, shared by all entry VMs.
    std::uint32_t slack { 10 };
    std::chrono::milliseconds window { 10'000 };
};

/// Retry budget of one service at this entry VM. Each entry VM counts only its own requests, and the slack is divided
/// by the number of entry VMs, so the total stays within the bounds without coordination. Deterministic, allocates
/// nothing; not thread-safe.
class RetryWindow {
public:
    /// Counts a caller's request, not its retries.
    void recordRequest(Instant now, const RetryBounds& bounds) noexcept { ++this->bucket(now, bounds).requests; }

    /// Consumes a retry, if the window has one left.
    /// @param entryVmCount Entry VMs that share the slack.
    /// @return False if the window has no retry left.
    bool tryRetry(Instant now, const RetryBounds& bounds, std::uint32_t entryVmCount) noexcept
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
        // An upstream counts a request when it arrives, up to one round trip later, so only part of the limit is used.
        const auto allowed = (requests * bounds.ratioPerMille / 1'000 + bounds.slack / std::max(1U, entryVmCount)) * usablePercent / 100;
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
