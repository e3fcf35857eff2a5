#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace teaselturn {

/// Tells from the latencies of one upstream whether requests queue there. Answers work of varying length: a queue delays every
/// request, while ordinary variation delays some. So the least of the last few latencies is compared with a running
/// quantile of the latencies, not the mean with the minimum. Deterministic, allocates nothing; not thread-safe.
class QueueingSign {
public:
    /// @return True if the recent latencies show that requests queue at the upstream.
    bool record(Duration latency) noexcept
    {
        this->recent[this->count % this->recent.size()] = latency;
        ++this->count;
        if (this->count <= warmUpSamples) {
            this->quantile += (latency - this->quantile) / static_cast<Duration::rep>(this->count);
            return false;
        }
        // The steps balance where a quarter of the latencies is lower, whatever their distribution.
        const auto step = latency < this->quantile ? -stepDown : stepUp;
        this->quantile += std::chrono::duration_cast<Duration>(this->quantile * step);
        const auto least = *std::ranges::min_element(this->recent);
        return least > std::chrono::duration<double> { this->quantile } * congestionFactor;
    }

private:
    /// Samples before the first sign. The quantile is estimated by their mean.
    static constexpr std::size_t warmUpSamples = 8;
    /// Chance variation rarely delays this many requests in a row; more would delay the sign by further round trips.
    static constexpr std::size_t recentSamples = 3;
    /// Steps of the quantile. It takes about 80 delayed samples to double, so that congestion does not become normal soon.
    static constexpr double stepUp = 0.009;
    static constexpr double stepDown = 0.027;
    /// Latency above this multiple of the quantile means queueing. Work that is spread evenly from 0.33 to 1.67 of its mean
    /// exceeds it once in three samples; a false sign in one of 27 triples is made good by the limit's recovery.
    static constexpr double congestionFactor = 1.8;

    std::array<Duration, recentSamples> recent {};
    std::size_t count {};
    Duration quantile {};
};

}
