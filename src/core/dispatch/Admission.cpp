#include "core/dispatch/Admission.h"

#include "core/dispatch/UnresponsiveUpstream.h"

#include <algorithm>
#include <vector>

namespace teaselturn {

namespace {

    /// Limit of pending requests at one entry VM.
    constexpr std::size_t maxPendingRequests = 4'096;

    /// @return Number of queued requests that are sent before the position and may use some of the same upstreams.
    double requestsAhead(const RequestQueue& queue, const QueuePosition& position)
    {
        return static_cast<double>(std::count_if(queue.begin(), queue.lower_bound(position), [&position](const QueuePosition& other) { return other.allowedRegions.overlaps(position.allowedRegions); }));
    }

}

std::optional<ResultCode> Admission::checkPlacement(Instant now, const PendingDispatch& pending) const
{
    if (pending.service->item.isSharded) {
        if (!pending.request.key) {
            // The service was not sharded when the request arrived.
            return ResultCode::RequestNoOwner;
        }
        const auto* range = pending.findRange();
        const auto* owner = range == nullptr ? nullptr : this->upstreams.find(range->owner);
        if (owner == nullptr) {
            return std::nullopt;
        }
        if (!this->eligibility.isInAllowedRegion(pending, *owner)) {
            return ResultCode::RequestRegionUnavailable;
        }
        return this->eligibility.isEvacuated(now, *owner) ? std::optional { ResultCode::RequestZoneEvacuated } : std::nullopt;
    }
    std::optional<ResultCode> reason;
    for (const auto& key : pending.service->upstreams) {
        const auto* candidate = this->upstreams.find(key);
        const bool isAllowed = candidate != nullptr && this->eligibility.isInAllowedRegion(pending, *candidate);
        if (isAllowed && !candidate->evacuatedSince) {
            return std::nullopt;
        }
        reason = isAllowed ? ResultCode::RequestZoneEvacuated : reason.value_or(ResultCode::RequestRegionUnavailable);
    }
    return reason;
}

std::optional<ResultCode> Admission::checkOwner(Instant now, const PendingDispatch& pending) const
{
    const auto* range = pending.findRange();
    if (range == nullptr || !range->isOwned()) {
        return ResultCode::RequestNoOwner;
    }
    const auto* owner = this->upstreams.find(range->owner);
    if (owner == nullptr || owner->state == UpstreamState::Dead || !this->eligibility.mayServeKey(now, pending, *owner)) {
        return ResultCode::RequestNoOwner;
    }
    return owner->load.isCircuitOpen(now) ? std::optional { ResultCode::RequestCircuitOpen } : std::nullopt;
}

std::optional<ResultCode> Admission::checkUpstreams(Instant now, const PendingDispatch& pending) const
{
    const auto acceptsRequests = [this, now, &pending](const UpstreamKey& key) {
        const auto* candidate = this->upstreams.find(key);
        return candidate != nullptr && this->eligibility.mayServe(pending, *candidate) && !candidate->load.isCircuitOpen(now) && !candidate->load.isPaused(now);
    };
    const auto& keys = pending.service->upstreams;
    if (std::ranges::any_of(keys, acceptsRequests)) {
        return std::nullopt;
    }
    return keys.empty() ? ResultCode::RequestNoOwner : ResultCode::RequestCircuitOpen;
}

std::optional<ResultCode> Admission::check(Instant now, const PendingDispatch& pending, std::size_t pendingCount) const
{
    if (pending.expiresAt <= now) {
        return ResultCode::RequestDeadlineExceeded;
    }
    if (this->processEnd && pending.expiresAt > *this->processEnd) {
        return ResultCode::RequestDraining;
    }
    if (pendingCount > maxPendingRequests) {
        return ResultCode::QueueFull;
    }
    if (const auto refusal = this->checkPlacement(now, pending)) {
        return refusal;
    }
    if (const auto refusal = pending.service->item.isSharded ? this->checkOwner(now, pending) : this->checkUpstreams(now, pending)) {
        return refusal;
    }
    const auto wait = this->estimateWait(now, pending);
    const auto typical = pending.service->averageLatency;
    // Work that never meets the target latency would otherwise be refused as soon as it had to wait. The average does not tell
    // such work from a service that is congested.
    const auto latest = pending.service->silence.shortestUsual() > pending.route().targetLatency ? pending.expiresAt : pending.targetTime();
    if (wait > Duration::zero() && now + wait + typical > latest) {
        return this->isHeldForWarmUp(now, pending) ? ResultCode::RequestUpstreamCold : ResultCode::RequestShed;
    }
    return std::nullopt;
}

Duration Admission::estimateWaitForOwner(Instant now, const PendingDispatch& pending) const
{
    const auto& service = *pending.service;
    const auto* range = pending.findRange();
    const auto* owner = this->upstreams.find(range->owner);
    const auto queue = service.queues.find(range->owner);
    const auto waiting = queue == service.queues.end() ? 0.0 : requestsAhead(queue->second, pending.position());
    const auto* unconfirmed = service.unconfirmedRanges.find(range);
    const auto ownershipDelay = unconfirmed == nullptr ? Duration::zero() : std::max<Duration>(unconfirmed->expectedAt - now, Duration::zero());
    if (UnresponsiveUpstream::mayTake(now, pending, *owner) && waiting == 0) {
        return ownershipDelay;
    }
    const auto pause = std::max<Duration>(owner->load.pauseEnd() - now, Duration::zero());
    const auto wait = ownershipDelay + pause + scaled(owner->load.expectedLatency(now, service.averageLatency), (waiting + 0.5) / std::max(1.0, owner->load.currentLimit(now)));
    return std::max<Duration>(wait, owner->warmUp.sendTime(now, static_cast<std::size_t>(waiting)) - now);
}

Duration Admission::estimateWaitForColdUpstreams(Instant now, const PendingDispatch& pending, std::size_t waiting) const
{
    if (!pending.service->item.hasWarmUp()) {
        return Duration::zero();
    }
    std::vector<const DispatchUpstream*> cold;
    for (const auto& key : pending.service->upstreams) {
        const auto* candidate = this->upstreams.find(key);
        if (candidate == nullptr || !this->eligibility.mayBeChosen(now, pending, *candidate)) {
            continue;
        }
        if (!candidate->warmUp.isCold(now)) {
            return Duration::zero();
        }
        cold.push_back(candidate);
    }
    auto earliest = Instant::max();
    for (const auto* upstream : cold) {
        earliest = std::min(earliest, upstream->warmUp.sendTime(now, waiting / cold.size()));
    }
    return cold.empty() ? Duration::zero() : earliest - now;
}

bool Admission::isHeldForWarmUp(Instant now, const PendingDispatch& pending) const
{
    if (!pending.service->item.isSharded) {
        return this->estimateWaitForColdUpstreams(now, pending, 0) > Duration::zero();
    }
    const auto* range = pending.findRange();
    const auto* owner = range == nullptr ? nullptr : this->upstreams.find(range->owner);
    return owner != nullptr && !owner->warmUp.hasRoom(now);
}

Duration Admission::estimateWait(Instant now, const PendingDispatch& pending) const
{
    const auto& service = *pending.service;
    if (service.item.isSharded) {
        return this->estimateWaitForOwner(now, pending);
    }
    const auto waiting = requestsAhead(service.queue, pending.position());
    const bool isBelowLimit = this->capacity.hasRoom(now, service, pending.allowedRegions);
    if (waiting == 0 && isBelowLimit && this->choice.hasCandidate(now, pending, this->upstreams, this->eligibility)) {
        return Duration::zero();
    }
    // Requests in flight in excess of the slots are queued at the upstreams.
    const auto parallel = this->capacity.slotShare(now, service, pending.allowedRegions);
    const auto inFlight = this->capacity.inFlight(service, pending.allowedRegions);
    const auto wait = scaled(service.averageLatency, std::max(1.0, waiting + 1 + inFlight - parallel) / parallel);
    return std::max<Duration>(wait, this->estimateWaitForColdUpstreams(now, pending, static_cast<std::size_t>(waiting)));
}

}
