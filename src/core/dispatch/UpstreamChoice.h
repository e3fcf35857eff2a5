#pragma once

#include "core/dispatch/DispatchTables.h"
#include "core/dispatch/ScaledDuration.h"
#include "core/dispatch/UpstreamEligibility.h"

#include <concepts>
#include <utility>

namespace teaselturn {

/// Ranks an upstream for the next request; the lowest value is chosen.
template <typename T>
concept UpstreamRank = requires(const T& rank, Instant now, const DispatchService& service, const DispatchUpstream& upstream)
{
    {
        rank(now, service, upstream)
        } -> std::totally_ordered;
};

/// Ranks by the latency that the next request is expected to have.
struct ExpectedLatencyRank {
    /// Handicap of upstreams in another region, as a fraction of the service's average latency, beside the longer way
    /// there. All traffic shares the narrow link between regions, so a request crosses it only if the upstreams of its own
    /// region are clearly busier.
    static constexpr double otherRegionPenalty = 1.0;
    /// Heartbeats of a dead upstream have stopped, but it may still serve requests.
    static constexpr int deadFactor = 3;

    Duration operator()(Instant now, const DispatchService& service, const DispatchUpstream& upstream) const
    {
        const auto expected = upstream.load.expectedLatency(now, service.averageLatency + upstream.extraRoundTrip);
        const auto penalty = upstream.preferencePenalty + (upstream.isInOtherRegion ? otherRegionPenalty : 0.0);
        const auto latency = expected + scaled(service.averageLatency, penalty);
        return upstream.state == UpstreamState::Dead ? latency * deadFactor : latency;
    }
};

/// Chooses the upstream of a request without a key: the best ranked one that may be sent it and has free capacity.
/// @tparam Rank Order of the upstreams.
template <UpstreamRank Rank = ExpectedLatencyRank>
class UpstreamChoice {
public:
    explicit UpstreamChoice(Rank rank = {})
        : rank(std::move(rank))
    {
    }

    /// @return The chosen upstream; null if none may be sent the request now.
    DispatchUpstream* choose(Instant now, const PendingDispatch& pending, UpstreamTable& upstreams, const UpstreamEligibility& eligibility) const
    {
        DispatchUpstream* best = nullptr;
        std::pair<bool, Duration> bestRank {};
        for (const auto& key : pending.service->upstreams) {
            auto* candidate = upstreams.find(key);
            if (candidate == nullptr || !candidate->hasCapacity(now) || !eligibility.mayBeChosen(now, pending, *candidate)) {
                continue;
            }
            // A cold upstream is used only if no warm one has room.
            const auto candidateRank = std::pair { candidate->warmUp.isCold(now), this->rank(now, *pending.service, *candidate) };
            if (best == nullptr || candidateRank < bestRank) {
                best = candidate;
                bestRank = candidateRank;
            }
        }
        return best;
    }

private:
    Rank rank;
};

}
