#pragma once

#include "core/metrics/LatencyHistogram.h"

#include <cstdint>
#include <memory>

namespace teaselturn::model {

/// Worth of an answer that comes after the target latency.
inline constexpr double lateWorth = 0.3;

/// What callers got in one run.
struct Figures {
    std::uint64_t requests {};
    std::uint64_t inTime {};
    std::uint64_t late {};
    std::uint64_t refused {};
    std::uint64_t failed {};
    /// Attempts that reached an upstream.
    std::uint64_t arrivals {};
    /// Attempts at an upstream that did not hold the key.
    std::uint64_t misdirected {};
    /// Worth that no policy can exceed: each instant the upstreams work on what can still be answered in time.
    double bound {};
    /// Time from a caller's first attempt to its answer.
    std::shared_ptr<LatencyHistogram> latencies = std::make_shared<LatencyHistogram>();

    double worth() const noexcept { return this->requests == 0 ? 0 : (static_cast<double>(this->inTime) + lateWorth * static_cast<double>(this->late)) / static_cast<double>(this->requests); }
    double share(std::uint64_t part) const noexcept { return this->requests == 0 ? 0 : static_cast<double>(part) / static_cast<double>(this->requests); }
};

}
