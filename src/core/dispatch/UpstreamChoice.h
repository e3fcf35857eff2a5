#pragma once

#include "core/dispatch/CapacityEstimate.h"
#include "core/dispatch/DispatchTables.h"
#include "core/dispatch/UnresponsiveUpstream.h"
#include "core/dispatch/UpstreamEligibility.h"
#include "core/dispatch/UpstreamRank.h"

#include <absl/container/inlined_vector.h>
#include <algorithm>
#include <cstdint>
#include <utility>

namespace teaselturn {

/// Chooses the upstream of a request without a key: the best ranked one of a subset of those that may be sent it and have
/// free capacity.
///
/// The subset are the first upstreams in the order of DispatchService::upstreams, which differs between entry VMs; those of
/// another region form one of their own. Answers many entry VMs that choose at the same moment by slightly stale loads: few
/// of them compare the same upstreams, each asks its own often enough to know their load, and each upstream keeps few
/// connections. The subset moves on when its upstreams are busy, leave or fail.
class UpstreamChoice {
public:
    /// The references must outlive this object.
    UpstreamChoice(const DispatchOptions& options, const CapacityEstimate& capacity) noexcept
        : options(options)
        , capacity(capacity)
    {
    }

    /// @return True if an upstream may be sent the request now.
    bool hasCandidate(Instant now, const PendingDispatch& pending, const UpstreamTable& upstreams, const UpstreamEligibility& eligibility) const
    {
        return std::ranges::any_of(pending.service->upstreams, [&](const UpstreamKey& key) {
            const auto* candidate = upstreams.find(key);
            return candidate != nullptr && isUsable(now, pending, *candidate, eligibility);
        });
    }

    /// @return The chosen upstream; null if none may be sent the request now.
    DispatchUpstream* choose(Instant now, const PendingDispatch& pending, UpstreamTable& upstreams, const UpstreamEligibility& eligibility) const
    {
        const auto& service = *pending.service;
        const auto count = service.upstreams.size();
        if (this->options.placement == Placement::LowestLatency) {
            return findBest(now, service, findCandidates(now, pending, upstreams, eligibility, count), ExpectedLatencyRank {});
        }
        const auto candidates = findCandidates(now, pending, upstreams, eligibility, subsetSize(count, this->capacity.entryCount()));
        return findBest(now, service, candidates, ExpectedWaitRank { computePeerWorkTime(now, service, candidates) });
    }

    /// @param entryCount Entry VMs that share the upstreams; at least 1.
    /// @return Number of upstreams that an entry VM compares. Each upstream is compared by several entry VMs, so that the
    /// numbers of these differ little between upstreams, and each entry VM has some to choose from.
    static std::size_t subsetSize(std::size_t upstreamCount, std::uint32_t entryCount) noexcept
    {
        const auto overlapping = (upstreamCount * minEntryVmsPerUpstream + entryCount - 1) / entryCount;
        return std::min(upstreamCount, std::max(minSubsetSize, overlapping));
    }

private:
    static constexpr std::size_t minSubsetSize = 8;
    static constexpr std::size_t minEntryVmsPerUpstream = 10;

    using Candidates = absl::InlinedVector<DispatchUpstream*, 32>;

    static bool isUsable(Instant now, const PendingDispatch& pending, const DispatchUpstream& upstream, const UpstreamEligibility& eligibility)
    {
        return UnresponsiveUpstream::mayTake(now, pending, upstream) && eligibility.mayBeChosen(now, pending, upstream);
    }

    /// @param size Limit of the upstreams of this region and of those of other regions.
    static Candidates findCandidates(Instant now, const PendingDispatch& pending, UpstreamTable& upstreams, const UpstreamEligibility& eligibility, std::size_t size)
    {
        Candidates candidates;
        std::size_t nearCount = 0;
        std::size_t farCount = 0;
        for (const auto& key : pending.service->upstreams) {
            auto* upstream = upstreams.find(key);
            if (upstream == nullptr || !isUsable(now, pending, *upstream, eligibility)) {
                continue;
            }
            auto& count = upstream->isInOtherRegion ? farCount : nearCount;
            if (count < size) {
                ++count;
                candidates.push_back(upstream);
            }
        }
        return candidates;
    }

    static Duration computePeerWorkTime(Instant now, const DispatchService& service, const Candidates& candidates)
    {
        double sum = 0;
        double samples = 0;
        for (const auto* candidate : candidates) {
            const auto& estimate = candidate->load.estimate();
            const auto weight = estimate.samples(now);
            sum += weight * std::chrono::duration<double> { estimate.averageWorkTime() }.count();
            samples += weight;
        }
        return samples <= 0 ? service.averageLatency : std::chrono::duration_cast<Duration>(std::chrono::duration<double> { sum / samples });
    }

    template <UpstreamRank Rank>
    static DispatchUpstream* findBest(Instant now, const DispatchService& service, const Candidates& candidates, const Rank& rank)
    {
        DispatchUpstream* best = nullptr;
        std::pair<bool, Duration> bestRank {};
        for (auto* candidate : candidates) {
            // A cold upstream is used only if no warm one has room.
            const auto candidateRank = std::pair { candidate->warmUp.isCold(now), rank(now, service, *candidate) };
            if (best == nullptr || candidateRank < bestRank) {
                best = candidate;
                bestRank = candidateRank;
            }
        }
        return best;
    }

    const DispatchOptions& options;
    const CapacityEstimate& capacity;
};

}
