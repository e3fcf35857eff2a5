#include "core/dispatch/Dispatcher.h"

#include "core/registry/KeyRanges.h"
#include "core/routing/RouteTable.h"

#include <algorithm>
#include <cmath>

namespace teaselturn {

namespace {

    /// Waits for a key whose owner refused it: long enough for a new owner to be announced, short against deadlines.
    constexpr std::chrono::milliseconds misdirectedHold { 120 };
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
    /// Times that a request may meet an upstream that does not hold its key.
    constexpr std::uint32_t maxMisdirections = 3;
    /// Largest number of requests waiting at one entry VM.
    constexpr std::size_t maxOpenRequests = 4'096;

    /// Round trips assumed before any is measured.
    constexpr std::chrono::milliseconds zoneDistance { 3 };
    constexpr std::chrono::milliseconds regionDistance { 60 };
    /// Largest share of the usual latency by which an entry VM prefers one upstream to another of the same speed.
    constexpr double largestAversion = 0.3;

    Duration scaled(Duration value, double factor)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { value } * factor);
    }

    /// @return The same number in [0, largestAversion) for the same pair in every process.
    double aversionTo(const UpstreamKey& key, std::uint64_t spread)
    {
        const auto hash = hashKey(key.name + ":" + std::to_string(spread));
        return largestAversion * static_cast<double>(hash % 1'024) / 1'024;
    }

}

Dispatcher::Dispatcher(DispatchOptions options)
    : options(std::move(options))
{
}

Dispatcher::Service& Dispatcher::service(std::string_view name)
{
    const auto found = this->services.find(name);
    if (found != this->services.end()) {
        return *found->second;
    }
    auto made = std::make_unique<Service>();
    made->name = name;
    return *this->services.emplace(std::string { name }, std::move(made)).first->second;
}

Dispatcher::Upstream* Dispatcher::upstream(const UpstreamKey& key)
{
    const auto found = this->upstreams.find(key);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

void Dispatcher::syncUpstreams(Instant now, const RegistryState& state)
{
    for (auto& [key, known] : this->upstreams) {
        known.isListed = false;
    }
    for (auto& [name, service] : this->services) {
        service->upstreams.clear();
    }
    for (const auto& [name, registered] : state.upstreams()) {
        const auto& announcement = registered.announcement;
        if (registered.state == UpstreamState::Gone) {
            continue;
        }
        const auto place = this->upstreams.try_emplace(announcement.key, Upstream { announcement, registered.state, UpstreamLoad { announcement.requestSlots } }).first;
        auto& known = place->second;
        known.announcement = announcement;
        known.state = registered.state;
        known.load.setSlots(announcement.requestSlots);
        known.distance = this->distanceTo(announcement.zone);
        known.aversion = aversionTo(announcement.key, this->options.spread);
        if (registered.state == UpstreamState::Draining && !known.drainingSince) {
            known.drainingSince = now;
        }
        known.isListed = true;
        this->service(announcement.service).upstreams.push_back(announcement.key);
    }
    absl::erase_if(this->upstreams, [](const auto& item) { return !item.second.isListed && item.second.load.inFlight() == 0; });
}

void Dispatcher::syncKeys(const RegistryState& state, Service& service)
{
    const auto ranges = state.keyRanges(service.name);
    service.ranges.assign(ranges.begin(), ranges.end());
    absl::flat_hash_map<std::uint64_t, Instant> stillUnheld;
    for (const auto& range : service.ranges) {
        const auto known = service.unheldRanges.find(rangeNumber(range));
        if (known != service.unheldRanges.end()) {
            stillUnheld.insert(*known);
        }
    }
    service.unheldRanges = std::move(stillUnheld);
    // Requests queue by owner, so they move to their keys' new owners.
    std::vector<ExchangeId> waiting;
    for (const auto& [owner, queue] : service.queues) {
        std::ranges::transform(queue, std::back_inserter(waiting), &QueuePlace::id);
    }
    for (const auto id : waiting) {
        auto& exchange = *this->exchanges.at(id);
        this->dequeue(exchange);
        this->enqueue(exchange);
    }
}

void Dispatcher::sync(Instant now, const RegistryState& state, DispatchDecisions& decisions)
{
    if (this->upstreamsIndex != state.upstreamsChangedAt()) {
        this->upstreamsIndex = state.upstreamsChangedAt();
        this->syncUpstreams(now, state);
    }
    if (this->itemsIndex != state.itemsChangedAt()) {
        this->itemsIndex = state.itemsChangedAt();
        state.forEachItem([this](const ConfigItem& item) {
            if (const auto* content = std::get_if<ServiceItem>(&item.content)) {
                this->service(item.name).isSharded = content->isSharded;
            }
        });
    }
    for (auto& [name, service] : this->services) {
        const auto changedAt = state.keysChangedAt(name);
        if (service->isSharded && service->rangesIndex != changedAt) {
            service->rangesIndex = changedAt;
            this->syncKeys(state, *service);
        }
    }
    for (auto& [name, service] : this->services) {
        this->serve(now, *service, decisions);
    }
}

Duration Dispatcher::distanceTo(std::string_view zone) const
{
    if (zone == this->options.zone) {
        return Duration::zero();
    }
    const auto own = this->options.regions.find(this->options.zone);
    const auto other = this->options.regions.find(zone);
    const bool isSameRegion = own != this->options.regions.end() && other != this->options.regions.end() && own->second == other->second;
    return isSameRegion ? zoneDistance : regionDistance;
}

Duration Dispatcher::expectedLatency(Instant now, const Service& service, const Upstream& upstream) const
{
    const auto expected = upstream.load.expectedLatency(now, service.usualLatency + upstream.distance);
    return expected + scaled(service.usualLatency, upstream.aversion);
}

bool Dispatcher::isDrained(Instant now, const Upstream& upstream) const noexcept
{
    return upstream.drainingSince && now - *upstream.drainingSince >= this->options.drainTime;
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

const KeyRange* Dispatcher::rangeOf(const Exchange& exchange) const
{
    return exchange.request.key ? findKeyRange(exchange.service->ranges, *exchange.request.key) : nullptr;
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
    this->enqueue(exchange);
    this->serve(now, *exchange.service, decisions);
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
        if (owner->load.hasRoom(now) && waiting == 0) {
            return Duration::zero();
        }
        return scaled(owner->load.expectedLatency(now, service.usualLatency), (waiting + 0.5) / std::max(1.0, owner->load.currentLimit()));
    }
    const auto waiting = ahead(service.queue);
    if (waiting == 0 && this->chooseUpstream(now, service, exchange) != nullptr) {
        return Duration::zero();
    }
    // What is under way beyond the slots waits at the upstreams.
    const auto parallel = this->slotShare(service);
    return scaled(service.usualLatency, std::max(1.0, waiting + 1 + service.inFlight - parallel) / parallel);
}

Duration Dispatcher::retryAfter(Instant now, const Exchange& exchange)
{
    // Callers that were refused together must not return together.
    this->spreadState ^= this->spreadState << 13;
    this->spreadState ^= this->spreadState >> 7;
    this->spreadState ^= this->spreadState << 17;
    const auto spread = 0.5 + static_cast<double>(this->spreadState % 1'000) / 1'000;
    const auto left = std::max<Duration>(Duration::zero(), exchange.giveUpAt - now);
    return std::clamp<Duration>(scaled(left, 0.25 * spread), shortestReturn, longestReturn);
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
    if (!exchange.service->isSharded) {
        return false;
    }
    const auto* range = this->rangeOf(exchange);
    if (range == nullptr) {
        return true;
    }
    const auto unheld = exchange.service->unheldRanges.find(rangeNumber(*range));
    return unheld != exchange.service->unheldRanges.end() && (range->isMoving() || now < unheld->second);
}

void Dispatcher::noteUnheld(Instant now, const Exchange& exchange, Instant tryAgainAt)
{
    if (const auto* range = this->rangeOf(exchange)) {
        exchange.service->unheldRanges[rangeNumber(*range)] = tryAgainAt;
        this->deadlines.emplace(std::max(now, tryAgainAt), exchange.request.id);
    }
}

bool Dispatcher::isInTime(Instant now, const Exchange& exchange, Duration latency) const
{
    return now + latency <= exchange.request.arrivedAt + exchange.request.route->item.targetLatency;
}

std::vector<ExchangeId> Dispatcher::sendable(Instant now, const Queue& queue, Duration latency) const
{
    std::vector<ExchangeId> inTime;
    std::vector<ExchangeId> late;
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
    if (const auto* range = this->rangeOf(exchange); range != nullptr && exchange.service->unheldRanges.contains(rangeNumber(*range))) {
        // Others wait for what this one finds.
        exchange.service->unheldRanges[rangeNumber(*range)] = now + misdirectedHold * 2;
    }
    const auto left = std::max<Duration>(exchange.giveUpAt - now - answerMargin, answerMargin);
    decisions.push_back(SendRequest { exchange.request.id, target.announcement.key, target.announcement.endpoint, left });
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
    if (auto* target = this->upstream(exchange.sentTo)) {
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
        service.usualLatency += scaled(latency - service.usualLatency, 0.05);
        if (service.isSharded && exchange.request.key) {
            service.usage[*exchange.request.key].busyMs += std::chrono::duration<double, std::milli> { latency }.count();
        }
    }
}

void Dispatcher::attemptEnded(Instant now, ExchangeId id, AttemptOutcome outcome, DispatchDecisions& decisions)
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
        this->finish(exchange, DeliverAnswer { id }, decisions);
        break;
    case AttemptOutcome::Failed:
        ++exchange.runs;
        if (this->mayRepeat(now, exchange, outcome)) {
            this->tryAgain(now, exchange, outcome, decisions);
        } else {
            this->finish(exchange, DeliverAnswer { id }, decisions);
        }
        break;
    case AttemptOutcome::Lost:
        ++exchange.runs;
        if (this->mayRepeat(now, exchange, outcome)) {
            this->tryAgain(now, exchange, outcome, decisions);
        } else {
            this->finish(exchange, FailRequest { id, ResultCode::RequestOutcomeUnknown }, decisions);
        }
        break;
    case AttemptOutcome::Full:
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
            this->noteUnheld(now, exchange, now + misdirectedHold);
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
        this->finish(exchange, FailRequest { id, ResultCode::RequestOutcomeUnknown }, decisions);
    } else {
        this->finish(exchange, RefuseRequest { id, reason, this->retryAfter(now, exchange) }, decisions);
    }
}

void Dispatcher::finish(Exchange& exchange, DispatchDecision decision, DispatchDecisions& decisions)
{
    const auto id = exchange.request.id;
    this->dequeue(exchange);
    this->deadlines.erase({ exchange.giveUpAt, id });
    decisions.push_back(std::move(decision));
    this->exchanges.erase(id);
}

void Dispatcher::cancel(Instant now, ExchangeId id, DispatchDecisions& decisions)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return;
    }
    auto& exchange = *found->second;
    auto& service = *exchange.service;
    const bool wasSent = exchange.isSent;
    this->detach(now, exchange, std::nullopt);
    this->dequeue(exchange);
    this->deadlines.erase({ exchange.giveUpAt, id });
    this->exchanges.erase(found);
    if (wasSent) {
        decisions.push_back(AbandonAttempt { id });
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
        decisions.push_back(AbandonAttempt { id });
        this->finish(exchange, FailRequest { id, ResultCode::RequestDeadlineExceeded }, decisions);
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
            load.loads.push_back({ key, key, usage.requests, static_cast<std::uint32_t>(std::lround(usage.busyMs)) });
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
