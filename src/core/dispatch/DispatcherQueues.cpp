#include "core/dispatch/Dispatcher.h"
#include "core/dispatch/ScaledDuration.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace teaselturn {

namespace {

    /// Room kept for the answer's way back when time left is handed to an upstream.
    constexpr std::chrono::milliseconds answerMargin { 5 };
    /// Shortest and longest time after which a refused caller is asked to return.
    constexpr std::chrono::milliseconds shortestReturn { 50 };
    constexpr std::chrono::milliseconds longestReturn { 2'000 };
    /// Requests that all entry VMs together keep at a service without keys, for each of its slots. One that waits at
    /// the upstream keeps the slot busy between two requests; more only fill its queue.
    constexpr double roomPerSlot = 2.0;
    /// Load is uneven between entry VMs, so each may take this much more than its part.
    constexpr double unevenness = 1.5;
    /// How long keys on their way to another owner are usually served by nobody once an entry VM finds out: a commit
    /// across regions and the next owner's heartbeat.
    constexpr std::chrono::milliseconds movePause { 150 };
    /// A move that takes longer than this has stopped, and the former owner may hold the keys again.
    constexpr std::chrono::milliseconds stuckMoveTime { 1'200 };
    /// Part of the target latency for which a request may wait for the link, by priority. Those of a high priority wait
    /// behind what the others were refused for.
    constexpr std::array linkPatience { 0.5, 0.35, 0.2 };
    /// Largest number of requests waiting at one entry VM.
    constexpr std::size_t maxOpenRequests = 4'096;

}

Dispatcher::Queue& Dispatcher::queueOf(Exchange& exchange)
{
    return exchange.service->isSharded ? exchange.service->queues[exchange.queuedAt] : exchange.service->queue;
}

void Dispatcher::enqueue(Exchange& exchange)
{
    if (exchange.service->isSharded) {
        const auto* range = this->rangeOf(exchange);
        exchange.queuedAt = range == nullptr ? UpstreamKey {} : range->owner;
    }
    this->queueOf(exchange).insert({ exchange.request.route->item.priority, exchange.number, exchange.request.id });
    exchange.isQueued = true;
    if (const auto until = this->heldUntil(exchange); until && *until > exchange.request.arrivedAt && *until < exchange.giveUpAt) {
        this->deadlines.emplace(*until, exchange.request.id);
    }
}

void Dispatcher::dequeue(Exchange& exchange)
{
    if (!exchange.isQueued) {
        return;
    }
    auto& queue = this->queueOf(exchange);
    queue.erase({ exchange.request.route->item.priority, exchange.number, exchange.request.id });
    if (exchange.service->isSharded && queue.empty()) {
        exchange.service->queues.erase(exchange.queuedAt);
    }
    exchange.isQueued = false;
}

void Dispatcher::serve(Instant now, Service& service, DispatchDecisions& decisions)
{
    if (service.isSharded) {
        this->serveKeys(now, service, decisions);
        return;
    }
    if (service.queue.empty()) {
        return;
    }
    for (const auto id : this->sendable(now, service.queue, service.usualLatency)) {
        auto& exchange = *this->exchanges.at(id);
        auto* target = this->chooseUpstream(now, service, exchange);
        if (target == nullptr) {
            return;
        }
        this->dequeue(exchange);
        this->send(now, exchange, *target, decisions);
    }
}

bool Dispatcher::isHeld(Instant now, const Exchange& exchange) const
{
    const auto until = this->heldUntil(exchange);
    return until && now < *until;
}

std::optional<Instant> Dispatcher::heldUntil(const Exchange& exchange) const
{
    if (!exchange.service->isSharded) {
        return std::nullopt;
    }
    const auto* range = this->rangeOf(exchange);
    if (range == nullptr) {
        return Instant::max();
    }
    const auto* unheld = unheldRange(*exchange.service, range);
    return unheld == nullptr ? std::nullopt : std::optional { unheld->tryAt };
}

const Dispatcher::UnheldRange* Dispatcher::unheldRange(const Service& service, const KeyRange* range)
{
    const auto found = range == nullptr ? service.unheldRanges.end() : service.unheldRanges.find(rangeNumber(*range));
    return found == service.unheldRanges.end() ? nullptr : &found->second;
}

void Dispatcher::noteMisdirected(Instant now, const Exchange& exchange)
{
    if (const auto* range = this->rangeOf(exchange)) {
        auto& unheld = exchange.service->unheldRanges[rangeNumber(*range)];
        const auto hold = misdirectedHold * (1 << std::min(unheld.refusals, maxHoldDoublings));
        const bool isReleased = range->isMoving() && unheld.refusals == 0;
        unheld.expectedAt = now + (isReleased ? movePause : hold);
        unheld.tryAt = now + (isReleased ? stuckMoveTime : hold);
        ++unheld.refusals;
        this->deadlines.emplace(unheld.tryAt, exchange.request.id);
    }
}

bool Dispatcher::isInTime(Instant now, const Exchange& exchange, Duration latency) const
{
    return now + latency <= exchange.request.arrivedAt + exchange.request.route->item.targetLatency;
}

std::vector<PendingRequestId> Dispatcher::sendable(Instant now, const Queue& queue, Duration latency) const
{
    std::vector<PendingRequestId> inTime;
    std::vector<PendingRequestId> late;
    for (const auto& place : queue) {
        const auto& exchange = *this->exchanges.at(place.id);
        if (!this->isHeld(now, exchange)) {
            (this->isInTime(now, exchange, latency) ? inTime : late).push_back(place.id);
        }
    }
    // An answer in time is worth three late ones, so a request that missed its time does not make others miss theirs.
    inTime.insert(inTime.end(), late.begin(), late.end());
    return inTime;
}

void Dispatcher::serveKeys(Instant now, Service& service, DispatchDecisions& decisions)
{
    std::vector<UpstreamKey> owners;
    for (const auto& [key, queue] : service.queues) {
        owners.push_back(key);
    }
    for (const auto& key : owners) {
        auto* owner = this->upstream(key);
        if (owner == nullptr || owner->load.isClosed(now) || this->isDrained(now, *owner) || !owner->load.hasRoom(now)) {
            continue;
        }
        for (const auto id : this->sendable(now, service.queues.at(key), owner->load.usualLatency())) {
            auto& exchange = *this->exchanges.at(id);
            if (!owner->load.hasRoom(now)) {
                break;
            }
            if (!this->isHeld(now, exchange)) {
                this->dequeue(exchange);
                this->send(now, exchange, *owner, decisions);
            }
        }
    }
}

Duration Dispatcher::expectedLatency(Instant now, const Service& service, const Upstream& upstream) const
{
    const auto expected = upstream.load.expectedLatency(now, service.usualLatency + upstream.distance);
    return expected + scaled(service.usualLatency, upstream.aversion);
}

Dispatcher::Upstream* Dispatcher::chooseUpstream(Instant now, Service& service, const Exchange& exchange)
{
    if (service.inFlight >= this->roomShare(service)) {
        return nullptr;
    }
    Upstream* best = nullptr;
    Duration bestLatency {};
    for (const auto& key : service.upstreams) {
        auto* candidate = this->upstream(key);
        const bool isUsable = candidate != nullptr && (candidate->state == UpstreamState::Ready || candidate->state == UpstreamState::Dead) && candidate->load.hasRoom(now);
        if (!isUsable || std::ranges::find(exchange.avoided, key) != exchange.avoided.end()) {
            continue;
        }
        auto latency = this->expectedLatency(now, service, *candidate);
        if (candidate->state == UpstreamState::Dead) {
            // It sends no heartbeats, though it may still serve.
            latency *= 3;
        }
        if (best == nullptr || latency < bestLatency) {
            best = candidate;
            bestLatency = latency;
        }
    }
    return best;
}

void Dispatcher::send(Instant now, Exchange& exchange, Upstream& target, DispatchDecisions& decisions)
{
    target.load.sent(now);
    ++exchange.service->inFlight;
    ++exchange.sends;
    exchange.isSent = true;
    exchange.sentTo = target.announcement.key;
    exchange.sentAt = now;
    if (const auto* range = this->rangeOf(exchange)) {
        const auto unheld = exchange.service->unheldRanges.find(rangeNumber(*range));
        if (unheld != exchange.service->unheldRanges.end()) {
            // Others wait for what this one finds.
            unheld->second.tryAt = now + misdirectedHold * 2;
            unheld->second.expectedAt = unheld->second.tryAt;
        }
    }
    const auto left = std::max<Duration>(exchange.giveUpAt - now - answerMargin, answerMargin);
    decisions.push_back(SendRequest { exchange.request.id, target.announcement.key, target.announcement.endpoint, left });
}

/// @return Requests that upstreams of a service without keys run at a time for this entry VM.
double Dispatcher::slotShare(const Service& service) const
{
    double slots = 0;
    for (const auto& key : service.upstreams) {
        const auto found = this->upstreams.find(key);
        slots += found != this->upstreams.end() && found->second.state == UpstreamState::Ready ? std::max(1U, found->second.announcement.requestSlots) : 0;
    }
    return std::max(1.0, slots / this->entryCount * unevenness);
}

double Dispatcher::roomShare(const Service& service) const
{
    return std::max(2.0, this->slotShare(service) * roomPerSlot);
}

std::optional<ResultCode> Dispatcher::admissionRefusal(Instant now, const Exchange& exchange)
{
    const auto& service = *exchange.service;
    if (exchange.giveUpAt <= now) {
        return ResultCode::RequestDeadlineExceeded;
    }
    if (this->exchanges.size() > maxOpenRequests) {
        return ResultCode::QueueFull;
    }
    if (service.isSharded) {
        const auto* range = this->rangeOf(exchange);
        if (range == nullptr || !range->isOwned()) {
            return ResultCode::RequestNoOwner;
        }
        auto* owner = this->upstream(range->owner);
        if (owner == nullptr || owner->state == UpstreamState::Dead || this->isDrained(now, *owner)) {
            return ResultCode::RequestNoOwner;
        }
        if (owner->load.isClosed(now)) {
            return ResultCode::RequestCircuitOpen;
        }
    } else {
        const auto isOpen = [this, now](const UpstreamKey& key) {
            auto* candidate = this->upstream(key);
            return candidate != nullptr && candidate->state != UpstreamState::Draining && !candidate->load.isClosed(now);
        };
        if (std::ranges::none_of(service.upstreams, isOpen)) {
            return service.upstreams.empty() ? ResultCode::RequestNoOwner : ResultCode::RequestCircuitOpen;
        }
    }
    const auto wait = this->expectedWait(now, exchange);
    const auto target = std::min(exchange.giveUpAt, exchange.request.arrivedAt + exchange.request.route->item.targetLatency);
    if (wait > Duration::zero() && now + wait + service.usualLatency > target) {
        return ResultCode::RequestShed;
    }
    return std::nullopt;
}

/// @return Time until the requests ahead have been sent; zero where the request can go at once.
Duration Dispatcher::expectedWait(Instant now, const Exchange& exchange)
{
    auto& service = *exchange.service;
    const QueuePlace place { exchange.request.route->item.priority, exchange.number, exchange.request.id };
    const auto ahead = [&place](const Queue& queue) { return static_cast<double>(std::distance(queue.begin(), queue.lower_bound(place))); };
    if (service.isSharded) {
        const auto* range = this->rangeOf(exchange);
        auto* owner = this->upstream(range->owner);
        const auto queue = service.queues.find(range->owner);
        const auto waiting = queue == service.queues.end() ? 0.0 : ahead(queue->second);
        const auto* unheld = unheldRange(service, range);
        const auto held = unheld == nullptr ? Duration::zero() : std::max<Duration>(unheld->expectedAt - now, Duration::zero());
        if (owner->load.hasRoom(now) && waiting == 0) {
            return held;
        }
        return held + scaled(owner->load.expectedLatency(now, service.usualLatency), (waiting + 0.5) / std::max(1.0, owner->load.currentLimit()));
    }
    const auto waiting = ahead(service.queue);
    if (waiting == 0 && this->chooseUpstream(now, service, exchange) != nullptr) {
        return Duration::zero();
    }
    // What is under way beyond the slots waits at the upstreams.
    const auto parallel = this->slotShare(service);
    return scaled(service.usualLatency, std::max(1.0, waiting + 1 + service.inFlight - parallel) / parallel);
}

bool Dispatcher::isLinkFull(Instant now, const Exchange& exchange)
{
    const auto& route = exchange.request.route->item;
    const auto patience = linkPatience[std::min<std::size_t>(route.priority, linkPatience.size() - 1)];
    return this->link.wait(now) > scaled(route.targetLatency, patience);
}

Duration Dispatcher::retryAfter(Instant now, const Exchange& exchange, ResultCode reason)
{
    // Callers that were refused together must not return together.
    this->spreadState ^= this->spreadState << 13;
    this->spreadState ^= this->spreadState >> 7;
    this->spreadState ^= this->spreadState << 17;
    const auto spread = 0.5 + static_cast<double>(this->spreadState % 1'000) / 1'000;
    if (reason == ResultCode::RequestLinkFull) {
        // Callers return to another entry VM, whose link has room as a rule.
        return scaled(shortestReturn, 2 * spread);
    }
    const auto left = std::max<Duration>(Duration::zero(), exchange.giveUpAt - now);
    return std::clamp<Duration>(scaled(left, 0.25 * spread), shortestReturn, longestReturn);
}

}
