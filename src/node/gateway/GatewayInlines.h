#pragma once

#include "node/gateway/Gateway.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <span>
#include <utility>

namespace teaselturn {

namespace gateway {
    /// Maximum number of keys in one load report; the keys beyond it have too little load to matter.
    inline constexpr std::size_t maxReportedKeys = 256;
    inline constexpr std::chrono::milliseconds connectionExpiryInterval { 500 };

    /// @return Size of the headers and body of a message on the wire, in bytes, without the first line.
    inline std::size_t messageBytes(std::span<const HttpHeader> headers, std::string_view body)
    {
        constexpr std::size_t separators = 4;
        return std::accumulate(headers.begin(), headers.end(), body.size(), [](std::size_t sum, const HttpHeader& header) { return sum + header.name.size() + header.value.size() + separators; });
    }

    inline std::string_view pathOf(std::string_view target)
    {
        return target.substr(0, target.find('?'));
    }
}

template <CallerProtocol Protocol>
Gateway<Protocol>::Gateway(Reactor& reactor, Logger& logger, DispatchOptions options, std::size_t bufferBytes)
    : reactor(reactor)
    , logger(logger)
    , connectionHandlers {
        [this](ConnectionId connection, ReceivedResponse response, bool isReusable) { this->handleResponse(connection, std::move(response), isReusable); },
        [this](ConnectionId connection, ConnectionFailure failure) { this->handleConnectionFailure(connection, failure); },
        [this](ConnectionId connection) { this->handleConnectionClosed(connection); },
        [this](ConnectionId connection, ReceivedResponse head, std::optional<std::uint64_t> length) { this->handleResponseHead(connection, std::move(head), length); },
        [this](ConnectionId connection, std::string bytes) { this->handleBody(connection, std::move(bytes)); },
        [this](ConnectionId connection, std::string bytes, bool isReusable) { this->handleBodyEnd(connection, std::move(bytes), isReusable); },
    }
    , buffers(bufferBytes)
    , linkTransfers(reactor, options.linkBytesPerSecond)
    , dispatcher(std::move(options))
    , listener(reactor, { [this](HttpRequestId requestId, ReceivedRequest request) { this->handleRequest(requestId, std::move(request)); }, [this](HttpRequestId requestId) { this->handleCallerDisconnect(requestId); }, [this](HttpRequestId requestId) { this->unpauseTransfer(PendingRequestId { requestId.value }, PauseReason::Caller); }, [this](TransferId transfer, const ReceivedRequest& head) { this->handleRequestBody(transfer, head); } })
{
    this->listener.setBuffers(this->buffers);
    this->listener.setTransfers(this->linkTransfers);
    this->listener.setLogger(logger);
    reactor.every(gateway::connectionExpiryInterval, [this](Instant) {
        this->closeExpiredConnections();
        this->endStalledTransfers();
    });
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::recordEvacuations(std::span<const std::string> zones)
{
    const std::vector<std::string> previous = std::exchange(this->evacuatedZones, { zones.begin(), zones.end() });
    const auto record = [this, index = this->evacuationsIndex](const std::string& zone, bool isEvacuated) {
        this->counters.evacuationChanges.add();
        this->logger.log(LogEvent::EvacuationApplied, "", { { "index", index }, { "zone", zone }, { "evacuated", isEvacuated ? 1 : 0 } });
    };
    for (const auto& zone : this->evacuatedZones) {
        if (!std::ranges::binary_search(previous, zone)) {
            record(zone, true);
        }
    }
    for (const auto& zone : previous) {
        if (!std::ranges::binary_search(this->evacuatedZones, zone)) {
            record(zone, false);
        }
    }
}

template <CallerProtocol Protocol>
typename Gateway<Protocol>::Effects Gateway<Protocol>::applyState(const RegistryState& state, std::optional<Instant> lastCurrentAt)
{
    const MutexLock lock { this->mutex };
    const auto now = this->reactor.now();
    if (state.itemsChangedAt() != this->routesIndex) {
        this->routes = std::make_shared<const RouteIndex>(state);
        this->routesIndex = state.itemsChangedAt();
        this->listener.setLimits(state.callerLimits());
    }
    if (state.upstreamsChangedAt() != this->upstreamsIndex) {
        this->upstreamsIndex = state.upstreamsChangedAt();
        this->knownUpstreams.clear();
        for (const auto& [name, upstream] : state.upstreams()) {
            if (upstream.state != UpstreamState::Gone) {
                this->knownUpstreams.insert(upstream.announcement.key);
            }
        }
    }
    Effects effects;
    DispatchDecisions decisions;
    if (state.evacuationsChangedAt() != this->evacuationsIndex) {
        this->evacuationsIndex = state.evacuationsChangedAt();
        this->recordEvacuations(state.evacuatedZones());
    }
    this->dispatcher.sync(now, lastCurrentAt.value_or(now), state, decisions);
    this->applyDecisions(now, decisions, effects);
    return effects;
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::setEntryCount(std::uint32_t count)
{
    const MutexLock lock { this->mutex };
    this->dispatcher.setEntryCount(count);
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::stopAccepting(Instant processEnd)
{
    this->listener.stopListening();
    const MutexLock lock { this->mutex };
    this->dispatcher.refuseRequestsBeyond(processEnd);
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::endOpenRequests()
{
    Effects effects;
    {
        const MutexLock lock { this->mutex };
        const auto now = this->reactor.now();
        DispatchDecisions decisions;
        this->dispatcher.endAll(now, decisions);
        this->applyDecisions(now, decisions, effects);
    }
    this->executeEffects(std::move(effects));
}

template <CallerProtocol Protocol>
std::vector<ServiceKeyLoad> Gateway<Protocol>::takeKeyLoads()
{
    const MutexLock lock { this->mutex };
    return this->dispatcher.takeKeyLoads(gateway::maxReportedKeys);
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::setFeedDelayed(bool isDelayed)
{
    const MutexLock lock { this->mutex };
    this->dispatcher.setFeedDelayed(this->reactor.now(), isDelayed);
}

template <CallerProtocol Protocol>
bool Gateway<Protocol>::hasRoutes()
{
    const MutexLock lock { this->mutex };
    return this->routes && this->routes->size() > 0;
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::handleRequest(HttpRequestId requestId, ReceivedRequest request)
{
    this->counters.received.add();
    auto info = Protocol::readRequest(request);
    if (!info) {
        this->counters.rejected.add();
        this->listener.respond(requestId, Protocol::rejection({}, static_cast<ResultCode>(info.error().value())));
        return;
    }
    Effects effects;
    std::optional<OutgoingResponse> rejection;
    {
        const MutexLock lock { this->mutex };
        const auto now = this->reactor.now();
        if (!this->routes || this->routes->size() == 0) {
            rejection = Protocol::refusal(*info, ResultCode::RequestTableStale, std::chrono::milliseconds { 500 });
        } else if (auto route = this->routes->find(info->host, gateway::pathOf(request.target))) {
            const PendingRequestId id { requestId.value };
            // The time that the listener took to read a large body is the caller's.
            const auto deadline = request.headReadAt.value_or(now) + info->timeLeft;
            DispatchRequest dispatch { id, route, info->key, now, deadline, gateway::messageBytes(request.headers, request.body) };
            this->pendingRequests.emplace(id, PendingRequest { requestId, std::move(request), std::move(*info), std::move(route), now, deadline, {}, 0, "-" });
            DispatchDecisions decisions;
            this->dispatcher.submit(now, std::move(dispatch), decisions);
            this->applyDecisions(now, decisions, effects);
        } else {
            rejection = Protocol::rejection(*info, ResultCode::RequestServiceUnknown);
        }
    }
    if (rejection) {
        this->counters.rejected.add();
        this->listener.respond(requestId, std::move(*rejection));
    }
    this->executeEffects(std::move(effects));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::handleCallerDisconnect(HttpRequestId requestId)
{
    this->counters.callersDisconnected.add();
    Effects effects;
    {
        const MutexLock lock { this->mutex };
        const auto now = this->reactor.now();
        const PendingRequestId id { requestId.value };
        this->recordTransfer(id, Duration::zero());
        DispatchDecisions decisions;
        this->dispatcher.cancel(now, id, decisions);
        this->applyDecisions(now, decisions, effects);
        this->pendingRequests.erase(id);
    }
    this->executeEffects(std::move(effects));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::applyDecisions(Instant now, DispatchDecisions& decisions, Effects& effects)
{
    for (const auto& decision : decisions) {
        if (const auto* send = std::get_if<SendRequest>(&decision)) {
            this->startAttempt(now, *send, effects);
        } else if (const auto* refusal = std::get_if<RefuseRequest>(&decision)) {
            const auto found = this->pendingRequests.find(refusal->id);
            if (found != this->pendingRequests.end()) {
                this->counters.refused.add();
                this->counters.refusedForWarmUp.add(refusal->reason == ResultCode::RequestUpstreamCold ? 1 : 0);
                this->logOutcome(LogEvent::RequestNotRun, found->second, refusal->reason, now);
                this->respond(now, refusal->id, Protocol::refusal(found->second.info, refusal->reason, refusal->retryAfter), effects);
            }
        } else if (const auto* failure = std::get_if<FailRequest>(&decision)) {
            const auto found = this->pendingRequests.find(failure->id);
            if (found != this->pendingRequests.end()) {
                this->counters.unknown.add();
                this->counters.responsesBroken.add(found->second.transfer ? 1 : 0);
                this->logOutcome(found->second.transfer ? LogEvent::ResponseBroken : LogEvent::RequestUnknown, found->second, failure->reason, now);
                this->respond(now, failure->id, Protocol::unknownOutcome(found->second.info, failure->reason), effects);
            }
        } else if (const auto* delivery = std::get_if<DeliverResponse>(&decision)) {
            const auto found = this->pendingRequests.find(delivery->id);
            if (found != this->pendingRequests.end() && found->second.transfer) {
                this->counters.delivered.add();
                this->counters.latency.record(now - found->second.arrivedAt);
                effects.ends.push_back({ found->second.requestId, std::move(found->second.transfer->lastBytes) });
                this->pendingRequests.erase(found);
            } else if (found != this->pendingRequests.end() && found->second.response) {
                this->counters.delivered.add();
                this->counters.latency.record(now - found->second.arrivedAt);
                this->respond(now, delivery->id, relay(std::move(*found->second.response)), effects);
            }
        } else if (const auto* cancellation = std::get_if<CancelAttempt>(&decision)) {
            const auto found = this->pendingRequests.find(cancellation->id);
            const auto connection = found == this->pendingRequests.end() ? this->connections.end() : this->connections.find(found->second.connection);
            // The connection of an earlier attempt may carry another request by now.
            if (connection != this->connections.end() && connection->second.pendingId == cancellation->id) {
                effects.connectionsToClose.push_back(std::move(connection->second.connection));
                this->connections.erase(connection);
            }
        }
    }
    decisions.clear();
    this->reportHeldBack(now);
    this->scheduleAdvance(now);
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::reportHeldBack(Instant now)
{
    const auto held = this->dispatcher.takeHeldBack();
    if (held.count == 0) {
        return;
    }
    this->counters.requestsHeldBack.add(held.count);
    if (this->logger.isEnabled(LogEvent::RequestsHeldBack) && this->heldBackRateLimiter.tryAcquire(now)) {
        const std::array<LogField, 3> fields { { { "upstream", held.upstream.name }, { "limit", held.limit }, { "skippedLines", this->heldBackRateLimiter.takeSkipped() } } };
        this->logger.log(LogEvent::RequestsHeldBack, "", std::span<const LogField> { fields });
    }
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::respond(Instant, PendingRequestId id, OutgoingResponse response, Effects& effects)
{
    const auto found = this->pendingRequests.find(id);
    response.requestName = std::move(found->second.info.requestId);
    effects.responses.push_back({ found->second.requestId, std::move(response) });
    this->pendingRequests.erase(found);
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::scheduleAdvance(Instant now)
{
    const auto next = this->dispatcher.nextDeadline();
    if (!next || (this->nextAdvanceAt && *this->nextAdvanceAt <= *next)) {
        return;
    }
    this->nextAdvanceAt = *next;
    this->reactor.after(std::max<Duration>(*next - now, Duration::zero()), [this](Instant) { this->advance(); });
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::advance()
{
    Effects effects;
    {
        const MutexLock lock { this->mutex };
        const auto now = this->reactor.now();
        this->nextAdvanceAt.reset();
        DispatchDecisions decisions;
        this->dispatcher.advance(now, decisions);
        this->applyDecisions(now, decisions, effects);
    }
    this->executeEffects(std::move(effects));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::executeEffects(Effects effects)
{
    for (const auto& connection : effects.connectionsToClose) {
        connection->close();
    }
    for (auto& [requestId, response] : effects.responses) {
        this->listener.respond(requestId, std::move(response));
    }
    for (auto& [requestId, head, length] : effects.begins) {
        this->listener.beginResponse(requestId, std::move(head), length);
        this->unpauseTransfer(PendingRequestId { requestId.value }, PauseReason::Head);
    }
    for (auto& [requestId, lastBytes] : effects.ends) {
        this->listener.endBody(requestId, std::move(lastBytes));
    }
    for (const auto& connection : effects.connectionsToHold) {
        connection->holdBody();
    }
    for (auto& [connection, bytes, body] : effects.sends) {
        connection->send(bytes, body);
    }
    for (const auto id : effects.unsentRequests) {
        Effects next;
        {
            const MutexLock lock { this->mutex };
            this->endAttempt(this->reactor.now(), id, AttemptOutcome::NotSent, next);
        }
        this->executeEffects(std::move(next));
    }
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::logOutcome(LogEvent event, const PendingRequest& pending, ResultCode code, Instant now)
{
    if (!this->logger.isEnabled(event) || !this->logRateLimiter.tryAcquire(now)) {
        return;
    }
    const auto waitedMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - pending.arrivedAt).count();
    const std::array<LogField, 10> fields { {
        { "request", pending.info.requestId },
        { "route", pending.route->name },
        { "version", pending.route->version },
        { "code", static_cast<unsigned>(code) },
        { "reason", resultCodeName(code) },
        { "waitedMs", waitedMs },
        { "sends", pending.attempts },
        { "upstream", pending.upstream },
        { "connection", pending.connection.value },
        { "skippedLines", this->logRateLimiter.takeSkipped() },
    } };
    this->logger.log(event, "", std::span<const LogField> { fields });
}

}
