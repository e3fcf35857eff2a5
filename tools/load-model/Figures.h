#pragma once

#include "core/metrics/LatencyHistogram.h"

#include <cstdint>
#include <memory>

namespace teaselturn::model {

/// Worth of a response later than the target latency; one within it is worth 1.
inline constexpr double lateWorth = 0.3;

/// The results of one run, counted in requests of callers unless stated otherwise.
struct Figures {
    std::uint64_t requests {};
    std::uint64_t inTime {};
    std::uint64_t late {};
    std::uint64_t refused {};
    std::uint64_t failed {};
    /// Attempts received by upstreams.
    std::uint64_t arrivals {};
    /// Attempts refused by an upstream because it did not hold the key.
    std::uint64_t misdirected {};
    /// Connections to upstreams opened by all entry VMs, if each keeps an idle connection for its next request.
    std::uint64_t connections {};
    /// Attempts received by the busiest upstream relative to the mean of all upstreams.
    double busiestToMean {};
    /// The same relative to the lasting speed of each upstream: 1 if each gets its share of what all can do.
    double busiestToSpeed {};
    /// Standard deviation of the attempts that an upstream receives in 100 ms, relative to their mean.
    double windowDeviation {};
    /// Attempts to which an upstream never responds.
    std::uint64_t ignored {};
    /// Worth of the responses, and of responses in time to all requests.
    double earned {};
    double possible {};
    /// Upper bound of the worth of any policy: upstreams always work on requests that can still be answered in time.
    double bound {};
    /// Time from a caller's first attempt to its response.
    std::shared_ptr<LatencyHistogram> latencies = std::make_shared<LatencyHistogram>();

    double worth() const noexcept { return this->possible == 0 ? 0 : this->earned / this->possible; }
    double share(std::uint64_t part) const noexcept { return this->requests == 0 ? 0 : static_cast<double>(part) / static_cast<double>(this->requests); }
};

}
