#pragma once

#include "teaselturn/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace teaselturn {

/// Estimates after which time without a response an upstream of one service has probably dropped a request. Answers
/// upstreams that never respond to what they cannot queue, while some work takes many times as long as usual.
///
/// The time to a response is estimated by the product-limit (Kaplan-Meier) method over the last attempts: an attempt that was
/// ended without a response counts for the time that it waited. What the estimate leaves unanswered at the end is the share of
/// attempts that get no response. Deterministic, allocates nothing; not thread-safe.
class SilenceEstimate {
public:
    void recordAnswered(Duration latency) { this->record({ latency, true }); }
    /// @param waited Time from sending the request to its end without a response.
    void recordUnanswered(Duration waited) { this->record({ waited, false }); }

    /// @return Time after which a request without a response is more probably dropped than still at work; empty if no
    /// upstream of the service has left requests without a response lately.
    std::optional<Duration> silentAfter() const noexcept { return this->threshold; }

    /// @return Latency that all but one in twenty responses exceed; zero before the first estimate.
    Duration shortestUsual() const noexcept { return this->shortest; }

    /// Selects the attempts that are not given up at that time. Without them no response later than it would be seen, and
    /// the estimate would take any long work for silence.
    bool isObserved() noexcept { return ++this->suspected % observedInterval == 0; }

private:
    /// Attempts in the estimate; at 13 requests a second about the last 40 s, which is several waves of the load.
    static constexpr std::size_t windowSize = 512;
    /// Sorting the window for each attempt would take more time than the rest of the dispatch.
    static constexpr std::size_t updateInterval = 16;
    static constexpr std::size_t minSamples = 32;
    /// The estimate ends where fewer attempts than this are left, since one of them would decide it.
    static constexpr std::size_t minAtRisk = 4;
    static constexpr std::uint64_t observedInterval = 4;
    /// Responses that are never taken for silence, as a share of all.
    static constexpr double usualShare = 0.95;
    static constexpr double shortShare = 0.05;

    struct Attempt {
        Duration waited {};
        bool isAnswered {};
    };

    void record(Attempt attempt);
    void update();

    std::array<Attempt, windowSize> window {};
    std::size_t count {};
    std::optional<Duration> threshold;
    Duration shortest {};
    std::uint64_t suspected {};
};

}
