#pragma once

#include "node/gateway/Gateway.h"
#include "node/gateway/GatewayInlines.h"

#include <charconv>

/// Attempts of requests at upstreams: their connections, responses and failures.
namespace teaselturn {

namespace gateway {
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

}
