#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <cmath>

namespace teaselturn {

/// Moving averages of the latency of one upstream. Deterministic, allocates nothing; not thread-safe.
class LatencyEstimate {
public:
    void record(Instant now, Duration latency) noexcept
    {
        if (!this->hasSamples()) {
            this->average = latency;
            this->recent = latency;
        } else {
            this->recent += std::chrono::duration_cast<Duration>((latency - this->recent) * recentWeight);
            this->average += std::chrono::duration_cast<Duration>((latency - this->average) * averageWeight);
        }
        this->lastResponseAt = now;
        // The baseline drops with the latency immediately and rises slowly, so that long congestion does not become the
        // baseline.
        this->baseline = this->baseline == Duration::zero() || this->recent < this->baseline ? this->recent : this->baseline + std::chrono::duration_cast<Duration>((this->recent - this->baseline) * baselineWeight);
    }

    bool hasSamples() const noexcept { return this->average != Duration::zero(); }
    /// @return Moving average over the last dozens of responses; zero before the first response.
    Duration longTerm() const noexcept { return this->average; }

    /// @return Expected latency: the long-term average, and the excess of the recent latency over it, which fades with time.
    Duration expected(Instant now) const noexcept
    {
        const auto age = std::chrono::duration<double> { now - this->lastResponseAt } / std::chrono::duration<double> { recentTimeConstant };
        const auto excess = std::chrono::duration<double> { this->recent - this->average } * std::exp(-std::max(0.0, age));
        return this->average + std::chrono::duration_cast<Duration>(excess);
    }

    /// @return True if the recent latency is far above the lowest one.
    bool isFarAboveBaseline() const noexcept { return this->recent > std::chrono::duration<double> { this->baseline } * baselineFactor; }

private:
    /// Weights of one sample in the exponential moving averages.
    static constexpr double recentWeight = 0.3;
    static constexpr double averageWeight = 0.05;
    static constexpr double baselineWeight = 0.005;
    static constexpr double baselineFactor = 2.2;
    static constexpr std::chrono::milliseconds recentTimeConstant { 1'000 };

    Duration recent {};
    Duration average {};
    Duration baseline {};
    Instant lastResponseAt;
};

}
