#pragma once

#include "core/dispatch/CapacityEstimate.h"
#include "core/dispatch/DispatchTables.h"
#include "core/dispatch/UpstreamChoice.h"
#include "core/dispatch/UpstreamEligibility.h"

#include <optional>

namespace teaselturn {

/// Decides whether a new request is queued or refused at once. Answers more arrivals than capacity: a request whose expected
/// wait exceeds its target latency is refused, so that callers fail fast and the queue holds only requests that
/// can be served in time. Not thread-safe.
class Admission {
public:
    /// The references must outlive this object.
    Admission(UpstreamTable& upstreams, const UpstreamEligibility& eligibility, const CapacityEstimate& capacity, const UpstreamChoice& choice) noexcept
        : upstreams(upstreams)
        , eligibility(eligibility)
        , capacity(capacity)
        , choice(choice)
    {
    }

    /// Refuses from now on new requests that may still be in progress when the process ends.
    void refuseRequestsBeyond(Instant end) noexcept { this->processEnd = end; }

    /// @param pendingCount Number of pending requests, this one included.
    /// @return Reason to refuse a new request; empty if it is admitted.
    std::optional<ResultCode> check(Instant now, const PendingDispatch& pending, std::size_t pendingCount) const;

    /// @return Reason for which no upstream may be sent the request, whatever its load, although the service has upstreams;
    /// empty if there is none.
    std::optional<ResultCode> checkPlacement(Instant now, const PendingDispatch& pending) const;

    /// @return Expected time until the request is sent; zero if it can be sent immediately.
    Duration estimateWait(Instant now, const PendingDispatch& pending) const;

    /// @param waiting Number of requests that are sent earlier.
    /// @return Time until a cold upstream of a service without keys may be sent the request; zero if an upstream is warm.
    Duration estimateWaitForColdUpstreams(Instant now, const PendingDispatch& pending, std::size_t waiting) const;

private:
    std::optional<ResultCode> checkOwner(Instant now, const PendingDispatch& pending) const;
    std::optional<ResultCode> checkUpstreams(Instant now, const PendingDispatch& pending) const;
    Duration estimateWaitForOwner(Instant now, const PendingDispatch& pending) const;
    /// @return True if the request waits for cold upstreams only.
    bool isHeldForWarmUp(Instant now, const PendingDispatch& pending) const;

    UpstreamTable& upstreams;
    const UpstreamEligibility& eligibility;
    const CapacityEstimate& capacity;
    const UpstreamChoice& choice;
    /// When the process ends; empty if it is not stopping.
    std::optional<Instant> processEnd;
};

}
