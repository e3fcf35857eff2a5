#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <cstdint>

namespace teaselturn {

/// Limits of the load on an upstream.
struct UpstreamCapacity {
    /// Number of requests that it runs at a time, for all entry VMs together.
    std::uint32_t requestSlots {};
    /// Number of connections that this entry VM may hold to it.
    std::uint32_t connectionShare {};
};

/// How the end of an attempt affects the limit.
enum class LimiterSample : std::uint8_t {
    Good,
    /// Refused for load, or timed out.
    Overload,
    /// Does not affect the limit.
    Ignored,
};

/// Adaptive limit on the number of concurrent requests at an upstream. After as many good responses as the limit, the
/// limit has grown by one. It shrinks by a fifth on overload, or if the latency exceeds a multiple of the lowest recent
/// latency. It starts low for a new owner. Deterministic, allocates nothing; not thread-safe.
class ConcurrencyLimiter {
public:
    explicit ConcurrencyLimiter(UpstreamCapacity capacity) noexcept
    {
        this->setCapacity(capacity);
        this->limit = std::min(this->maximum, slowStartLimit);
    }

    /// Sets the capacity that the upstream announces.
    void setCapacity(UpstreamCapacity capacity) noexcept
    {
        // For each running request another may wait in the upstream's queue, which keeps its slots busy between
        // requests. With a factor of 4, a burst after a takeover made an upstream with 3 slots and a queue of 8 shed
        // requests.
        this->maximum = std::max<std::int64_t>(1, std::min(capacity.requestSlots * queueFactor, capacity.connectionShare))
            * unit;
        this->limit = std::min(this->limit, this->maximum);
    }

    /// Takes a permit for one request.
    /// @return False if the limit is reached.
    bool tryAcquire() noexcept
    {
        if ((this->inUse + 1) * unit > this->limit) {
            return false;
        }
        ++this->inUse;
        return true;
    }

    /// Returns a permit and adapts the limit to the result of the attempt.
    /// @param latency Time from sending the request to the end of the response; read only for Good.
    void release(Instant now, LimiterSample sample, Duration latency) noexcept
    {
        this->inUse = std::max<std::int64_t>(0, this->inUse - 1);
        if (sample == LimiterSample::Good) {
            this->recordLatency(now, latency);
        }
        const bool isSlow = sample == LimiterSample::Good && latency > this->lowest * slowFactor + slowMargin;
        if (sample == LimiterSample::Overload || isSlow) {
            this->shrink(now);
        } else if (sample == LimiterSample::Good) {
            this->limit = std::min(this->maximum, this->limit + std::max<std::int64_t>(1, unit * unit / this->limit));
        }
    }

    /// @return Maximum number of concurrent requests at the upstream.
    std::uint32_t currentLimit() const noexcept { return static_cast<std::uint32_t>(this->limit / unit); }
    std::uint32_t inFlight() const noexcept { return static_cast<std::uint32_t>(this->inUse); }

    /// @return Moving average of the upstream's latency; zero before the first good response.
    Duration typicalLatency() const noexcept { return this->average; }

private:
    void recordLatency(Instant now, Duration latency) noexcept
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
        // A burst of refusals shrinks the limit only once.
        if (this->hasShrunk && now - this->shrunkAt < std::max<Duration>(this->average, shrinkInterval)) {
            return;
        }
        this->hasShrunk = true;
        this->shrunkAt = now;
        this->limit = std::max(unit, this->limit * 4 / 5);
    }

    /// One request. Limits are in thousandths of a request, so that they can grow by fractions.
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
