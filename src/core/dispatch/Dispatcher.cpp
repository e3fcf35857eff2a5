#include "core/dispatch/Dispatcher.h"
#include "core/dispatch/ScaledDuration.h"

#include <algorithm>
#include <cmath>

namespace teaselturn {

namespace {

    /// Number of times that a request may be sent to an upstream that does not hold its key.
    constexpr std::uint32_t maxMisdirections = 3;
    /// Maximum number of upstreams that are remembered as leaving.
    constexpr std::size_t maxLeavingUpstreams = 4'096;
    /// Longest pause that an upstream may ask for. It bounds the harm of an absurd value.
    constexpr std::chrono::seconds maxUpstreamPause { 30 };
    /// Weight of one response in the moving average of a service's latency.
    constexpr double latencyWeight = 0.05;

}

Dispatcher::Dispatcher(DispatchOptions options)
    : options(std::move(options))
    , regions(this->options.regions)
    , linkBudget(this->options.linkBytesPerSecond)
{
}

std::string_view Dispatcher::chooseService(const CompiledRoute& route)
{
    const auto& shares = route.item.shares;
    if (shares.size() == 1) {
        return shares.front().service;
    }
    // Smooth weighted round robin: adds each share's weight to its credit, chooses the share with the highest credit,
    // and subtracts the sum of the weights from it.
    auto& credit = this->rotationCredits[route.name];
    credit.resize(shares.size());
    std::int64_t sum = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        credit[i] += static_cast<std::int64_t>(shares[i].weight);
        sum += static_cast<std::int64_t>(shares[i].weight);
        if (credit[i] > credit[best]) {
            best = i;
        }
    }
    credit[best] -= sum;
    return shares[best].service;
}

void Dispatcher::submit(Instant now, DispatchRequest request, DispatchDecisions& decisions)
{
    const auto id = request.id;
    const auto& route = request.route->item;
    auto newPending = std::make_unique<PendingDispatch>();
    auto& pending = *newPending;
    pending.service = &this->findOrCreateService(this->chooseService(*request.route));
    pending.sequenceNumber = ++this->lastSequenceNumber;
    pending.expiresAt = std::min(request.deadline, request.arrivedAt + route.timeout);
    pending.request = std::move(request);
    pending.allowedRegions = this->regions.allowed(pending.route().allowedRegions);
    this->pendingRequests.emplace(id, std::move(newPending));
    this->deadlines.emplace(pending.expiresAt, id);
    const RetryBounds bounds { this->options.retryRatioPerMille, this->options.retrySlack, this->options.retryWindow };
    pending.service->retries.recordRequest(now, bounds);
    if (pending.service->item.isSharded && pending.request.key) {
        ++pending.service->usage[*pending.request.key].requests;
    }
    if (const auto refusal = this->admission.check(now, pending, this->pendingRequests.size())) {
        this->refuseOrFail(now, pending, *refusal, decisions);
        return;
    }
    if (this->isRegionLinkFull(now, pending)) {
        this->linkBudget.reserve(now, static_cast<double>(pending.request.bytes));
        this->refuseOrFail(now, pending, ResultCode::RequestLinkFull, decisions);
        return;
    }
    if (this->isLinkFull(now, pending)) {
        this->linkBudget.reserve(now, static_cast<double>(pending.request.bytes));
        this->refuseOrFail(now, pending, ResultCode::RequestLinkFull, decisions);
        return;
    }
    pending.reservedLinkBytes = this->linkBudget.expectedBytes(pending.request.route->name, pending.request.bytes);
    this->linkBudget.reserve(now, pending.reservedLinkBytes);
    this->enqueue(pending);
    this->dispatchQueued(now, *pending.service, decisions);
}

void Dispatcher::recordAttemptEnd(Instant now, PendingDispatch& pending, std::optional<AttemptOutcome> outcome)
{
    if (!pending.isSent) {
        return;
    }
    pending.isSent = false;
    auto& service = *pending.service;
    service.inFlight = std::max(0, service.inFlight - 1);
    const auto latency = now - pending.sentAt - pending.callerDelay;
    auto* const target = this->upstreams.find(pending.sentTo);
    if (target != nullptr) {
        if (outcome == AttemptOutcome::NotSent && this->regionLinkSign.recordUnconnected(now, pending.sentTo, target->isInOtherRegion, latency)) {
            this->regionLink.recordFull(now);
        }
        if (outcome) {
            target->load.recordEnded(now, *outcome, latency, service.item.isSharded);
        } else {
            target->load.recordCancelled();
        }
    }
    this->silenceReaction.recordEnded(now, pending, outcome, latency);
    if (outcome && *outcome != AttemptOutcome::Misdirected) {
        if (const auto* range = pending.findRange(); range != nullptr && range->owner == pending.sentTo) {
            service.unconfirmedRanges.confirm(*range);
        }
    }
    if (outcome == AttemptOutcome::Answered) {
        service.averageLatency += scaled(latency - service.averageLatency, latencyWeight);
        if (service.item.isSharded && pending.request.key) {
            auto& usage = service.usage[*pending.request.key];
            const auto extraRoundTrip = target == nullptr ? Duration::zero() : target->extraRoundTrip;
            ++usage.answered;
            usage.busyMs += std::chrono::duration<double, std::milli> { std::max<Duration>(latency - extraRoundTrip, Duration::zero()) }.count();
        }
    }
}

void Dispatcher::attemptEnded(Instant now, PendingRequestId id, AttemptOutcome outcome, DispatchDecisions& decisions)
{
    const auto found = this->pendingRequests.find(id);
    if (found == this->pendingRequests.end()) {
        return;
    }
    auto& pending = *found->second;
    auto& service = *pending.service;
    this->recordAttemptEnd(now, pending, outcome);
    switch (outcome) {
    case AttemptOutcome::Answered:
        this->finish(now, pending, DeliverResponse { id }, decisions);
        break;
    case AttemptOutcome::Failed:
        ++pending.possibleRuns;
        if (this->tryConsumeRetry(now, pending, outcome)) {
            this->retry(now, pending, outcome, decisions);
        } else {
            this->finish(now, pending, DeliverResponse { id }, decisions);
        }
        break;
    case AttemptOutcome::Ambiguous:
    case AttemptOutcome::Lost:
        ++pending.possibleRuns;
        if (this->tryConsumeRetry(now, pending, outcome)) {
            this->retry(now, pending, outcome, decisions);
        } else {
            this->finish(now, pending, FailRequest { id, outcome == AttemptOutcome::Ambiguous ? ResultCode::ResponseAmbiguous : ResultCode::RequestOutcomeUnknown }, decisions);
        }
        break;
    case AttemptOutcome::Overloaded:
    case AttemptOutcome::Misdirected:
    case AttemptOutcome::NotSent:
        if (this->tryConsumeRetry(now, pending, outcome)) {
            this->retry(now, pending, outcome, decisions);
        } else {
            this->refuseOrFail(now, pending, outcome == AttemptOutcome::NotSent ? ResultCode::RequestConnectionRefused : ResultCode::RequestRefusedByUpstream, decisions);
        }
        break;
    }
    this->dispatchQueued(now, service, decisions);
}

bool Dispatcher::tryConsumeRetry(Instant now, PendingDispatch& pending, AttemptOutcome outcome)
{
    const auto& route = pending.route();
    if (pending.isResponseStarted || (!mayRepeat(route.kind) && pending.possibleRuns > 0)) {
        return false;
    }
    if (pending.expiresAt - now < pending.service->averageLatency / 2) {
        return false;
    }
    if (outcome == AttemptOutcome::NotSent) {
        // The upstream received nothing, so this counts neither as an attempt nor against the retry budget.
        return true;
    }
    if (outcome == AttemptOutcome::Misdirected) {
        // The upstream did not run the request, so this does not count as an attempt. It still consumes a retry.
        --pending.attempts;
        if (++pending.misdirections > maxMisdirections) {
            return false;
        }
    }
    if (pending.attempts >= route.attempts) {
        return false;
    }
    const RetryBounds bounds { this->options.retryRatioPerMille, this->options.retrySlack, this->options.retryWindow };
    return pending.service->retries.tryRetry(now, bounds, this->capacity.entryCount());
}

bool Dispatcher::hasOtherUpstream(Instant now, const PendingDispatch& pending)
{
    return std::ranges::any_of(pending.service->upstreams, [&](const UpstreamKey& key) {
        const auto* candidate = this->upstreams.find(key);
        return candidate != nullptr && !candidate->load.isPaused(now) && this->eligibility.mayServe(pending, *candidate);
    });
}

void Dispatcher::retry(Instant now, PendingDispatch& pending, AttemptOutcome outcome, DispatchDecisions& decisions)
{
    if (outcome == AttemptOutcome::NotSent) {
        --pending.attempts;
    }
    if (pending.service->item.isSharded) {
        const auto* range = pending.findRange();
        if (outcome == AttemptOutcome::Misdirected && range != nullptr && range->owner == pending.sentTo) {
            this->deadlines.emplace(pending.service->unconfirmedRanges.recordRefusal(now, *range), pending.request.id);
        }
        if (const auto reason = this->admission.checkPlacement(now, pending)) {
            this->refuseOrFail(now, pending, *reason, decisions);
            return;
        }
        if (this->isRegionLinkFull(now, pending)) {
            this->refuseOrFail(now, pending, ResultCode::RequestLinkFull, decisions);
            return;
        }
        auto* owner = range == nullptr ? nullptr : this->upstreams.find(range->owner);
        if (outcome != AttemptOutcome::Misdirected && (owner == nullptr || owner->load.isCircuitOpen(now) || owner->load.isPaused(now))) {
            this->refuseOrFail(now, pending, pending.possibleRuns > 0 ? ResultCode::RequestOutcomeUnknown : ResultCode::RequestCircuitOpen, decisions);
            return;
        }
    } else {
        pending.excludedUpstreams.push_back(pending.sentTo);
        if (!this->hasOtherUpstream(now, pending)) {
            this->refuseOrFail(now, pending, ResultCode::RequestRefusedByUpstream, decisions);
            return;
        }
        const auto coldWait = this->admission.estimateWaitForColdUpstreams(now, pending, 0);
        if (coldWait > Duration::zero() && now + coldWait + pending.service->averageLatency > pending.expiresAt) {
            this->refuseOrFail(now, pending, ResultCode::RequestUpstreamCold, decisions);
            return;
        }
    }
    this->enqueue(pending);
}

void Dispatcher::refuseOrFail(Instant now, PendingDispatch& pending, ResultCode reason, DispatchDecisions& decisions)
{
    const auto id = pending.request.id;
    // A refusal guarantees that the request did not run. If an earlier attempt of an idempotent request may have run,
    // the outcome is reported as unknown instead.
    if (pending.possibleRuns > 0) {
        this->finish(now, pending, FailRequest { id, ResultCode::RequestOutcomeUnknown }, decisions);
    } else {
        const auto* range = pending.findRange();
        const auto* owner = range == nullptr ? nullptr : this->upstreams.find(range->owner);
        this->finish(now, pending, RefuseRequest { id, reason, this->returnTime.compute(now, pending, owner, reason) }, decisions);
    }
}

void Dispatcher::finish(Instant now, PendingDispatch& pending, DispatchDecision decision, DispatchDecisions& decisions)
{
    const auto id = pending.request.id;
    this->settleLinkBudget(now, pending);
    this->dequeue(pending);
    this->deadlines.erase({ pending.expiresAt, id });
    decisions.push_back(std::move(decision));
    this->pendingRequests.erase(id);
}

void Dispatcher::responseStarted(PendingRequestId id)
{
    const auto found = this->pendingRequests.find(id);
    if (found != this->pendingRequests.end()) {
        auto& pending = *found->second;
        this->deadlines.erase({ pending.expiresAt, id });
        pending.expiresAt = Instant::max();
        pending.isResponseStarted = true;
        // An upstream that has begun to respond has not dropped the request.
        this->silenceReaction.recordResponseStarted(pending);
    }
}

void Dispatcher::responseReceived(PendingRequestId id, std::size_t bytes, Duration callerDelay)
{
    const auto found = this->pendingRequests.find(id);
    if (found != this->pendingRequests.end()) {
        found->second->responseBytes = bytes;
        found->second->callerDelay = callerDelay;
    }
}

void Dispatcher::recordLeaving(Instant now, DispatchUpstream& upstream)
{
    if (this->leavingSince.size() >= maxLeavingUpstreams) {
        const auto oldest = std::ranges::min_element(this->leavingSince, {}, [](const auto& item) { return item.second; });
        this->leavingSince.erase(oldest);
    }
    this->leavingSince.try_emplace(upstream.announcement.key, now);
    upstream.recordLeaving(now);
}

void Dispatcher::connectionRefused(Instant now, PendingRequestId id)
{
    const auto found = this->pendingRequests.find(id);
    auto* const upstream = found == this->pendingRequests.end() ? nullptr : this->upstreams.find(found->second->sentTo);
    if (upstream == nullptr || !found->second->service->item.hasWarmUp()) {
        return;
    }
    const auto& service = found->second->service->item;
    this->beginWarmUp(now, service, *upstream, service.warmUpTime);
}

void Dispatcher::noticeReceived(Instant now, PendingRequestId id, const UpstreamNotice& notice, DispatchDecisions& decisions)
{
    const auto found = this->pendingRequests.find(id);
    auto* upstream = found == this->pendingRequests.end() ? nullptr : this->upstreams.find(found->second->sentTo);
    if (upstream == nullptr) {
        return;
    }
    if (notice.isLeaving) {
        this->recordLeaving(now, *upstream);
    }
    if (notice.load) {
        upstream->load.recordReport(now, *notice.load);
    }
    if (notice.pause > Duration::zero()) {
        upstream->load.pause(now + std::min<Duration>(notice.pause, maxUpstreamPause));
        this->refuseWhilePaused(now, *found->second->service, *upstream, decisions);
    }
}

void Dispatcher::settleLinkBudget(Instant now, const PendingDispatch& pending)
{
    if (pending.responseBytes > 0) {
        this->linkBudget.recordResponseSize(pending.request.route->name, pending.responseBytes);
    }
    const auto used = static_cast<double>(pending.request.bytes + pending.responseBytes);
    if (pending.reservedLinkBytes > used) {
        this->linkBudget.release(now, pending.reservedLinkBytes - used);
    } else if (pending.reservedLinkBytes > 0) {
        this->linkBudget.reserve(now, used - pending.reservedLinkBytes);
    }
}

void Dispatcher::cancel(Instant now, PendingRequestId id, DispatchDecisions& decisions)
{
    const auto found = this->pendingRequests.find(id);
    if (found == this->pendingRequests.end()) {
        return;
    }
    auto& pending = *found->second;
    this->settleLinkBudget(now, pending);
    auto& service = *pending.service;
    const bool wasSent = pending.isSent;
    this->recordAttemptEnd(now, pending, std::nullopt);
    this->dequeue(pending);
    this->deadlines.erase({ pending.expiresAt, id });
    this->pendingRequests.erase(found);
    if (wasSent) {
        decisions.push_back(CancelAttempt { id });
    }
    this->dispatchQueued(now, service, decisions);
}

void Dispatcher::expire(Instant now, PendingDispatch& pending, DispatchDecisions& decisions)
{
    const auto id = pending.request.id;
    auto& service = *pending.service;
    if (pending.isSent) {
        SilenceReaction::recordExpired(now, pending);
        this->recordAttemptEnd(now, pending, AttemptOutcome::Lost);
        ++pending.possibleRuns;
        decisions.push_back(CancelAttempt { id });
        this->finish(now, pending, FailRequest { id, ResultCode::RequestDeadlineExceeded }, decisions);
    } else {
        this->refuseOrFail(now, pending, ResultCode::RequestDeadlineExceeded, decisions);
    }
    this->dispatchQueued(now, service, decisions);
}

void Dispatcher::endAll(Instant now, DispatchDecisions& decisions)
{
    std::vector<PendingRequestId> ids;
    std::ranges::transform(this->pendingRequests, std::back_inserter(ids), [](const auto& item) { return item.first; });
    for (const auto id : ids) {
        auto& pending = *this->pendingRequests.at(id);
        if (pending.isSent) {
            this->recordAttemptEnd(now, pending, std::nullopt);
            ++pending.possibleRuns;
            decisions.push_back(CancelAttempt { id });
        }
        this->refuseOrFail(now, pending, ResultCode::RequestDraining, decisions);
    }
}

void Dispatcher::handleSilence(Instant now, PendingDispatch& pending, DispatchDecisions& decisions)
{
    if (!this->silenceReaction.mayGiveUp(now, pending) || !this->tryConsumeRetry(now, pending, AttemptOutcome::Lost)) {
        return;
    }
    // The connection must close first: a later response on it would belong to the attempt that was given up.
    decisions.push_back(CancelAttempt { pending.request.id });
    pending.service->silence.recordUnanswered(now - pending.sentAt);
    this->recordAttemptEnd(now, pending, std::nullopt);
    ++pending.possibleRuns;
    this->retry(now, pending, AttemptOutcome::Lost, decisions);
}

void Dispatcher::recordOverdue(Instant now)
{
    while (const auto id = this->silenceReaction.takeOverdue(now)) {
        this->silenceReaction.recordOverdue(now, *this->pendingRequests.at(*id));
    }
}

void Dispatcher::advance(Instant now, DispatchDecisions& decisions)
{
    this->recordOverdue(now);
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto [due, id] = *this->deadlines.begin();
        this->deadlines.erase(this->deadlines.begin());
        const auto found = this->pendingRequests.find(id);
        if (found == this->pendingRequests.end()) {
            continue;
        }
        auto& pending = *found->second;
        if (pending.expiresAt <= now) {
            this->expire(now, pending, decisions);
        } else {
            auto& service = *pending.service;
            if (pending.isSent && pending.silentAt && *pending.silentAt <= now) {
                this->handleSilence(now, pending, decisions);
            }
            this->dispatchQueued(now, service, decisions);
        }
    }
}

std::optional<Instant> Dispatcher::nextDeadline() const
{
    const auto overdueAt = this->silenceReaction.nextOverdueAt();
    if (this->deadlines.empty()) {
        return overdueAt;
    }
    const auto due = this->deadlines.begin()->first;
    return overdueAt ? std::min(due, *overdueAt) : due;
}

std::vector<ServiceKeyLoad> Dispatcher::takeKeyLoads(std::size_t maxKeys)
{
    std::vector<ServiceKeyLoad> result;
    for (auto& [name, service] : this->services) {
        if (service->usage.empty()) {
            continue;
        }
        ServiceKeyLoad load { name, {} };
        for (const auto& [key, usage] : service->usage) {
            load.loads.push_back({ key, key, usage.requests, usage.answered, static_cast<std::uint32_t>(std::lround(usage.busyMs)) });
        }
        if (load.loads.size() > maxKeys) {
            std::ranges::nth_element(load.loads, load.loads.begin() + static_cast<std::ptrdiff_t>(maxKeys), std::ranges::greater {}, &KeyLoad::requests);
            load.loads.resize(maxKeys);
        }
        service->usage.clear();
        result.push_back(std::move(load));
    }
    return result;
}

}
