#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace teaselturn {

/// Limit of the requests that this entry VM has in flight to one upstream. Answers upstreams that queue or refuse: the limit
/// grows with each response at normal latency, and is halved by each sign of congestion. Deterministic, allocates
/// nothing; not thread-safe.
class InFlightLimit {
public:
    /// @param requestSlots Requests that the upstream runs concurrently, for all entry VMs together.
    explicit InFlightLimit(std::uint32_t requestSlots) noexcept
        : slots(std::max(1U, requestSlots))
        , limit(std::min<double>(this->slots, initialLimit))
    {
    }

    void setSlots(std::uint32_t requestSlots) noexcept { this->slots = std::max(1U, requestSlots); }

    /// @return Requests that may be in flight; at least 1.
    double allowed() const noexcept { return std::max(1.0, std::floor(this->limit + limitTolerance)); }
    double value() const noexcept { return this->limit; }

    void increase() noexcept { this->limit = std::min<double>(this->slots + maxLimitExcess, this->limit + limitIncrease / std::max(1.0, this->limit)); }

    /// Halves the limit, once for a burst of signs.
    void decrease(Instant now) noexcept
    {
        if (now - this->lastDecreaseAt < decreaseInterval) {
            return;
        }
        this->lastDecreaseAt = now;
        this->limit = std::max(1.0, this->limit * decreaseFactor);
    }

    /// Lets the limit grow from one request again.
    void reset() noexcept { this->limit = 1; }

private:
    static constexpr double initialLimit = 2;
    /// Keeps floor() from losing a whole request to rounding errors of the limit.
    static constexpr double limitTolerance = 1e-6;
    static constexpr double decreaseFactor = 0.5;
    static constexpr double limitIncrease = 1;
    /// Number of requests by which the limit may exceed the upstream's slots.
    static constexpr double maxLimitExcess = 1;
    static constexpr std::chrono::milliseconds decreaseInterval { 100 };

    std::uint32_t slots;
    double limit;
    Instant lastDecreaseAt;
};

}
