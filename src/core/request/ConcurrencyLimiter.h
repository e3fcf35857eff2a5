#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <cstdint>

namespace teaselturn {

/// What an upstream can take at most.
struct UpstreamCapacity {
    /// Requests that it runs at a time, for all entry VMs.
    std::uint32_t requestSlots {};
    /// Connections that this entry VM may hold to it.
    std::uint32_t connectionShare {};
};

/// How an attempt counts for the limit.
enum class LimiterSample : std::uint8_t {
    Good,
    /// Refused for load, or timed out.
    Overload,
    /// Says nothing about load.
    Ignored,
};

/// Adaptive limit on the requests at an upstream at a time: it grows by one for each limit's worth of good answers and
/// shrinks by a fifth on overload or where latency exceeds a multiple of the lowest one seen lately. A new owner starts
/// low. Deterministic, allocates nothing; not thread-safe.
class ConcurrencyLimiter {
public:
    explicit ConcurrencyLimiter(UpstreamCapacity capacity) noexcept
    {
        this->setCapacity(capacity);
        this->limit = std::min(this->maximum, slowStartLimit);
    }

    /// Takes a change of what the upstream announces.
    void setCapacity(UpstreamCapacity capacity) noexcept
    {
        // As many requests as run may wait in the upstream's queue, which keeps its slots busy between two requests. With
        // four times the slots, a burst after a takeover made an upstream with 3 slots and 8 places in its queue shed.
        this->maximum = std::max<std::int64_t>(1, std::min(capacity.requestSlots * queueFactor, capacity.connectionShare))
            * unit;
        this->limit = std::min(this->limit, this->maximum);
    }

    /// Takes a place.
    /// @return False where the limit is reached.
    bool tryAcquire() noexcept
    {
        if ((this->inUse + 1) * unit > this->limit) {
            return false;
        }
        ++this->inUse;
        return true;
    }

    /// Returns a place and learns from how the attempt ended.
    /// @param latency Time from sending to the whole answer; read only for Good.
    void release(Instant now, LimiterSample sample, Duration latency) noexcept
    {
        this->inUse = std::max<std::int64_t>(0, this->inUse - 1);
        if (sample == LimiterSample::Good) {
            this->learnLatency(now, latency);
        }
        const bool isSlow = sample == LimiterSample::Good && latency > this->lowest * slowFactor + slowMargin;
        if (sample == LimiterSample::Overload || isSlow) {
            this->shrink(now);
        } else if (sample == LimiterSample::Good) {
            this->limit = std::min(this->maximum, this->limit + std::max<std::int64_t>(1, unit * unit / this->limit));
        }
    }

    /// @return Requests that may be at the upstream at a time.
    std::uint32_t currentLimit() const noexcept { return static_cast<std::uint32_t>(this->limit / unit); }
    std::uint32_t inFlight() const noexcept { return static_cast<std::uint32_t>(this->inUse); }

    /// @return A typical latency of the upstream; zero before the first answer.
    Duration typicalLatency() const noexcept { return this->average; }

private:
    void learnLatency(Instant now, Duration latency) noexcept
    {
        const bool isFirst = this->average == Duration::zero();
        this->average = isFirst ? latency : this->average + (latency - this->average) / averageWeight;
        if (isFirst || latency < this->lowest || now - this->lowestAt > lowestWindow) {
            this->lowest = latency;
            this->lowestAt = now;
        }
    }

    void shrink(Instant now) noexcept
    {
        // One burst of refusals counts once.
        if (this->hasShrunk && now - this->shrunkAt < std::max<Duration>(this->average, shrinkInterval)) {
            return;
        }
        this->hasShrunk = true;
        this->shrunkAt = now;
        this->limit = std::max(unit, this->limit * 4 / 5);
    }

    /// The limit is kept in thousandths, so that it can grow by fractions.
    static constexpr std::int64_t unit = 1'000;
    static constexpr std::int64_t slowStartLimit = 2 * unit;
    static constexpr std::uint32_t queueFactor = 2;
    static constexpr std::int64_t slowFactor = 4;
    static constexpr std::int64_t averageWeight = 8;
    static constexpr std::chrono::milliseconds slowMargin { 20 };
    static constexpr std::chrono::milliseconds shrinkInterval { 50 };
    static constexpr std::chrono::seconds lowestWindow { 10 };

    std::int64_t maximum { unit };
    std::int64_t limit { unit * 1'000'000 };
    std::int64_t inUse {};
    Duration average {};
    Duration lowest {};
    Instant lowestAt;
    bool hasShrunk {};
    Instant shrunkAt;
};

}
