#pragma once

#include "core/dispatch/DispatchTables.h"

#include <algorithm>

namespace teaselturn {

/// Decides whether an upstream may be sent a request at all, before any question of load. Every send passes it: new requests,
/// retries and probes of a key's owner.
class UpstreamEligibility {
public:
    /// @param options Must outlive this object.
    explicit UpstreamEligibility(const DispatchOptions& options) noexcept
        : options(options)
    {
    }

    /// @return True if a draining upstream's time has passed, so that nothing may be sent to it any more.
    bool isDrained(Instant now, const DispatchUpstream& upstream) const noexcept
    {
        return upstream.drainingSince && now - *upstream.drainingSince >= this->options.drainTime;
    }

    /// @return True if the request's route may be served in the region of the upstream.
    bool isInAllowedRegion(const PendingDispatch& pending, const DispatchUpstream& upstream) const noexcept
    {
        return pending.allowedRegions.overlaps(upstream.region);
    }

    /// @return True if the owner of a key may be sent a request for it. A draining owner serves until its keys have moved.
    bool mayServeKey(Instant now, const PendingDispatch& pending, const DispatchUpstream& owner) const noexcept
    {
        return !this->isDrained(now, owner) && this->isInAllowedRegion(pending, owner);
    }

    /// @return True if the upstream may be chosen for a request without a key.
    bool mayBeChosen(Instant, const PendingDispatch& pending, const DispatchUpstream& upstream) const
    {
        return !upstream.drainingSince && this->isInAllowedRegion(pending, upstream) && std::ranges::find(pending.excludedUpstreams, upstream.announcement.key) == pending.excludedUpstreams.end();
    }

private:
    const DispatchOptions& options;
};

}
