#pragma once

#include "core/metrics/Counter.h"
#include "teaselturn/Types.h"

#include <array>
#include <bit>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselturn {

/// Latency histogram with log-linear buckets: each range from one power of two microseconds to the next is divided into
/// 32 buckets of equal width. It takes 5.9 KB; recording takes no lock and allocates nothing. Latencies above 134 s
/// count as 134 s.
class LatencyHistogram {
public:
    /// Buckets for each power of two. A percentile exceeds the exact value by at most one part in this many, plus 1 us.
    static constexpr std::uint64_t bucketsPerPower = 32;

    /// @param latency Negative latencies count as zero.
    void record(Duration latency) noexcept
    {
        const auto nanoseconds = latency.count() > 0 ? static_cast<std::uint64_t>(latency.count()) : 0;
        this->buckets[indexOf(nanoseconds)].add();
        this->total.add(nanoseconds);
    }

    /// @param share Percentile as a share, in (0, 1]; 0.99 for the 99th percentile.
    /// @return The upper bound of the bucket that contains the percentile; zero if nothing was recorded.
    Duration percentile(double share) const noexcept
    {
        const auto count = this->count();
        const auto rank = static_cast<double>(count) * share;
        std::uint64_t cumulativeCount = 0;
        for (std::size_t i = 0; i < bucketCount; ++i) {
            cumulativeCount += this->buckets[i].value();
            if (cumulativeCount > 0 && static_cast<double>(cumulativeCount) >= rank) {
                return upperBound(i);
            }
        }
        return count == 0 ? Duration::zero() : upperBound(bucketCount - 1);
    }

    std::uint64_t count() const noexcept { return this->countUpTo(Duration::max()); }

    /// @param bound The count is exact if this is the upper bound of a bucket, such as a power of two microseconds.
    /// Otherwise it leaves out the latencies in the bucket that contains the bound.
    /// @return Number of latencies that do not exceed the bound.
    std::uint64_t countUpTo(Duration bound) const noexcept
    {
        std::uint64_t cumulativeCount = 0;
        for (std::size_t i = 0; i < bucketCount && (upperBound(i) <= bound || bound == Duration::max()); ++i) {
            cumulativeCount += this->buckets[i].value();
        }
        return cumulativeCount;
    }

    /// @return Sum of the recorded latencies, without rounding to buckets or the limit of 134 s.
    Duration sum() const noexcept { return Duration { static_cast<Duration::rep>(this->total.value()) }; }

private:
    static constexpr int bucketBits = std::countr_zero(bucketsPerPower);
    static constexpr int highestPower = 26;
    static constexpr std::uint64_t maxMicroseconds = (std::uint64_t { 2 } << highestPower) - 1;
    static constexpr std::size_t bucketCount = (highestPower - bucketBits + 2) * bucketsPerPower;

    /// A bucket includes its upper bound, as in Prometheus.
    static std::size_t indexOf(std::uint64_t nanoseconds) noexcept
    {
        const auto whole = nanoseconds == 0 ? 0 : (nanoseconds - 1) / 1'000;
        const auto microseconds = whole < maxMicroseconds ? whole : maxMicroseconds;
        if (microseconds < bucketsPerPower) {
            return microseconds;
        }
        const auto shift = std::bit_width(microseconds) - 1 - bucketBits;
        return static_cast<std::size_t>(shift) * bucketsPerPower + (microseconds >> shift);
    }

    static Duration upperBound(std::size_t index) noexcept
    {
        const auto shift = index < bucketsPerPower ? 0 : index / bucketsPerPower - 1;
        const auto position = index - shift * bucketsPerPower;
        return std::chrono::microseconds { (position + 1) << shift };
    }

    std::array<Counter, bucketCount> buckets;
    Counter total;
};

}
