#pragma once

#include "core/dispatch/DispatchTables.h"
#include "core/dispatch/ScaledDuration.h"

#include <algorithm>
#include <cmath>
#include <concepts>

namespace teaselturn {

/// Ranks an upstream for the next request; the lowest value is chosen.
template <typename T>
concept UpstreamRank = requires(const T& rank, Instant now, const DispatchService& service, const DispatchUpstream& upstream)
{
    {
        rank(now, service, upstream)
        } -> std::totally_ordered;
};

/// Handicap of upstreams in another region, as a fraction of the service's average latency, beside the longer way there. All
/// traffic shares the narrow link between regions, so a request crosses it only if the upstreams of its own region are
/// clearly busier.
inline constexpr double otherRegionPenalty = 1.0;
/// Factor of the rank of a dead upstream. Its heartbeats have stopped, but it may still serve requests.
inline constexpr int deadFactor = 3;

/// Ranks by the expected latency of the next request. Uses past latencies and requests in flight, no load reports.
struct ExpectedLatencyRank {
    Duration operator()(Instant now, const DispatchService& service, const DispatchUpstream& upstream) const
    {
        const auto expected = upstream.load.expectedLatency(now, service.averageLatency + upstream.extraRoundTrip);
        const auto penalty = upstream.preferencePenalty + (upstream.isInOtherRegion ? otherRegionPenalty : 0.0);
        const auto latency = expected + scaled(service.averageLatency, penalty);
        return upstream.state == UpstreamState::Dead ? latency * deadFactor : latency;
    }
};

/// Ranks by the time that the next request is expected to wait and run, from what the upstream reports and how it compares
/// with its peers.
struct ExpectedWaitRank {
    /// Average work time of the upstreams that are compared.
    Duration peerWorkTime;

    Duration operator()(Instant now, const DispatchService& service, const DispatchUpstream& upstream) const
    {
        const auto& load = upstream.load;
        const auto slots = std::max(1U, upstream.announcement.requestSlots);
        const auto& estimate = load.estimate();
        const auto work = scaled(this->evenWorkTime(now, estimate), estimate.slowness(now));
        const auto occupancy = estimate.occupancy(now, slots, load.inFlight(), service.averageLatency);
        const auto excess = std::max(0.0, occupancy + 1.0 / slots - 1);
        const auto expected = std::max(scaled(work, 1 + occupancy + excessWeight * excess), load.overdueTime(now));
        const auto penalty = upstream.isInOtherRegion ? otherRegionPenalty : 0.0;
        const auto latency = scaled(expected, load.errorFactor()) + upstream.extraRoundTrip + scaled(service.averageLatency, penalty);
        return upstream.state == UpstreamState::Dead ? latency * deadFactor : latency;
    }

private:
    /// Weight of the requests beyond the slots, which wait, against those that run beside the new one.
    static constexpr double excessWeight = 2;
    /// Exponent of the work time relative to that of peers, for upstreams that report their load. With 1, entry VMs
    /// prefer the fastest upstreams until these are full: in trials of the load model, the busiest upstream had 1.33 to 1.42
    /// times what corresponds to its speed, and 1.27 to 1.37 times with 0.7.
    static constexpr double speedExponent = 0.7;

    Duration evenWorkTime(Instant now, const LoadEstimate& estimate) const
    {
        const auto work = estimate.workTime(now, this->peerWorkTime);
        // Without reports, the latency is the only sign of load beside that of speed, so it counts in full.
        if (!estimate.hasReports() || this->peerWorkTime <= Duration::zero()) {
            return work;
        }
        const auto relative = std::chrono::duration<double> { work } / std::chrono::duration<double> { this->peerWorkTime };
        return scaled(this->peerWorkTime, std::pow(relative, speedExponent));
    }
};

static_assert(UpstreamRank<ExpectedLatencyRank>);
static_assert(UpstreamRank<ExpectedWaitRank>);

}
