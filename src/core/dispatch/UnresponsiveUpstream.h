#pragma once

#include "core/dispatch/DispatchTables.h"
#include "core/dispatch/ScaledDuration.h"

#include <algorithm>

namespace teaselturn {

/// Decides whether an upstream that may leave requests without a response is sent a request that cannot simply go elsewhere: one
/// that may run only once, or whose key has one owner. Without such signs it permits everything.
class UnresponsiveUpstream {
public:
    /// @return True if the request ends with an unknown outcome, or late, if its upstream drops it, and the upstream has no other
    /// way to state its load.
    static bool isConcerned(Instant now, const PendingDispatch& pending, const DispatchUpstream& upstream)
    {
        const auto& service = *pending.service;
        const bool canGoElsewhere = mayRepeat(pending.route().kind) && !service.item.isSharded;
        return !canGoElsewhere && !upstream.load.estimate().hasReports() && !service.suspicion.statesOverload(now);
    }

    /// @return Time without a response after which a request is overdue.
    static Duration tolerance(const PendingDispatch& pending, const DispatchUpstream& upstream)
    {
        const auto usual = std::max(upstream.load.averageLatency(), pending.service->averageLatency);
        return std::max<Duration>(pending.route().targetLatency, usual * usualFactor);
    }

    /// @return True if the upstream answers nothing while its peers do, so that the request would be a trial.
    static bool isUnresponsive(Instant now, const PendingDispatch& pending, const DispatchUpstream& upstream)
    {
        const auto& suspicion = pending.service->suspicion;
        return upstream.load.responses().isUnresponsive(now, tolerance(pending, upstream), suspicion.lastAnsweredAt(), upstream.load.inFlight(), suspicion.isSilent(now));
    }

    /// @return True if one more request may be sent to the upstream now.
    static bool mayTake(Instant now, const PendingDispatch& pending, const DispatchUpstream& upstream)
    {
        if (!isConcerned(now, pending, upstream)) {
            return upstream.hasCapacity(now);
        }
        const auto& load = upstream.load;
        if (isUnresponsive(now, pending, upstream)) {
            // If the share is one request, the one that waits for its response already is the trial.
            const bool isInTrial = load.responses().hasTrial() || (load.equalShare() <= 1 && load.inFlight() > 0);
            return !isInTrial && !load.isCircuitOpen(now) && !load.isPaused(now) && upstream.warmUp.hasRoom(now);
        }
        // Few requests of one entry VM come to an owner, so its equal share of the slots is often less than one request. The
        // requests that all entry VMs have in flight beyond that fill the queue.
        const auto& service = *pending.service;
        const bool isLimited = service.item.isSharded && !mayRepeat(pending.route().kind) && service.suspicion.isSilent(now);
        return upstream.hasCapacity(now) && (!isLimited || load.inFlight() < load.equalShare());
    }

private:
    /// Work with a long tail takes seven times its mean, and two such requests at once are rare.
    static constexpr int usualFactor = 3;
};

}
