#include "core/dispatch/Dispatcher.h"
#include "core/dispatch/ScaledDuration.h"

#include <algorithm>
#include <cmath>

namespace teaselturn {

namespace {

    /// Times that a request may meet an upstream that does not hold its key.
    constexpr std::uint32_t maxMisdirections = 3;
    /// Weight of an answer in a service's usual latency.
    constexpr double latencyWeight = 0.05;

}

Dispatcher::Dispatcher(DispatchOptions options)
    : options(std::move(options))
    , link(this->options.linkBytesPerSecond)
{
}

std::string_view Dispatcher::chooseService(const CompiledRoute& route)
{
    const auto& shares = route.item.shares;
    if (shares.size() == 1) {
        return shares.front().service;
    }
    // Smooth weighted rotation: each share gains its weight, the richest is chosen and pays the sum.
    auto& credit = this->rotation[route.name];
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
    auto made = std::make_unique<Exchange>();
    auto& exchange = *made;
    exchange.service = &this->service(this->chooseService(*request.route));
    exchange.number = ++this->lastNumber;
    exchange.giveUpAt = std::min(request.deadline, request.arrivedAt + route.timeout);
    exchange.request = std::move(request);
    this->exchanges.emplace(id, std::move(made));
    this->deadlines.emplace(exchange.giveUpAt, id);
    const RetryBounds bounds { this->options.retryRatioPerMille, this->options.retrySlack, this->options.retryWindow };
    exchange.service->retries.request(now, bounds);
    if (exchange.service->isSharded && exchange.request.key) {
        ++exchange.service->usage[*exchange.request.key].requests;
    }
    if (const auto refusal = this->admissionRefusal(now, exchange)) {
        this->refuse(now, exchange, *refusal, decisions);
        return;
    }
    if (this->isLinkFull(now, exchange)) {
        this->link.take(now, static_cast<double>(exchange.request.bytes));
        this->refuse(now, exchange, ResultCode::RequestLinkFull, decisions);
        return;
    }
    exchange.linkBytes = this->link.expectedBytes(exchange.request.route->name, exchange.request.bytes);
    this->link.take(now, exchange.linkBytes);
    this->enqueue(exchange);
    this->serve(now, *exchange.service, decisions);
}

void Dispatcher::detach(Instant now, Exchange& exchange, std::optional<AttemptOutcome> outcome)
{
    if (!exchange.isSent) {
        return;
    }
    exchange.isSent = false;
    auto& service = *exchange.service;
    service.inFlight = std::max(0, service.inFlight - 1);
    const auto latency = now - exchange.sentAt;
    auto* const target = this->upstream(exchange.sentTo);
    if (target != nullptr) {
        if (outcome) {
            target->load.ended(now, *outcome, latency);
        } else {
            target->load.cancelled();
        }
    }
    if (outcome && *outcome != AttemptOutcome::Misdirected && !service.unheldRanges.empty()) {
        if (const auto* range = this->rangeOf(exchange); range != nullptr && range->owner == exchange.sentTo) {
            service.unheldRanges.erase(rangeNumber(*range));
        }
    }
    if (outcome == AttemptOutcome::Answered) {
        service.usualLatency += scaled(latency - service.usualLatency, latencyWeight);
        if (service.isSharded && exchange.request.key) {
            auto& usage = service.usage[*exchange.request.key];
            const auto distance = target == nullptr ? Duration::zero() : target->distance;
            ++usage.answered;
            usage.busyMs += std::chrono::duration<double, std::milli> { std::max<Duration>(latency - distance, Duration::zero()) }.count();
        }
    }
}

void Dispatcher::attemptEnded(Instant now, PendingRequestId id, AttemptOutcome outcome, DispatchDecisions& decisions)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return;
    }
    auto& exchange = *found->second;
    auto& service = *exchange.service;
    this->detach(now, exchange, outcome);
    switch (outcome) {
    case AttemptOutcome::Answered:
        this->finish(now, exchange, DeliverResponse { id }, decisions);
        break;
    case AttemptOutcome::Failed:
        ++exchange.runs;
        if (this->mayRepeat(now, exchange, outcome)) {
            this->tryAgain(now, exchange, outcome, decisions);
        } else {
            this->finish(now, exchange, DeliverResponse { id }, decisions);
        }
        break;
    case AttemptOutcome::Lost:
        ++exchange.runs;
        if (this->mayRepeat(now, exchange, outcome)) {
            this->tryAgain(now, exchange, outcome, decisions);
        } else {
            this->finish(now, exchange, FailRequest { id, ResultCode::RequestOutcomeUnknown }, decisions);
        }
        break;
    case AttemptOutcome::Overloaded:
    case AttemptOutcome::Misdirected:
    case AttemptOutcome::NotSent:
        if (this->mayRepeat(now, exchange, outcome)) {
            this->tryAgain(now, exchange, outcome, decisions);
        } else {
            this->refuse(now, exchange, outcome == AttemptOutcome::NotSent ? ResultCode::RequestConnectionRefused : ResultCode::RequestRefusedByUpstream, decisions);
        }
        break;
    }
    this->serve(now, service, decisions);
}

bool Dispatcher::mayRepeat(Instant now, Exchange& exchange, AttemptOutcome outcome)
{
    const auto& route = exchange.request.route->item;
    if (route.kind == RequestKind::AtMostOnce && exchange.runs > 0) {
        return false;
    }
    if (exchange.giveUpAt - now < exchange.service->usualLatency / 2) {
        return false;
    }
    if (outcome == AttemptOutcome::NotSent) {
        // The upstream saw nothing, so neither the attempts nor the budget are touched.
        return true;
    }
    if (outcome == AttemptOutcome::Misdirected) {
        // The upstream did not run it, so it counts as no attempt; it counts for the budget all the same.
        --exchange.sends;
        if (++exchange.misdirections > maxMisdirections) {
            return false;
        }
    }
    if (exchange.sends >= route.attempts) {
        return false;
    }
    const RetryBounds bounds { this->options.retryRatioPerMille, this->options.retrySlack, this->options.retryWindow };
    return exchange.service->retries.tryRetry(now, bounds, this->entryCount);
}

bool Dispatcher::hasOtherUpstream(const Exchange& exchange)
{
    return std::ranges::any_of(exchange.service->upstreams, [&](const UpstreamKey& key) {
        const auto* candidate = this->upstream(key);
        return candidate != nullptr && candidate->state != UpstreamState::Draining && std::ranges::find(exchange.avoided, key) == exchange.avoided.end();
    });
}

void Dispatcher::tryAgain(Instant now, Exchange& exchange, AttemptOutcome outcome, DispatchDecisions& decisions)
{
    if (outcome == AttemptOutcome::NotSent) {
        --exchange.sends;
    }
    if (exchange.service->isSharded) {
        const auto* range = this->rangeOf(exchange);
        if (outcome == AttemptOutcome::Misdirected && range != nullptr && range->owner == exchange.sentTo) {
            this->noteMisdirected(now, exchange);
        }
        auto* owner = range == nullptr ? nullptr : this->upstream(range->owner);
        if (outcome != AttemptOutcome::Misdirected && (owner == nullptr || owner->load.isClosed(now))) {
            this->refuse(now, exchange, exchange.runs > 0 ? ResultCode::RequestOutcomeUnknown : ResultCode::RequestCircuitOpen, decisions);
            return;
        }
    } else {
        exchange.avoided.push_back(exchange.sentTo);
        if (!this->hasOtherUpstream(exchange)) {
            this->refuse(now, exchange, ResultCode::RequestRefusedByUpstream, decisions);
            return;
        }
    }
    this->enqueue(exchange);
}

/// Ends a request that is not under way.
void Dispatcher::refuse(Instant now, Exchange& exchange, ResultCode reason, DispatchDecisions& decisions)
{
    const auto id = exchange.request.id;
    // A refusal promises that nothing ran. An idempotent request that may have run before can still be refused only as
    // unknown.
    if (exchange.runs > 0) {
        this->finish(now, exchange, FailRequest { id, ResultCode::RequestOutcomeUnknown }, decisions);
    } else {
        this->finish(now, exchange, RefuseRequest { id, reason, this->retryAfter(now, exchange, reason) }, decisions);
    }
}

void Dispatcher::finish(Instant now, Exchange& exchange, DispatchDecision decision, DispatchDecisions& decisions)
{
    const auto id = exchange.request.id;
    this->settleLink(now, exchange);
    this->dequeue(exchange);
    this->deadlines.erase({ exchange.giveUpAt, id });
    decisions.push_back(std::move(decision));
    this->exchanges.erase(id);
}

void Dispatcher::responseReceived(PendingRequestId id, std::size_t bytes)
{
    const auto found = this->exchanges.find(id);
    if (found != this->exchanges.end()) {
        found->second->answerBytes = bytes;
    }
}

void Dispatcher::settleLink(Instant now, const Exchange& exchange)
{
    if (exchange.answerBytes > 0) {
        this->link.learnAnswer(exchange.request.route->name, exchange.answerBytes);
    }
    const auto used = static_cast<double>(exchange.request.bytes + exchange.answerBytes);
    if (exchange.linkBytes > used) {
        this->link.giveBack(now, exchange.linkBytes - used);
    } else if (exchange.linkBytes > 0) {
        this->link.take(now, used - exchange.linkBytes);
    }
}

void Dispatcher::cancel(Instant now, PendingRequestId id, DispatchDecisions& decisions)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return;
    }
    auto& exchange = *found->second;
    this->settleLink(now, exchange);
    auto& service = *exchange.service;
    const bool wasSent = exchange.isSent;
    this->detach(now, exchange, std::nullopt);
    this->dequeue(exchange);
    this->deadlines.erase({ exchange.giveUpAt, id });
    this->exchanges.erase(found);
    if (wasSent) {
        decisions.push_back(CancelAttempt { id });
    }
    this->serve(now, service, decisions);
}

void Dispatcher::expire(Instant now, Exchange& exchange, DispatchDecisions& decisions)
{
    const auto id = exchange.request.id;
    auto& service = *exchange.service;
    if (exchange.isSent) {
        this->detach(now, exchange, AttemptOutcome::Lost);
        ++exchange.runs;
        decisions.push_back(CancelAttempt { id });
        this->finish(now, exchange, FailRequest { id, ResultCode::RequestDeadlineExceeded }, decisions);
    } else {
        this->refuse(now, exchange, ResultCode::RequestDeadlineExceeded, decisions);
    }
    this->serve(now, service, decisions);
}

void Dispatcher::advance(Instant now, DispatchDecisions& decisions)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto [due, id] = *this->deadlines.begin();
        this->deadlines.erase(this->deadlines.begin());
        const auto found = this->exchanges.find(id);
        if (found == this->exchanges.end()) {
            continue;
        }
        auto& exchange = *found->second;
        if (exchange.giveUpAt <= now) {
            this->expire(now, exchange, decisions);
        } else {
            this->serve(now, *exchange.service, decisions);
        }
    }
}

std::optional<Instant> Dispatcher::nextDeadline() const
{
    return this->deadlines.empty() ? std::nullopt : std::optional { this->deadlines.begin()->first };
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
