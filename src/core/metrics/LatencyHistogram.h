#pragma once

#include "core/metrics/Counter.h"
#include "teaselturn/Types.h"

#include <array>
#include <bit>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselturn {

/// Latencies in log-linear buckets: each power of two of a microsecond is divided into 32 equal parts. Memory is fixed
/// (5.9 KB); recording takes no lock and allocates nothing. Lengths above 134 s count as 134 s.
class LatencyHistogram {
public:
    /// Parts of each power of two. A percentile is at most one part in this many above the exact one, plus 1 us.
    static constexpr std::uint64_t partsPerPower = 32;

    /// @param latency Negative lengths count as zero.
    void record(Duration latency) noexcept
    {
        const auto nanoseconds = latency.count() > 0 ? static_cast<std::uint64_t>(latency.count()) : 0;
        this->buckets[indexOf(nanoseconds)].add();
        this->total.add(nanoseconds);
    }

    /// @param share Share of the latencies, in (0, 1].
    /// @return The upper bound of the bucket that holds the percentile; zero where nothing was recorded.
    Duration percentile(double share) const noexcept
    {
        const auto count = this->count();
        const auto rank = static_cast<double>(count) * share;
        std::uint64_t seen = 0;
        for (std::size_t i = 0; i < bucketCount; ++i) {
            seen += this->buckets[i].value();
            if (seen > 0 && static_cast<double>(seen) >= rank) {
                return upperBound(i);
            }
        }
        return count == 0 ? Duration::zero() : upperBound(bucketCount - 1);
    }

    std::uint64_t count() const noexcept { return this->countUpTo(Duration::max()); }

    /// @param bound Exact where it is the upper bound of a bucket, such as a power of two of a microsecond; otherwise
    /// latencies in the bucket of the bound are left out.
    /// @return Latencies that are not longer than the bound.
    std::uint64_t countUpTo(Duration bound) const noexcept
    {
        std::uint64_t seen = 0;
        for (std::size_t i = 0; i < bucketCount && (upperBound(i) <= bound || bound == Duration::max()); ++i) {
            seen += this->buckets[i].value();
        }
        return seen;
    }

    /// @return Sum of the latencies as recorded.
    Duration sum() const noexcept { return Duration { static_cast<Duration::rep>(this->total.value()) }; }

private:
    static constexpr int partBits = std::countr_zero(partsPerPower);
    static constexpr int highestPower = 26;
    static constexpr std::uint64_t longestMicroseconds = (std::uint64_t { 2 } << highestPower) - 1;
    static constexpr std::size_t bucketCount = (highestPower - partBits + 2) * partsPerPower;

    /// Buckets include their upper bound, as Prometheus counts.
    static std::size_t indexOf(std::uint64_t nanoseconds) noexcept
    {
        const auto whole = nanoseconds == 0 ? 0 : (nanoseconds - 1) / 1'000;
        const auto microseconds = whole < longestMicroseconds ? whole : longestMicroseconds;
        if (microseconds < partsPerPower) {
            return microseconds;
        }
        const auto shift = std::bit_width(microseconds) - 1 - partBits;
        return static_cast<std::size_t>(shift) * partsPerPower + (microseconds >> shift);
    }

    static Duration upperBound(std::size_t index) noexcept
    {
        const auto shift = index < partsPerPower ? 0 : index / partsPerPower - 1;
        const auto part = index - shift * partsPerPower;
        return std::chrono::microseconds { (part + 1) << shift };
    }

    std::array<Counter, bucketCount> buckets;
    Counter total;
};

}
