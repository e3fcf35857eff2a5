#include "core/dispatch/Dispatcher.h"
#include "core/dispatch/ScaledDuration.h"
#include "core/dispatch/SendOrder.h"
#include "core/dispatch/UnresponsiveUpstream.h"

#include <algorithm>

namespace teaselturn {

namespace {

    /// Interval at which waiting requests are tried again while upstreams return from an evacuation.
    constexpr std::chrono::milliseconds rampCheckInterval { 50 };
    /// Subtracted from the time passed to an upstream, so that its response arrives before the request expires.
    constexpr std::chrono::milliseconds responseMargin { 5 };

}

RequestQueue& Dispatcher::queueFor(PendingDispatch& pending)
{
    return pending.isQueuedByOwner ? pending.service->queues[pending.queueOwner] : pending.service->queue;
}

void Dispatcher::enqueue(PendingDispatch& pending)
{
    pending.isQueuedByOwner = pending.service->item.isSharded;
    if (pending.isQueuedByOwner) {
        const auto* range = pending.findRange();
        pending.queueOwner = range == nullptr ? UpstreamKey {} : range->owner;
    }
    this->queueFor(pending).insert(pending.position());
    pending.isQueued = true;
    // When refuseHopeless() refuses it at the latest.
    this->deadlines.emplace(pending.expiresAt - pending.service->averageLatency / 2, pending.request.id);
    const auto* owner = pending.isQueuedByOwner ? this->upstreams.find(pending.queueOwner) : nullptr;
    if (owner != nullptr && owner->load.pauseEnd() > pending.request.arrivedAt && owner->load.pauseEnd() < pending.expiresAt) {
        this->deadlines.emplace(owner->load.pauseEnd(), pending.request.id);
    }
    if (const auto end = owner == nullptr ? std::nullopt : this->eligibility.evacuationEnd(*owner); end && *end < pending.expiresAt) {
        this->deadlines.emplace(*end, pending.request.id);
    }
    if (const auto until = this->deferredUntil(pending); until && *until > pending.request.arrivedAt && *until < pending.expiresAt) {
        this->deadlines.emplace(*until, pending.request.id);
    }
}

void Dispatcher::dequeue(PendingDispatch& pending)
{
    if (!pending.isQueued) {
        return;
    }
    auto& queue = this->queueFor(pending);
    queue.erase(pending.position());
    if (pending.isQueuedByOwner && queue.empty()) {
        pending.service->queues.erase(pending.queueOwner);
    }
    pending.isQueued = false;
}

void Dispatcher::dispatchQueued(Instant now, DispatchService& service, DispatchDecisions& decisions)
{
    if (service.item.isSharded) {
        this->dispatchQueuedByOwner(now, service, decisions);
        return;
    }
    if (service.queue.empty()) {
        return;
    }
    this->refuseHopeless(now, service.queue, service.averageLatency, decisions);
    // Sets of regions without room. A request confined to one of them must not delay others that may go elsewhere.
    std::vector<RegionSet> fullRegions;
    for (const auto id : this->selectSendable(now, service.queue, service.averageLatency)) {
        auto& pending = *this->pendingRequests.at(id);
        if (std::ranges::find(fullRegions, pending.allowedRegions) != fullRegions.end()) {
            continue;
        }
        auto* target = this->chooseUpstream(now, service, pending);
        if (target == nullptr) {
            this->recordHeldBack(now, pending);
            this->scheduleForWarmUp(now, service, pending);
            fullRegions.push_back(pending.allowedRegions);
            if (now < this->rampsEnd) {
                // No other event may follow the moment from which the ramp of an upstream permits the request.
                this->deadlines.emplace(Instant { (now.time_since_epoch() / rampCheckInterval + 1) * rampCheckInterval }, id);
            }
            continue;
        }
        this->dequeue(pending);
        this->send(now, pending, *target, decisions);
    }
}

bool Dispatcher::isDeferred(Instant now, const PendingDispatch& pending) const
{
    const auto until = this->deferredUntil(pending);
    return until && now < *until;
}

std::optional<Instant> Dispatcher::deferredUntil(const PendingDispatch& pending) const
{
    if (!pending.service->item.isSharded) {
        return std::nullopt;
    }
    const auto* range = pending.findRange();
    if (range == nullptr) {
        return Instant::max();
    }
    const auto* unconfirmed = pending.service->unconfirmedRanges.find(range);
    return unconfirmed == nullptr ? std::nullopt : std::optional { unconfirmed->probeAt };
}

std::vector<PendingRequestId> Dispatcher::selectSendable(Instant now, const RequestQueue& queue, Duration latency) const
{
    return SendOrder::select(
        now, queue, latency, [this](PendingRequestId id) -> const PendingDispatch& { return *this->pendingRequests.at(id); }, [this, now](const PendingDispatch& pending) { return this->isDeferred(now, pending); });
}

void Dispatcher::recordHeldBack(Instant now, PendingDispatch& pending)
{
    if (pending.isHeldBack) {
        return;
    }
    const auto holdsBack = [this, now](const UpstreamKey& key) {
        const auto* upstream = this->upstreams.find(key);
        return upstream != nullptr && upstream->load.isHeldBack(now);
    };
    const auto& keys = pending.service->upstreams;
    const auto found = pending.service->item.isSharded ? std::ranges::find(keys, pending.queueOwner) : std::ranges::find_if(keys, holdsBack);
    if (found != keys.end() && holdsBack(*found)) {
        pending.isHeldBack = true;
        ++this->heldBack.count;
        this->heldBack.upstream = *found;
        this->heldBack.limit = this->upstreams.find(*found)->load.allowedRequests(now);
    }
}

void Dispatcher::refuseHopeless(Instant now, const RequestQueue& queue, Duration typicalLatency, DispatchDecisions& decisions)
{
    std::vector<PendingRequestId> hopeless;
    for (const auto& position : queue) {
        if (this->pendingRequests.at(position.id)->expiresAt - now <= typicalLatency / 2) {
            hopeless.push_back(position.id);
        }
    }
    for (const auto id : hopeless) {
        this->refuseOrFail(now, *this->pendingRequests.at(id), ResultCode::RequestShed, decisions);
    }
}

void Dispatcher::dispatchQueuedByOwner(Instant now, DispatchService& service, DispatchDecisions& decisions)
{
    std::vector<UpstreamKey> owners;
    for (const auto& [key, queue] : service.queues) {
        owners.push_back(key);
    }
    for (const auto& key : owners) {
        this->refuseHopeless(now, service.queues.at(key), service.averageLatency, decisions);
        // An empty queue is removed with its last request.
        if (!service.queues.contains(key)) {
            continue;
        }
        auto* owner = this->upstreams.find(key);
        if (owner != nullptr && this->eligibility.isEvacuated(now, *owner)) {
            this->refuseUnplaceable(now, service.queues.at(key), decisions);
            continue;
        }
        if (owner != nullptr && owner->warmUp.isLimited(now)) {
            this->refuseWhileCold(now, service, *owner, decisions);
            this->scheduleForWarmUp(now, service, *owner);
        }
        if (owner == nullptr || !service.queues.contains(key) || owner->load.isCircuitOpen(now)) {
            continue;
        }
        // A trial may be sent beyond the limit.
        const auto& first = *this->pendingRequests.at(service.queues.at(key).begin()->id);
        if (!owner->hasCapacity(now) && !UnresponsiveUpstream::mayTake(now, first, *owner)) {
            continue;
        }
        for (const auto id : this->selectSendable(now, service.queues.at(key), owner->load.averageLatency())) {
            auto& pending = *this->pendingRequests.at(id);
            if (!UnresponsiveUpstream::mayTake(now, pending, *owner)) {
                this->scheduleForWarmUp(now, service, *owner);
                this->recordHeldBack(now, pending);
                break;
            }
            // A request that was just sent may have been the probe of a range that the others have to wait for.
            if (!this->isDeferred(now, pending) && this->eligibility.mayServeKey(now, pending, *owner)) {
                this->dequeue(pending);
                this->send(now, pending, *owner, decisions);
            }
        }
    }
}

void Dispatcher::refuseUnplaceable(Instant now, const RequestQueue& queue, DispatchDecisions& decisions)
{
    std::vector<PendingRequestId> waiting;
    std::ranges::transform(queue, std::back_inserter(waiting), &QueuePosition::id);
    for (const auto id : waiting) {
        auto& pending = *this->pendingRequests.at(id);
        if (const auto reason = this->admission.checkPlacement(now, pending)) {
            this->refuseOrFail(now, pending, *reason, decisions);
        }
    }
}

DispatchUpstream* Dispatcher::chooseUpstream(Instant now, DispatchService& service, const PendingDispatch& pending)
{
    if (!this->capacity.hasRoom(now, service, pending.allowedRegions)) {
        return nullptr;
    }
    return this->choice.choose(now, pending, this->upstreams, this->eligibility);
}

void Dispatcher::send(Instant now, PendingDispatch& pending, DispatchUpstream& target, DispatchDecisions& decisions)
{
    this->silenceReaction.recordSent(now, pending, target);
    if (pending.silentAt) {
        this->deadlines.emplace(*pending.silentAt, pending.request.id);
    }
    target.load.recordSent(now);
    if (target.returnRamp) {
        target.returnRamp->recordSent();
    }
    target.warmUp.recordSent(now);
    if (UpstreamEligibility::isLargeTransfer(pending, target)) {
        this->regionLink.recordSent(now, static_cast<double>(pending.request.bytes));
    }
    ++pending.service->inFlight;
    ++pending.attempts;
    pending.isSent = true;
    pending.sentTo = target.announcement.key;
    pending.sentAt = now;
    if (const auto* range = pending.findRange()) {
        pending.service->unconfirmedRanges.recordProbe(now, *range);
    }
    const auto left = std::max<Duration>(pending.expiresAt - now - responseMargin, responseMargin);
    decisions.push_back(SendRequest { pending.request.id, target.announcement.key, target.announcement.endpoint, left, pending.isHeldForWarmUp });
    pending.isHeldForWarmUp = false;
}

void Dispatcher::refuseWhilePaused(Instant now, DispatchService& service, const DispatchUpstream& upstream, DispatchDecisions& decisions)
{
    const auto owned = service.queues.find(upstream.announcement.key);
    if (service.item.isSharded && owned == service.queues.end()) {
        return;
    }
    std::vector<PendingRequestId> waiting;
    std::ranges::transform(service.item.isSharded ? owned->second : service.queue, std::back_inserter(waiting), &QueuePosition::id);
    const auto servedAt = upstream.load.pauseEnd() + service.averageLatency;
    for (const auto id : waiting) {
        auto& pending = *this->pendingRequests.at(id);
        const bool isLate = servedAt > pending.targetTime();
        if (isLate && (service.item.isSharded || !this->hasOtherUpstream(now, pending))) {
            this->refuseOrFail(now, pending, ResultCode::RequestRefusedByUpstream, decisions);
        } else {
            this->deadlines.emplace(upstream.load.pauseEnd(), id);
        }
    }
}

void Dispatcher::refuseWhileCold(Instant now, DispatchService& service, const DispatchUpstream& owner, DispatchDecisions& decisions)
{
    const auto& queue = service.queues.at(owner.announcement.key);
    std::vector<PendingRequestId> waiting;
    std::ranges::transform(queue, std::back_inserter(waiting), &QueuePosition::id);
    std::size_t position = 0;
    for (const auto id : waiting) {
        auto& pending = *this->pendingRequests.at(id);
        const auto sendAt = owner.warmUp.sendTime(now, position);
        if (sendAt > now && sendAt + service.averageLatency > pending.expiresAt) {
            this->refuseOrFail(now, pending, ResultCode::RequestUpstreamCold, decisions);
        } else {
            ++position;
        }
    }
}

void Dispatcher::scheduleForWarmUp(Instant now, DispatchService& service, const DispatchUpstream& owner)
{
    const auto queue = service.queues.find(owner.announcement.key);
    if (queue == service.queues.end() || owner.warmUp.hasRoom(now)) {
        return;
    }
    for (const auto& position : queue->second) {
        this->pendingRequests.at(position.id)->isHeldForWarmUp = true;
    }
    this->deadlines.emplace(owner.warmUp.sendTime(now, 0), queue->second.begin()->id);
}

void Dispatcher::scheduleForWarmUp(Instant now, DispatchService& service, PendingDispatch& pending)
{
    if (!service.item.hasWarmUp()) {
        return;
    }
    auto earliest = Instant::max();
    for (const auto& key : service.upstreams) {
        const auto* candidate = this->upstreams.find(key);
        if (candidate != nullptr && !candidate->warmUp.hasRoom(now) && this->eligibility.mayBeChosen(now, pending, *candidate)) {
            earliest = std::min(earliest, candidate->warmUp.sendTime(now, 0));
        }
    }
    if (earliest != Instant::max()) {
        pending.isHeldForWarmUp = true;
        this->deadlines.emplace(earliest, pending.request.id);
    }
}

bool Dispatcher::isLinkFull(Instant now, const PendingDispatch& pending)
{
    return this->linkBudget.queueingDelay(now) > maxLinkDelay(pending.route());
}

bool Dispatcher::isRegionLinkFull(Instant now, const PendingDispatch& pending) const
{
    const auto* range = pending.findRange();
    const auto* owner = range == nullptr ? nullptr : this->upstreams.find(range->owner);
    if (owner == nullptr || !UpstreamEligibility::isLargeTransfer(pending, *owner)) {
        return false;
    }
    // An owner that may not hold the key may refuse the request after its whole body has crossed the link.
    const bool mayBeInVain = pending.service->unconfirmedRanges.find(range) != nullptr;
    return !this->eligibility.hasLinkRoom(now, pending, *owner) || (mayBeInVain && this->regionLink.isLimited(now));
}

}
