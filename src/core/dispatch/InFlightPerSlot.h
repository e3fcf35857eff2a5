#pragma once

#include "core/dispatch/ScaledDuration.h"
#include "teaselturn/Types.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace teaselturn {

/// Limit of the requests in flight for each slot of a service without keys, summed over all entry VMs. Answers upstreams that
/// never respond to a request that they cannot queue, while at-most-once requests are sent to them: the limit shrinks when
/// waiting times grow, before queues are full. One entry VM sees a single upstream too rarely for that, so the responses of all
/// upstreams count. Deterministic, allocates nothing; not thread-safe.
class InFlightPerSlot {
public:
    double value() const noexcept { return this->limit; }

    /// Records a response to an at-most-once request. Without any, the limit stays the same.
    /// @param hasSilence True if upstreams of the service are known to leave requests unanswered.
    void recordAnswered(Instant now, Duration latency, bool hasSilence) noexcept
    {
        this->recent[this->count % this->recent.size()] = latency;
        ++this->count;
        if (this->count < minSamples) {
            return;
        }
        auto sorted = this->recent;
        const auto quarter = sorted.begin() + sorted.size() / 4;
        std::ranges::nth_element(sorted, quarter);
        if (this->count == minSamples) {
            this->usual = *quarter;
        }
        // The steps balance where a quarter of the latencies is lower, whatever their distribution.
        this->usual += scaled(this->usual, latency < this->usual ? -stepDown : stepUp);
        if (*quarter <= scaled(this->usual, hasSilence ? silentQueueingFactor : queueingFactor)) {
            this->limit = std::min(maxLimit, this->limit + increase);
        } else if (now - this->decreasedAt >= *quarter / 2) {
            this->decrease(now);
        }
    }

    /// Records that upstreams probably left several requests without a response.
    void recordSilence(Instant now) noexcept { this->decrease(now); }

private:
    /// One request that waits at the upstream keeps the slot busy between two requests; more only fill the upstream's queue.
    static constexpr double maxLimit = 2;
    /// Beside the factor for uneven loads of entry VMs, this leaves half a request for each slot in the queues. With 0.8, worth
    /// 0.9 % lower was measured for the load model's pattern `silent-short-once`, for requests that waited beside free slots.
    static constexpr double minLimit = 1;
    static constexpr double decreaseFactor = 0.8;
    /// Increase with each response that did not wait.
    static constexpr double increase = 0.02;
    /// Work that varies by half of its mean gives a quarter of 16 samples an error of a fifth.
    static constexpr std::size_t recentSamples = 16;
    static constexpr std::size_t minSamples = 2 * recentSamples;
    /// Latency above this multiple of the usual one means queueing: a queue as long as the slots doubles it.
    /// With 1.6, worth 0.7 % lower was measured at queues of 16 that were never full (`silent-full-once`, `waves-110`).
    static constexpr double queueingFactor = 2.0;
    /// The same while requests are known to be dropped; more false signs are acceptable then.
    static constexpr double silentQueueingFactor = 1.3;
    /// It takes 130 delayed samples to rise by a third, so that congestion does not become normal soon.
    static constexpr double stepUp = 0.002;
    static constexpr double stepDown = 0.006;

    void decrease(Instant now) noexcept
    {
        this->limit = std::max(minLimit, this->limit * decreaseFactor);
        this->decreasedAt = now;
    }

    std::array<Duration, recentSamples> recent {};
    std::size_t count {};
    /// Latency that a quarter of the responses does not exceed.
    Duration usual {};
    double limit { maxLimit };
    Instant decreasedAt;
};

}
