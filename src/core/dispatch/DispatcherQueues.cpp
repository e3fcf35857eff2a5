#include "core/dispatch/Dispatcher.h"
#include "core/dispatch/ScaledDuration.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace teaselturn {

namespace {

    /// Subtracted from the time passed to an upstream, so that its response arrives before the request expires.
    constexpr std::chrono::milliseconds responseMargin { 5 };
    /// Bounds of the time after which a refused caller may retry.
    constexpr std::chrono::milliseconds minRetryAfter { 50 };
    constexpr std::chrono::milliseconds maxRetryAfter { 2'000 };
    /// Requests in flight for each slot of a service that is not sharded, summed over all entry VMs. One request that
    /// waits at the upstream keeps the slot busy between two requests; more only fill the upstream's queue.
    constexpr double inFlightPerSlot = 2.0;
    /// Load differs between entry VMs, so each may use more than an equal share of the slots by this factor.
    constexpr double unevenShareFactor = 1.5;
    /// Expected time without an owner for keys that are moving, from the first refusal of the former owner: a commit
    /// across regions and the next owner's heartbeat.
    constexpr std::chrono::milliseconds expectedMoveTime { 150 };
    /// A move that takes longer is assumed to have stopped; the former owner may hold the keys again.
    constexpr std::chrono::milliseconds moveTimeout { 1'200 };
    /// Largest delay by the link's backlog, as a fraction of the target latency, indexed by priority (0 is the most
    /// urgent). Urgent requests are still admitted at a backlog that refuses the others.
    constexpr std::array maxLinkDelayShares { 0.5, 0.35, 0.2 };
    /// Handicap of upstreams in another region, as a fraction of the service's average latency, beside the longer way
    /// there. All traffic shares the narrow link between regions, so a request crosses it only if the upstreams of its own
    /// region are clearly busier.
    constexpr double otherRegionPenalty = 1.0;
    /// Limit of pending requests at one entry VM.
    constexpr std::size_t maxPendingRequests = 4'096;

}

Dispatcher::Queue& Dispatcher::queueFor(PendingRequest& pending)
{
    return pending.service->isSharded ? pending.service->queues[pending.queueOwner] : pending.service->queue;
}

void Dispatcher::enqueue(PendingRequest& pending)
{
    if (pending.service->isSharded) {
        const auto* range = this->findRange(pending);
        pending.queueOwner = range == nullptr ? UpstreamKey {} : range->owner;
    }
    this->queueFor(pending).insert({ pending.request.route->item.priority, pending.sequenceNumber, pending.request.id });
    pending.isQueued = true;
    const auto* owner = pending.service->isSharded ? this->findUpstream(pending.queueOwner) : nullptr;
    if (owner != nullptr && owner->load.pauseEnd() > pending.request.arrivedAt && owner->load.pauseEnd() < pending.expiresAt) {
        this->deadlines.emplace(owner->load.pauseEnd(), pending.request.id);
    }
    if (const auto until = this->deferredUntil(pending); until && *until > pending.request.arrivedAt && *until < pending.expiresAt) {
        this->deadlines.emplace(*until, pending.request.id);
    }
}

void Dispatcher::dequeue(PendingRequest& pending)
{
    if (!pending.isQueued) {
        return;
    }
    auto& queue = this->queueFor(pending);
    queue.erase({ pending.request.route->item.priority, pending.sequenceNumber, pending.request.id });
    if (pending.service->isSharded && queue.empty()) {
        pending.service->queues.erase(pending.queueOwner);
    }
    pending.isQueued = false;
}

void Dispatcher::dispatchQueued(Instant now, Service& service, DispatchDecisions& decisions)
{
    if (service.isSharded) {
        this->dispatchQueuedByOwner(now, service, decisions);
        return;
    }
    if (service.queue.empty()) {
        return;
    }
    for (const auto id : this->selectSendable(now, service.queue, service.averageLatency)) {
        auto& pending = *this->pendingRequests.at(id);
        auto* target = this->chooseUpstream(now, service, pending);
        if (target == nullptr) {
            return;
        }
        this->dequeue(pending);
        this->send(now, pending, *target, decisions);
    }
}

bool Dispatcher::isDeferred(Instant now, const PendingRequest& pending) const
{
    const auto until = this->deferredUntil(pending);
    return until && now < *until;
}

std::optional<Instant> Dispatcher::deferredUntil(const PendingRequest& pending) const
{
    if (!pending.service->isSharded) {
        return std::nullopt;
    }
    const auto* range = this->findRange(pending);
    if (range == nullptr) {
        return Instant::max();
    }
    const auto* unconfirmed = findUnconfirmedRange(*pending.service, range);
    return unconfirmed == nullptr ? std::nullopt : std::optional { unconfirmed->probeAt };
}

const Dispatcher::UnconfirmedRange* Dispatcher::findUnconfirmedRange(const Service& service, const KeyRange* range)
{
    const auto found = range == nullptr ? service.unconfirmedRanges.end() : service.unconfirmedRanges.find(rangeId(*range));
    return found == service.unconfirmedRanges.end() ? nullptr : &found->second;
}

void Dispatcher::recordMisdirection(Instant now, const PendingRequest& pending)
{
    if (const auto* range = this->findRange(pending)) {
        auto& unconfirmed = pending.service->unconfirmedRanges[rangeId(*range)];
        const auto delay = misdirectedRetryDelay * (1 << std::min(unconfirmed.refusals, maxRetryDelayDoublings));
        const bool isReleased = range->isMoving() && unconfirmed.refusals == 0;
        unconfirmed.expectedAt = now + (isReleased ? expectedMoveTime : delay);
        unconfirmed.probeAt = now + (isReleased ? moveTimeout : delay);
        ++unconfirmed.refusals;
        this->deadlines.emplace(unconfirmed.probeAt, pending.request.id);
    }
}

bool Dispatcher::canMeetTargetLatency(Instant now, const PendingRequest& pending, Duration latency) const
{
    return now + latency <= pending.request.arrivedAt + pending.request.route->item.targetLatency;
}

std::vector<PendingRequestId> Dispatcher::selectSendable(Instant now, const Queue& queue, Duration latency) const
{
    std::vector<PendingRequestId> inTime;
    std::vector<PendingRequestId> late;
    for (const auto& position : queue) {
        const auto& pending = *this->pendingRequests.at(position.id);
        if (!this->isDeferred(now, pending)) {
            (this->canMeetTargetLatency(now, pending, latency) ? inTime : late).push_back(position.id);
        }
    }
    // A response in time is worth three late ones, so a request that is already late must not make others late.
    inTime.insert(inTime.end(), late.begin(), late.end());
    return inTime;
}

void Dispatcher::dispatchQueuedByOwner(Instant now, Service& service, DispatchDecisions& decisions)
{
    std::vector<UpstreamKey> owners;
    for (const auto& [key, queue] : service.queues) {
        owners.push_back(key);
    }
    for (const auto& key : owners) {
        auto* owner = this->findUpstream(key);
        if (owner == nullptr || owner->load.isCircuitOpen(now) || this->isDrained(now, *owner) || !owner->load.hasCapacity(now)) {
            continue;
        }
        for (const auto id : this->selectSendable(now, service.queues.at(key), owner->load.averageLatency())) {
            auto& pending = *this->pendingRequests.at(id);
            if (!owner->load.hasCapacity(now)) {
                break;
            }
            if (!this->isDeferred(now, pending)) {
                this->dequeue(pending);
                this->send(now, pending, *owner, decisions);
            }
        }
    }
}

Duration Dispatcher::expectedLatency(Instant now, const Service& service, const Upstream& upstream) const
{
    const auto expected = upstream.load.expectedLatency(now, service.averageLatency + upstream.extraRoundTrip);
    const auto penalty = upstream.preferencePenalty + (upstream.isInOtherRegion ? otherRegionPenalty : 0.0);
    return expected + scaled(service.averageLatency, penalty);
}

Dispatcher::Upstream* Dispatcher::chooseUpstream(Instant now, Service& service, const PendingRequest& pending)
{
    if (service.inFlight >= this->inFlightLimit(service)) {
        return nullptr;
    }
    Upstream* best = nullptr;
    Duration bestLatency {};
    for (const auto& key : service.upstreams) {
        auto* candidate = this->findUpstream(key);
        const bool isUsable = candidate != nullptr && !candidate->drainingSince && candidate->load.hasCapacity(now);
        if (!isUsable || std::ranges::find(pending.excludedUpstreams, key) != pending.excludedUpstreams.end()) {
            continue;
        }
        auto latency = this->expectedLatency(now, service, *candidate);
        if (candidate->state == UpstreamState::Dead) {
            // Its heartbeats have stopped, but it may still serve requests.
            latency *= 3;
        }
        if (best == nullptr || latency < bestLatency) {
            best = candidate;
            bestLatency = latency;
        }
    }
    return best;
}

void Dispatcher::send(Instant now, PendingRequest& pending, Upstream& target, DispatchDecisions& decisions)
{
    target.load.recordSent(now);
    ++pending.service->inFlight;
    ++pending.attempts;
    pending.isSent = true;
    pending.sentTo = target.announcement.key;
    pending.sentAt = now;
    if (const auto* range = this->findRange(pending)) {
        const auto unconfirmed = pending.service->unconfirmedRanges.find(rangeId(*range));
        if (unconfirmed != pending.service->unconfirmedRanges.end()) {
            // This request probes the owner; other requests for the range wait for its outcome.
            unconfirmed->second.probeAt = now + misdirectedRetryDelay * 2;
            unconfirmed->second.expectedAt = unconfirmed->second.probeAt;
        }
    }
    const auto left = std::max<Duration>(pending.expiresAt - now - responseMargin, responseMargin);
    decisions.push_back(SendRequest { pending.request.id, target.announcement.key, target.announcement.endpoint, left });
}

double Dispatcher::slotShare(const Service& service) const
{
    double slots = 0;
    for (const auto& key : service.upstreams) {
        const auto found = this->upstreams.find(key);
        slots += found != this->upstreams.end() && found->second.state == UpstreamState::Ready ? std::max(1U, found->second.announcement.requestSlots) : 0;
    }
    return std::max(1.0, slots / this->entryVmCount * unevenShareFactor);
}

double Dispatcher::inFlightLimit(const Service& service) const
{
    return std::max(2.0, this->slotShare(service) * inFlightPerSlot);
}

std::optional<ResultCode> Dispatcher::checkAdmission(Instant now, const PendingRequest& pending)
{
    const auto& service = *pending.service;
    if (pending.expiresAt <= now) {
        return ResultCode::RequestDeadlineExceeded;
    }
    if (this->processEnd && pending.expiresAt > *this->processEnd) {
        return ResultCode::RequestDraining;
    }
    if (this->pendingRequests.size() > maxPendingRequests) {
        return ResultCode::QueueFull;
    }
    if (service.isSharded) {
        const auto* range = this->findRange(pending);
        if (range == nullptr || !range->isOwned()) {
            return ResultCode::RequestNoOwner;
        }
        auto* owner = this->findUpstream(range->owner);
        if (owner == nullptr || owner->state == UpstreamState::Dead || this->isDrained(now, *owner)) {
            return ResultCode::RequestNoOwner;
        }
        if (owner->load.isCircuitOpen(now)) {
            return ResultCode::RequestCircuitOpen;
        }
    } else {
        const auto acceptsRequests = [this, now](const UpstreamKey& key) {
            auto* candidate = this->findUpstream(key);
            return candidate != nullptr && !candidate->drainingSince && !candidate->load.isCircuitOpen(now) && !candidate->load.isPaused(now);
        };
        if (std::ranges::none_of(service.upstreams, acceptsRequests)) {
            return service.upstreams.empty() ? ResultCode::RequestNoOwner : ResultCode::RequestCircuitOpen;
        }
    }
    const auto wait = this->estimateWait(now, pending);
    const auto target = std::min(pending.expiresAt, pending.request.arrivedAt + pending.request.route->item.targetLatency);
    if (wait > Duration::zero() && now + wait + service.averageLatency > target) {
        return ResultCode::RequestShed;
    }
    return std::nullopt;
}

/// @return Expected time until the request is sent; zero if it can be sent immediately.
Duration Dispatcher::estimateWait(Instant now, const PendingRequest& pending)
{
    auto& service = *pending.service;
    const QueuePosition position { pending.request.route->item.priority, pending.sequenceNumber, pending.request.id };
    const auto ahead = [&position](const Queue& queue) { return static_cast<double>(std::distance(queue.begin(), queue.lower_bound(position))); };
    if (service.isSharded) {
        const auto* range = this->findRange(pending);
        auto* owner = this->findUpstream(range->owner);
        const auto queue = service.queues.find(range->owner);
        const auto waiting = queue == service.queues.end() ? 0.0 : ahead(queue->second);
        const auto* unconfirmed = findUnconfirmedRange(service, range);
        const auto ownershipDelay = unconfirmed == nullptr ? Duration::zero() : std::max<Duration>(unconfirmed->expectedAt - now, Duration::zero());
        if (owner->load.hasCapacity(now) && waiting == 0) {
            return ownershipDelay;
        }
        const auto pause = std::max<Duration>(owner->load.pauseEnd() - now, Duration::zero());
        return ownershipDelay + pause + scaled(owner->load.expectedLatency(now, service.averageLatency), (waiting + 0.5) / std::max(1.0, owner->load.currentLimit()));
    }
    const auto waiting = ahead(service.queue);
    if (waiting == 0 && this->chooseUpstream(now, service, pending) != nullptr) {
        return Duration::zero();
    }
    // Requests in flight in excess of the slots are queued at the upstreams.
    const auto parallel = this->slotShare(service);
    return scaled(service.averageLatency, std::max(1.0, waiting + 1 + service.inFlight - parallel) / parallel);
}

void Dispatcher::refuseWhilePaused(Instant now, Service& service, const Upstream& upstream, DispatchDecisions& decisions)
{
    const auto owned = service.queues.find(upstream.announcement.key);
    if (service.isSharded && owned == service.queues.end()) {
        return;
    }
    std::vector<PendingRequestId> waiting;
    std::ranges::transform(service.isSharded ? owned->second : service.queue, std::back_inserter(waiting), &QueuePosition::id);
    const auto servedAt = upstream.load.pauseEnd() + service.averageLatency;
    for (const auto id : waiting) {
        auto& pending = *this->pendingRequests.at(id);
        const bool isLate = servedAt > std::min(pending.expiresAt, pending.request.arrivedAt + pending.request.route->item.targetLatency);
        if (isLate && (service.isSharded || !this->hasOtherUpstream(now, pending))) {
            this->refuseOrFail(now, pending, ResultCode::RequestRefusedByUpstream, decisions);
        } else {
            this->deadlines.emplace(upstream.load.pauseEnd(), id);
        }
    }
}

bool Dispatcher::isLinkFull(Instant now, const PendingRequest& pending)
{
    const auto& route = pending.request.route->item;
    const auto delayShare = maxLinkDelayShares[std::min<std::size_t>(route.priority, maxLinkDelayShares.size() - 1)];
    return this->linkBudget.queueingDelay(now) > scaled(route.targetLatency, delayShare);
}

Duration Dispatcher::retryAfter(Instant now, const PendingRequest& pending, ResultCode reason)
{
    // Adds jitter, so that callers refused at the same time do not retry at the same time.
    this->jitterState ^= this->jitterState << 13;
    this->jitterState ^= this->jitterState >> 7;
    this->jitterState ^= this->jitterState << 17;
    const auto jitter = 0.5 + static_cast<double>(this->jitterState % 1'000) / 1'000;
    if (reason == ResultCode::RequestLinkFull || reason == ResultCode::RequestDraining) {
        // Callers retry at another entry VM, which usually has capacity and is not stopping.
        return scaled(minRetryAfter, 2 * jitter);
    }
    if (const auto* range = this->findRange(pending)) {
        // The upstream itself said when it takes requests again.
        const auto* owner = this->findUpstream(range->owner);
        if (owner != nullptr && owner->load.isPaused(now)) {
            return std::clamp<Duration>(owner->load.pauseEnd() - now + scaled(minRetryAfter, jitter), minRetryAfter, maxRetryAfter);
        }
    }
    const auto left = std::max<Duration>(Duration::zero(), pending.expiresAt - now);
    return std::clamp<Duration>(scaled(left, 0.25 * jitter), minRetryAfter, maxRetryAfter);
}

}
