#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace teaselturn {

/// Limit of the requests that this entry VM has in flight to one upstream. Answers upstreams that queue, refuse or fall
/// silent. The limit starts at this entry VM's share of the upstream's slots, since slow work would otherwise leave slots
/// empty for many round trips. Each sign of congestion halves it; it grows with each response at normal latency, and
/// without further signs returns to the share within `recoveryTime`. Deterministic, allocates nothing; not thread-safe.
class InFlightLimit {
public:
    /// @param requestSlots Requests that the upstream runs concurrently, for all entry VMs together.
    explicit InFlightLimit(std::uint32_t requestSlots) noexcept
        : slots(std::max(1U, requestSlots))
        , limit(this->shareOfSlots())
    {
    }

    /// @param requestSlots Requests that the upstream runs concurrently, for all entry VMs together.
    /// @param share Slots that this entry VM may use if all entry VMs use theirs.
    void setSlots(std::uint32_t requestSlots, double share) noexcept
    {
        const bool isAtShare = this->limit == this->shareOfSlots();
        this->slots = std::max(1U, requestSlots);
        this->share = share;
        this->limit = isAtShare ? this->shareOfSlots() : std::min(this->limit, this->maxLimit());
    }

    /// @return Requests that may be in flight; at least 1.
    double allowed(Instant now) const noexcept { return std::max(1.0, std::floor(this->value(now) + limitTolerance)); }

    double value(Instant now) const noexcept
    {
        // Not beyond the share itself, which is less than one request where many entry VMs share an owner of hot keys.
        const auto target = std::clamp(std::ceil(this->share), 1.0, this->shareOfSlots());
        const std::chrono::duration<double> elapsed { std::max<Duration>(now - this->limitSince, Duration::zero()) };
        return std::max(this->limit, std::min(target, this->limit + (target - 1) * (elapsed / recoveryTime)));
    }

    /// @return Limit without any sign of congestion.
    double shareOfSlots() const noexcept { return std::min<double>(this->slots, std::max(minShare, std::ceil(this->share))); }

    /// @return Requests that this entry VM may have in flight if all entry VMs use theirs; at least 1.
    double equalShare() const noexcept { return std::max(1.0, std::ceil(this->share)); }

    /// @return True if congestion holds the limit at less than half of the share.
    bool isFarBelowShare(Instant now) const noexcept { return this->shareOfSlots() > 1 && 2 * this->allowed(now) < this->shareOfSlots() + 1; }

    void increase(Instant now) noexcept
    {
        const auto current = this->value(now);
        this->set(std::min(this->maxLimit(), current + limitIncrease / std::max(1.0, current)), now);
    }

    /// Halves the limit, once for a burst of signs.
    void decrease(Instant now) noexcept
    {
        if (now - this->lastDecreaseAt < decreaseInterval) {
            return;
        }
        this->set(std::max(1.0, this->value(now) * decreaseFactor), now);
        this->lastDecreaseAt = now;
    }

    /// Lets the limit grow from one request again.
    /// @param from Time from which it grows.
    void reset(Instant from) noexcept { this->set(1, from); }

private:
    /// One request more than a single one keeps an upstream in use between two requests.
    static constexpr double minShare = 2;
    /// Keeps floor() from losing a whole request to rounding errors of the limit.
    static constexpr double limitTolerance = 1e-6;
    static constexpr double decreaseFactor = 0.5;
    static constexpr double limitIncrease = 1;
    /// Number of requests by which the limit may exceed the upstream's slots.
    static constexpr double maxLimitExcess = 1;
    static constexpr std::chrono::milliseconds decreaseInterval { 100 };
    /// A limit that stays low after the congestion leaves slots empty for as long.
    static constexpr std::chrono::duration<double> recoveryTime { 1 };

    void set(double value, Instant since) noexcept
    {
        this->limit = value;
        this->limitSince = since;
    }

    double maxLimit() const noexcept { return this->slots + maxLimitExcess; }

    std::uint32_t slots;
    double share {};
    /// The limit at `limitSince`; value() adds the recovery since then.
    double limit;
    Instant limitSince;
    Instant lastDecreaseAt;
};

}
