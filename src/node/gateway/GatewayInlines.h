#pragma once

#include "node/gateway/Gateway.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <span>
#include <utility>

namespace teaselturn {

namespace gateway {
    /// Maximum number of keys in one load report; the keys beyond it have too little load to matter.
    inline constexpr std::size_t maxReportedKeys = 256;
    inline constexpr std::chrono::milliseconds connectionExpiryInterval { 500 };

    /// @return The timeout parameter of a Keep-Alive header, or nothing if it is missing or malformed.
    inline std::optional<Duration> parseKeepAliveTimeout(std::string_view keepAlive)
    {
        constexpr std::string_view name = "timeout=";
        const auto position = keepAlive.find(name);
        if (position == std::string_view::npos) {
            return std::nullopt;
        }
        const auto digits = keepAlive.substr(position + name.size());
        std::uint32_t seconds = 0;
        if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc {}) {
            return std::nullopt;
        }
        return std::chrono::seconds { seconds };
    }

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
std::shared_ptr<UpstreamConnection> Gateway<Protocol>::openConnection(const SendRequest& decision)
{
    const auto address = toSocketAddress(decision.endpoint);
    if (!address) {
        return nullptr;
    }
    const ConnectionId id { ++this->lastConnectionId };
    auto opened = UpstreamConnection::open(this->reactor, id, *address, this->connectionHandlers, this->buffers, this->linkTransfers.transitLimits());
    if (!opened) {
        if (opened.failure().code == ResultCode::RequestConnectionRefused) {
            this->dispatcher.connectionRefused(this->reactor.now(), decision.id);
        }
        return nullptr;
    }
    this->counters.connectionsOpened.add();
    this->connections.emplace(id, ConnectionState { *opened, decision.upstream, {}, {}, IdleConnectionPool::defaultIdleTime });
    return *opened;
}

template <CallerProtocol Protocol>
std::shared_ptr<UpstreamConnection> Gateway<Protocol>::takeIdleConnection(Instant now, const UpstreamKey& upstream, std::string_view requestId)
{
    return this->pool.take(upstream, now, [this, &requestId](ConnectionId id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { return this->connections.at(id).carried.mayCarry(requestId); });
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::startAttempt(Instant now, const SendRequest& decision, Effects& effects)
{
    const auto found = this->pendingRequests.find(decision.id);
    if (found == this->pendingRequests.end()) {
        return;
    }
    auto& pending = found->second;
    this->counters.attempts.add();
    this->counters.heldForWarmUp.add(decision.wasHeldForWarmUp ? 1 : 0);
    pending.upstream = decision.upstream.name;
    if (pending.attempts++ > 0) {
        this->logOutcome(LogEvent::RequestRetried, pending, ResultCode::Ok, now);
    }
    auto connection = this->takeIdleConnection(now, decision.upstream, pending.info.requestId);
    if (!connection) {
        connection = this->openConnection(decision);
    }
    if (!connection) {
        effects.unsentRequests.push_back(decision.id);
        return;
    }
    pending.connection = connection->number();
    auto& connectionState = this->connections.at(connection->number());
    connectionState.pendingId = decision.id;
    connectionState.carried.record(pending.info.requestId);
    effects.sends.push_back({ std::move(connection), this->makeUpstreamRequest(pending, decision.upstream, decision.timeLeft), expectedBody(pending) });
}

template <CallerProtocol Protocol>
std::string Gateway<Protocol>::makeUpstreamRequest(const PendingRequest& pending, const UpstreamKey& upstream, Duration timeLeft) const
{
    const auto& request = pending.request;
    std::string bytes;
    bytes.reserve(512 + request.body.size());
    appendRequestHead(bytes, request.method, request.target);
    for (const auto& header : request.headers) {
        if (!isHopByHopHeader(header.name) && !Protocol::isReplacedHeader(header.name)) {
            appendHeader(bytes, header.name, header.value);
        }
    }
    Protocol::appendUpstreamHeaders(bytes, upstream, timeLeft);
    const bool methodUsuallyHasBody = request.method != "GET" && request.method != "HEAD" && request.method != "DELETE";
    appendBody(bytes, request.body, methodUsuallyHasBody);
    return bytes;
}

template <CallerProtocol Protocol>
OutgoingResponse Gateway<Protocol>::relay(ReceivedResponse received)
{
    OutgoingResponse response;
    response.status = received.status;
    for (const auto& header : received.headers) {
        if (!isHopByHopHeader(header.name)) {
            appendHeader(response.headerLines, header.name, header.value);
        }
    }
    response.body = std::move(received.body);
    response.reservation = std::move(received.reservation);
    return response;
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::endAttempt(Instant now, PendingRequestId id, AttemptOutcome outcome, Effects& effects)
{
    DispatchDecisions decisions;
    this->dispatcher.attemptEnded(now, id, outcome, decisions);
    this->applyDecisions(now, decisions, effects);
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::releaseConnection(Instant now, ConnectionId id, bool isReusable, Effects& effects)
{
    const auto connection = this->connections.find(id);
    if (isReusable && !connection->second.carried.isFull()) {
        this->pool.put(connection->second.upstream, connection->second.connection, now, connection->second.idleTime);
    } else {
        effects.connectionsToClose.push_back(std::move(connection->second.connection));
        this->connections.erase(connection);
    }
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::handleResponse(ConnectionId id, ReceivedResponse response, bool isReusable)
{
    Effects effects;
    {
        const MutexLock lock { this->mutex };
        const auto now = this->reactor.now();
        const auto connection = this->connections.find(id);
        if (connection == this->connections.end()) {
            return;
        }
        const auto pendingId = std::exchange(connection->second.pendingId, {});
        const auto pending = this->pendingRequests.find(pendingId);
        const auto outcome = pending == this->pendingRequests.end() ? AttemptOutcome::Lost : Protocol::classifyResponse(response, pending->second.info, connection->second.carried.count() == 1);
        if (outcome == AttemptOutcome::Lost) {
            // The response is damaged or belongs to another request, so later bytes of the connection are not trusted.
            this->counters.responsesDropped.add();
            isReusable = false;
            if (pending != this->pendingRequests.end()) {
                this->logOutcome(LogEvent::ResponseDropped, pending->second, ResultCode::ResponseMismatched, now);
            }
        }
        const auto idleTime = gateway::parseKeepAliveTimeout(response.header("Keep-Alive"));
        connection->second.idleTime = idleTime.value_or(connection->second.idleTime);
        this->releaseConnection(now, id, isReusable, effects);
        if (pending != this->pendingRequests.end()) {
            this->dispatcher.responseReceived(pendingId, gateway::messageBytes(response.headers, response.body));
            if (outcome != AttemptOutcome::Lost) {
                DispatchDecisions decisions;
                this->dispatcher.noticeReceived(now, pendingId, Protocol::readNotice(response), decisions);
                this->applyDecisions(now, decisions, effects);
            }
            pending->second.response = std::move(response);
            this->endAttempt(now, pendingId, outcome, effects);
        }
    }
    this->executeEffects(std::move(effects));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::handleConnectionFailure(ConnectionId id, ConnectionFailure failure)
{
    Effects effects;
    {
        const MutexLock lock { this->mutex };
        const auto connection = this->connections.find(id);
        if (connection == this->connections.end()) {
            return;
        }
        const auto pendingId = connection->second.pendingId;
        effects.connectionsToClose.push_back(std::move(connection->second.connection));
        this->connections.erase(connection);
        this->recordTransfer(pendingId, Duration::zero());
        if (failure == ConnectionFailure::BufferExhausted) {
            this->counters.responsesOverBudget.add();
        }
        if (failure == ConnectionFailure::Refused) {
            this->dispatcher.connectionRefused(this->reactor.now(), pendingId);
        }
        const bool isUnsent = failure == ConnectionFailure::NotConnected || failure == ConnectionFailure::Refused;
        const auto outcome = isUnsent ? AttemptOutcome::NotSent : AttemptOutcome::Lost;
        this->endAttempt(this->reactor.now(), pendingId, outcome, effects);
    }
    this->executeEffects(std::move(effects));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::handleConnectionClosed(ConnectionId id)
{
    Effects effects;
    {
        const MutexLock lock { this->mutex };
        const auto connection = this->connections.find(id);
        if (connection == this->connections.end()) {
            return;
        }
        const auto pendingId = connection->second.pendingId;
        this->pool.remove(connection->second.upstream, id);
        effects.connectionsToClose.push_back(std::move(connection->second.connection));
        this->connections.erase(connection);
        if (pendingId != PendingRequestId {}) {
            // The connection closed after it was chosen and before the request was sent, so no byte was sent.
            this->endAttempt(this->reactor.now(), pendingId, AttemptOutcome::NotSent, effects);
        }
    }
    this->executeEffects(std::move(effects));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::closeExpiredConnections()
{
    std::vector<std::shared_ptr<UpstreamConnection>> expired;
    {
        const MutexLock lock { this->mutex };
        expired = this->pool.takeExpired(this->reactor.now(), [this](const UpstreamKey& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { return this->knownUpstreams.contains(key); });
        for (const auto& connection : expired) {
            this->connections.erase(connection->number());
        }
    }
    for (const auto& connection : expired) {
        connection->close();
    }
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
