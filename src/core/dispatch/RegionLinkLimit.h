#pragma once

#include "teaselturn/Registry.h"
#include "teaselturn/Types.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

namespace teaselturn {

/// Tells from connections that could not be established in time whether the link between regions is full. The network link of
/// the entry VM delays connections within the region as well, so these count against the sign, and an upstream that does not
/// respond is no sign by itself. Deterministic, allocates nothing; not thread-safe.
class RegionLinkSign {
public:
    /// Records that a connection was not established.
    /// @param waited Time for which the attempt waited. A refused connection and an idle one that had closed end an attempt
    /// after one round trip at most, and do not count.
    /// @return True if the link between regions is probably full.
    bool recordUnconnected(Instant now, const UpstreamKey& upstream, bool isInOtherRegion, Duration waited)
    {
        if (waited < minWait) {
            return false;
        }
        if (now - this->lastAt > memory) {
            this->excess = 0;
            this->lastUpstream.reset();
        }
        this->lastAt = now;
        if (!isInOtherRegion) {
            this->excess = std::max(0, this->excess - 1);
            return false;
        }
        if (this->lastUpstream == upstream) {
            return false;
        }
        this->lastUpstream = upstream;
        this->excess = std::min(this->excess + 1, maxExcess);
        return this->excess >= minExcess;
    }

private:
    /// More than two round trips between regions.
    static constexpr std::chrono::milliseconds minWait { 200 };
    /// Time after which earlier connections show nothing about the present load of the link.
    static constexpr std::chrono::seconds memory { 1 };
    /// Excess of connections to other regions over those within the region from which on the link counts as full.
    static constexpr int minExcess = 2;
    static constexpr int maxExcess = 4;

    int excess {};
    std::optional<UpstreamKey> lastUpstream;
    Instant lastAt;
};

/// Limit of the rate at which an entry VM sends large requests to other regions. Answers many entry VMs that share the link
/// between regions without knowing each other: none of them sees the load of that link, but each sees signs that it is full.
/// Each sign reduces the rate in proportion to what this entry VM has sent, so those that send most give up most. Without
/// further signs the rate grows, and the limit ends once it no longer binds. Unlimited until the first sign. Deterministic,
/// allocates nothing; not thread-safe.
class RegionLinkLimit {
public:
    /// Records that a large request is sent to another region.
    void recordSent(Instant now, double bytes) noexcept
    {
        this->advance(now);
        this->backlog += this->rate ? bytes : 0;
        this->recentRate += bytes / rateTime.count();
    }

    /// Records a sign that the link between regions is full.
    void recordFull(Instant now) noexcept
    {
        this->advance(now);
        if (this->lastSignAt && now - *this->lastSignAt < reactionTime) {
            return;
        }
        this->lastSignAt = now;
        this->rate = std::max(minRate, std::min(this->rate.value_or(this->recentRate), this->recentRate) * decreaseFactor);
    }

    /// @return True from the first sign until the limit no longer binds.
    bool isLimited(Instant now) const noexcept { return this->advancedTo(now).rate.has_value(); }

    /// @return Time until the limit has permitted what was sent before and these bytes; zero without a limit.
    Duration transferTime(Instant now, double bytes) const noexcept
    {
        if (!this->rate) {
            return Duration::zero();
        }
        const auto present = this->advancedTo(now);
        return present.rate ? std::chrono::duration_cast<Duration>(std::chrono::duration<double> { (present.backlog + bytes) / *present.rate }) : Duration::zero();
    }

private:
    /// The queue in front of the link has to shrink before a further sign shows that the last reduction was not enough.
    static constexpr std::chrono::milliseconds reactionTime { 300 };
    /// Time over which the rate of the bytes sent is averaged.
    static constexpr std::chrono::duration<double> rateTime { 1.0 };
    static constexpr double decreaseFactor = 0.7;
    /// Growth of the rate per second, as the exponent of a natural exponential function: it doubles in 7 s without signs.
    static constexpr double growthPerSecond = 0.1;
    /// The limit ends once it exceeds the rate in use by this factor, and no sign has come for endTime.
    static constexpr double endFactor = 2;
    static constexpr std::chrono::seconds endTime { 5 };
    /// Least rate, in bytes per second. A rate of zero could not grow.
    static constexpr double minRate = 4'096;

    RegionLinkLimit advancedTo(Instant now) const noexcept
    {
        auto copy = *this;
        copy.advance(now);
        return copy;
    }

    void advance(Instant now) noexcept
    {
        const std::chrono::duration<double> elapsed { std::max<Duration>(now - this->advancedAt, Duration::zero()) };
        this->advancedAt = std::max(this->advancedAt, now);
        this->recentRate *= std::exp(-elapsed / rateTime);
        if (!this->rate) {
            return;
        }
        this->backlog = std::max(0.0, this->backlog - elapsed.count() * *this->rate);
        *this->rate *= std::exp(elapsed.count() * growthPerSecond);
        if (*this->rate > std::max(minRate, this->recentRate) * endFactor && now - *this->lastSignAt > endTime) {
            this->rate.reset();
            this->backlog = 0;
        }
    }

    /// Bytes per second; empty without a limit.
    std::optional<double> rate;
    /// Bytes sent that the limit has not permitted yet.
    double backlog {};
    /// Bytes per second in the last second.
    double recentRate {};
    std::optional<Instant> lastSignAt;
    Instant advancedAt;
};

}
