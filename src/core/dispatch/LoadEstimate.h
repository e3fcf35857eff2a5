#pragma once

#include "core/dispatch/ReportedLoad.h"
#include "core/dispatch/ScaledDuration.h"
#include "teaselturn/Types.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace teaselturn {

/// Estimates how busy one upstream is and how long it works on a request, from the load that it reports and from latencies.
/// A report is exact for a moment only: other entry VMs send requests at the same time. So its difference from the average
/// of earlier reports fades with its age, and the average stands for what the other entry VMs send. Deterministic,
/// allocates nothing; not thread-safe.
class LoadEstimate {
public:
    /// Records a report that came with a response.
    void recordReport(Instant now, const ReportedLoad& report) noexcept
    {
        const double slots = std::max(1U, report.slots);
        const auto occupancy = std::min((static_cast<double>(report.running) + report.waiting) / slots, maxAveragedOccupancy);
        const auto slowness = std::max(1.0, report.workTimePercent / 100.0);
        if (!this->reportedAt) {
            this->averageOccupancy = occupancy;
        } else {
            const auto gap = now - *this->reportedAt;
            const auto weight = std::min(1 - fadeFactor(gap, averageTime), maxReportWeight);
            this->averageOccupancy += (occupancy - this->averageOccupancy) * weight;
            // Slowness counts as lasting only if reports further apart than a momentary one both state it.
            if (gap >= momentaryTime) {
                this->lastingSlowness += (std::min(slowness, this->latestSlowness) - this->lastingSlowness) * maxReportWeight;
            }
        }
        this->latest = report;
        this->latestSlowness = slowness;
        this->reportedAt = now;
        this->sentSinceReport = 0;
    }

    void recordSent() noexcept { ++this->sentSinceReport; }

    /// Records the latency of a response. A report that came with it is recorded before.
    void recordLatency(Instant now, Duration latency) noexcept
    {
        auto sample = latency;
        if (this->reportedAt == now) {
            const auto wait = static_cast<double>(this->latest.waiting) / std::max(1U, this->latest.slots);
            sample = scaled(latency, 1 / (this->latestSlowness * (1 + wait)));
        }
        this->sampleCount = std::min(this->sampleCount + 1, maxSampleCount);
        this->work += scaled(sample - this->work, 1.0 / this->sampleCount);
        this->sampledAt = now;
    }

    bool hasReports() const noexcept { return this->reportedAt.has_value(); }
    /// @return Number of recent latencies that averageWorkTime() stands for, at most a constant; it fades with time.
    double samples(Instant now) const noexcept { return this->sampleCount * fadeFactor(now - this->sampledAt, trustTime); }
    /// @return Average time for which the upstream works on a request if none waits and its machine has its usual speed.
    Duration averageWorkTime() const noexcept { return this->work; }

    /// @param peerWorkTime That of the other upstreams of the service; outweighs a few samples.
    Duration workTime(Instant now, Duration peerWorkTime) const noexcept
    {
        const auto own = this->samples(now);
        return peerWorkTime + scaled(this->work - peerWorkTime, own / (own + peerSamples));
    }

    /// @return How much longer than usual work takes at the upstream now.
    double slowness(Instant now) const noexcept
    {
        if (!this->reportedAt) {
            return 1;
        }
        const auto age = now - *this->reportedAt;
        const auto lasting = 1 + (this->lastingSlowness - 1) * fadeFactor(age, trustTime);
        return lasting + (this->latestSlowness - lasting) * fadeFactor(age, momentaryTime / 2);
    }

    /// @param inFlight Requests in flight from this entry VM.
    /// @param latency Latency of the service; a report fades within a few times of it, as the reported requests end.
    /// @return Expected requests at the upstream, running and waiting, for each of its slots.
    double occupancy(Instant now, std::uint32_t slots, int inFlight, Duration latency) const noexcept
    {
        if (!this->reportedAt) {
            return unreportedFactor * inFlight / std::max(1U, slots);
        }
        const auto own = static_cast<double>(std::min(this->sentSinceReport, inFlight)) / std::max(1U, slots);
        const auto reported = (static_cast<double>(this->latest.running) + this->latest.waiting) / std::max(1U, this->latest.slots);
        const auto age = now - *this->reportedAt;
        const auto average = this->averageOccupancy * fadeFactor(age, trustTime);
        return average + (reported - average) * fadeFactor(age, latency * latenciesOfReport) + own;
    }

private:
    /// Time in which a report loses most of its weight in the averages.
    static constexpr std::chrono::milliseconds averageTime { 5'000 };
    /// Largest weight of one report in the averages, so that a momentary value does not move load for seconds.
    static constexpr double maxReportWeight = 0.2;
    /// Occupancy above which a report counts as this in the average: a full queue empties within a second.
    static constexpr double maxAveragedOccupancy = 2;
    /// Time for which machines are slow momentarily.
    static constexpr std::chrono::milliseconds momentaryTime { 400 };
    /// Time after which an upstream that got no request counts as an average one again, so that it is tried.
    static constexpr std::chrono::milliseconds trustTime { 10'000 };
    static constexpr int latenciesOfReport = 3;
    /// Without reports, each request in flight from here stands for another one of other entry VMs.
    static constexpr double unreportedFactor = 2;
    /// Work times of single requests vary about as much as speeds of upstreams do, so few samples outweigh the peers.
    static constexpr double peerSamples = 2;
    static constexpr int maxSampleCount = 12;

    static double fadeFactor(Duration age, Duration time) noexcept
    {
        return std::exp(-std::max(0.0, std::chrono::duration<double> { age } / std::chrono::duration<double> { std::max<Duration>(time, std::chrono::milliseconds { 1 }) }));
    }

    ReportedLoad latest;
    std::optional<Instant> reportedAt;
    double averageOccupancy {};
    double latestSlowness { 1 };
    double lastingSlowness { 1 };
    int sentSinceReport {};
    Duration work {};
    int sampleCount {};
    Instant sampledAt;
};

}
