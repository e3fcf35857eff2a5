#pragma once

#include "core/dispatch/DispatchTables.h"
#include "core/dispatch/LinkDelay.h"
#include "core/dispatch/RegionLinkLimit.h"
#include "core/dispatch/ScaledDuration.h"
#include "core/dispatch/TransferSchedule.h"

#include <algorithm>
#include <optional>

namespace teaselturn {

/// Decides whether an upstream may be sent a request at all, before any question of load. Every send passes it: new requests,
/// retries and probes of a key's owner.
class UpstreamEligibility {
public:
    /// The references must outlive this object.
    UpstreamEligibility(const DispatchOptions& options, const RegionLinkLimit& regionLink) noexcept
        : options(options)
        , regionLink(regionLink)
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

    /// @return Time from which nothing is sent to an upstream of an evacuated zone, not even requests for its keys; empty if
    /// its zone is not evacuated.
    std::optional<Instant> evacuationEnd(const DispatchUpstream& upstream) const
    {
        return upstream.evacuatedSince ? std::optional { *upstream.evacuatedSince + scaled(this->options.evacuationTime, ownerTimeShare) } : std::nullopt;
    }

    /// @return True if that time has come.
    bool isEvacuated(Instant now, const DispatchUpstream& upstream) const
    {
        const auto end = this->evacuationEnd(upstream);
        return end && now >= *end;
    }

    /// @return True if a request to the upstream would be a large one that crosses the link between regions. Small ones are not
    /// limited: they are a small part of the bytes, and urgent or unsafe.
    static bool isLargeTransfer(const PendingDispatch& pending, const DispatchUpstream& upstream) noexcept
    {
        return upstream.isInOtherRegion && pending.request.bytes > TransferSchedule::smallBodyBytes;
    }

    /// @return True if the link between regions, where it lies between, has room for the request.
    bool hasLinkRoom(Instant now, const PendingDispatch& pending, const DispatchUpstream& upstream) const
    {
        return !isLargeTransfer(pending, upstream) || this->regionLink.transferTime(now, static_cast<double>(pending.request.bytes)) <= maxLinkDelay(pending.route());
    }

    /// @return True if the owner of a key may be sent a request for it. An owner that is draining or has left and one in an
    /// evacuated zone serve until their keys have moved, for a limited time.
    bool mayServeKey(Instant now, const PendingDispatch& pending, const DispatchUpstream& owner) const
    {
        return owner.registration != Registration::Ended && !this->isDrained(now, owner) && !this->isEvacuated(now, owner) && this->isInAllowedRegion(pending, owner);
    }

    /// @return True if the upstream may serve a request without a key, now or as soon as its ramp permits.
    bool mayServe(const PendingDispatch& pending, const DispatchUpstream& upstream) const
    {
        const bool isUsable = !upstream.drainingSince && !upstream.evacuatedSince && this->isInAllowedRegion(pending, upstream);
        return isUsable && std::ranges::find(pending.excludedUpstreams, upstream.announcement.key) == pending.excludedUpstreams.end();
    }

    /// @return True if the upstream may be chosen for a request without a key now.
    bool mayBeChosen(Instant now, const PendingDispatch& pending, const DispatchUpstream& upstream) const
    {
        return this->mayServe(pending, upstream) && (!upstream.returnRamp || upstream.returnRamp->mayTake(now)) && this->hasLinkRoom(now, pending, upstream);
    }

private:
    /// Part of the evacuation time in which owners serve their keys. Of 5 s the rest is 1.5 s: the order reaches this entry
    /// VM after its acknowledgement, by a lost datagram of the feed or a slow member a second later, and a request that is
    /// sent may still wait for a connection.
    static constexpr double ownerTimeShare = 0.7;

    const DispatchOptions& options;
    const RegionLinkLimit& regionLink;
};

}
