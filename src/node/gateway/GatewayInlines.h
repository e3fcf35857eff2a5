#pragma once

#include "node/gateway/Gateway.h"

#include <array>
#include <charconv>
#include <numeric>
#include <span>

namespace teaselturn {

namespace gateway {
    /// Keys reported with one load report; more of them are too cold to matter.
    inline constexpr std::size_t maxReportedKeys = 256;
    inline constexpr std::chrono::milliseconds connectionExpiryInterval { 500 };

    /// @return The idle time that a Keep-Alive header states, or nothing.
    inline std::optional<Duration> statedIdleTime(std::string_view keepAlive)
    {
        constexpr std::string_view name = "timeout=";
        const auto place = keepAlive.find(name);
        if (place == std::string_view::npos) {
            return std::nullopt;
        }
        const auto digits = keepAlive.substr(place + name.size());
        std::uint32_t seconds = 0;
        if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc {}) {
            return std::nullopt;
        }
        return std::chrono::seconds { seconds };
    }

    /// @return Size of a message on the wire, without its first line.
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
Gateway<Protocol>::Gateway(Reactor& reactor, Logger& logger, DispatchOptions options)
    : reactor(reactor)
    , logger(logger)
    , connectionHandlers {
        [this](ConnectionId connection, ReceivedResponse response, bool isReusable) { this->answered(connection, std::move(response), isReusable); },
        [this](ConnectionId connection, ConnectionFailure failure) { this->failed(connection, failure); },
        [this](ConnectionId connection) { this->closedIdle(connection); },
    }
    , dispatcher(std::move(options))
    , listener(reactor, { [this](HttpRequestId requestId, ReceivedRequest request) { this->takeRequest(requestId, std::move(request)); }, [this](HttpRequestId requestId) { this->callerLeft(requestId); } })
{
    reactor.every(gateway::connectionExpiryInterval, [this](Instant) { this->dropExpiredConnections(); });
}

template <CallerProtocol Protocol>
typename Gateway<Protocol>::Work Gateway<Protocol>::applyState(const RegistryState& state)
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
    Work work;
    DispatchDecisions decisions;
    this->dispatcher.sync(now, state, decisions);
    this->carryOut(now, decisions, work);
    return work;
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::setEntryCount(std::uint32_t count)
{
    const MutexLock lock { this->mutex };
    this->dispatcher.setEntryCount(count);
}

template <CallerProtocol Protocol>
std::vector<ServiceKeyLoad> Gateway<Protocol>::takeKeyLoads()
{
    const MutexLock lock { this->mutex };
    return this->dispatcher.takeKeyLoads(gateway::maxReportedKeys);
}

template <CallerProtocol Protocol>
bool Gateway<Protocol>::hasRoutes()
{
    const MutexLock lock { this->mutex };
    return this->routes && this->routes->size() > 0;
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::takeRequest(HttpRequestId requestId, ReceivedRequest request)
{
    this->counters.received.add();
    auto facts = Protocol::readRequest(request);
    if (!facts) {
        this->counters.rejected.add();
        this->listener.respond(requestId, Protocol::rejection({}, static_cast<ResultCode>(facts.error().value())));
        return;
    }
    Work work;
    std::optional<OutgoingResponse> rejection;
    {
        const MutexLock lock { this->mutex };
        const auto now = this->reactor.now();
        if (!this->routes || this->routes->size() == 0) {
            rejection = Protocol::refusal(*facts, ResultCode::RequestTableStale, std::chrono::milliseconds { 500 });
        } else if (auto route = this->routes->find(facts->host, gateway::pathOf(request.target))) {
            const PendingRequestId id { requestId.value };
            DispatchRequest dispatch { id, route, facts->key, now, now + facts->timeLeft, gateway::messageBytes(request.headers, request.body) };
            this->exchanges.emplace(id, Exchange { requestId, std::move(request), std::move(*facts), std::move(route), now, {}, 0, "-", std::nullopt });
            DispatchDecisions decisions;
            this->dispatcher.submit(now, std::move(dispatch), decisions);
            this->carryOut(now, decisions, work);
        } else {
            rejection = Protocol::rejection(*facts, ResultCode::RequestServiceUnknown);
        }
    }
    if (rejection) {
        this->counters.rejected.add();
        this->listener.respond(requestId, std::move(*rejection));
    }
    this->perform(std::move(work));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::callerLeft(HttpRequestId requestId)
{
    this->counters.callersLeft.add();
    Work work;
    {
        const MutexLock lock { this->mutex };
        const auto now = this->reactor.now();
        const PendingRequestId id { requestId.value };
        DispatchDecisions decisions;
        this->dispatcher.cancel(now, id, decisions);
        this->carryOut(now, decisions, work);
        this->exchanges.erase(id);
    }
    this->perform(std::move(work));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::carryOut(Instant now, DispatchDecisions& decisions, Work& work)
{
    for (const auto& decision : decisions) {
        if (const auto* send = std::get_if<SendRequest>(&decision)) {
            this->begin(now, *send, work);
        } else if (const auto* refusal = std::get_if<RefuseRequest>(&decision)) {
            const auto found = this->exchanges.find(refusal->id);
            if (found != this->exchanges.end()) {
                this->counters.refused.add();
                this->logOutcome(LogEvent::RequestNotRun, found->second, refusal->reason, now);
                this->respond(now, refusal->id, Protocol::refusal(found->second.facts, refusal->reason, refusal->retryAfter), work);
            }
        } else if (const auto* failure = std::get_if<FailRequest>(&decision)) {
            const auto found = this->exchanges.find(failure->id);
            if (found != this->exchanges.end()) {
                this->counters.unknown.add();
                this->logOutcome(LogEvent::RequestUnknown, found->second, failure->reason, now);
                this->respond(now, failure->id, Protocol::unknownOutcome(found->second.facts, failure->reason), work);
            }
        } else if (const auto* delivery = std::get_if<DeliverResponse>(&decision)) {
            const auto found = this->exchanges.find(delivery->id);
            if (found != this->exchanges.end() && found->second.response) {
                this->counters.delivered.add();
                this->counters.latency.record(now - found->second.arrivedAt);
                this->respond(now, delivery->id, relay(std::move(*found->second.response)), work);
            }
        } else if (const auto* abandoned = std::get_if<CancelAttempt>(&decision)) {
            const auto found = this->exchanges.find(abandoned->id);
            const auto connection = found == this->exchanges.end() ? this->connections.end() : this->connections.find(found->second.connection);
            if (connection != this->connections.end()) {
                work.closings.push_back(std::move(connection->second.connection));
                this->connections.erase(connection);
            }
        }
    }
    decisions.clear();
    this->scheduleAdvance(now);
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::respond(Instant, PendingRequestId id, OutgoingResponse response, Work& work)
{
    const auto found = this->exchanges.find(id);
    work.responses.push_back({ found->second.requestId, std::move(response) });
    this->exchanges.erase(found);
}

template <CallerProtocol Protocol>
std::shared_ptr<UpstreamConnection> Gateway<Protocol>::openConnection(const SendRequest& decision)
{
    const auto address = toSocketAddress(decision.endpoint);
    if (!address) {
        return nullptr;
    }
    const ConnectionId id { ++this->lastConnection };
    auto opened = UpstreamConnection::open(this->reactor, id, *address, this->connectionHandlers);
    if (!opened) {
        return nullptr;
    }
    this->counters.connectionsOpened.add();
    this->connections.emplace(id, ConnectionState { *opened, decision.upstream, {}, IdleConnectionPool::assumedIdleTime });
    return *opened;
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::begin(Instant now, const SendRequest& decision, Work& work)
{
    const auto found = this->exchanges.find(decision.id);
    if (found == this->exchanges.end()) {
        return;
    }
    auto& exchange = found->second;
    this->counters.attempts.add();
    exchange.upstream = decision.upstream.name;
    if (exchange.sends++ > 0) {
        this->logOutcome(LogEvent::RequestRetried, exchange, ResultCode::Ok, now);
    }
    auto connection = this->pool.take(decision.upstream, now);
    if (!connection) {
        connection = this->openConnection(decision);
    }
    if (!connection) {
        work.notSent.push_back(decision.id);
        return;
    }
    exchange.connection = connection->number();
    this->connections.at(connection->number()).exchange = decision.id;
    const bool isHead = exchange.request.method == "HEAD";
    work.sends.push_back({ std::move(connection), this->upstreamRequest(exchange, decision.upstream, decision.timeLeft), isHead });
}

template <CallerProtocol Protocol>
std::string Gateway<Protocol>::upstreamRequest(const Exchange& exchange, const UpstreamKey& upstream, Duration timeLeft) const
{
    const auto& request = exchange.request;
    std::string bytes;
    bytes.reserve(512 + request.body.size());
    appendRequestHead(bytes, request.method, request.target);
    for (const auto& header : request.headers) {
        if (!isHopByHopHeader(header.name) && !Protocol::isReplacedHeader(header.name)) {
            appendHeader(bytes, header.name, header.value);
        }
    }
    Protocol::appendUpstreamHeaders(bytes, upstream, timeLeft);
    const bool hasBodyByCustom = request.method != "GET" && request.method != "HEAD" && request.method != "DELETE";
    appendBody(bytes, request.body, hasBodyByCustom);
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
    return response;
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::endAttempt(Instant now, PendingRequestId id, AttemptOutcome outcome, Work& work)
{
    DispatchDecisions decisions;
    this->dispatcher.attemptEnded(now, id, outcome, decisions);
    this->carryOut(now, decisions, work);
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::answered(ConnectionId id, ReceivedResponse response, bool isReusable)
{
    Work work;
    {
        const MutexLock lock { this->mutex };
        const auto now = this->reactor.now();
        const auto connection = this->connections.find(id);
        if (connection == this->connections.end()) {
            return;
        }
        const auto exchangeId = std::exchange(connection->second.exchange, {});
        const auto exchange = this->exchanges.find(exchangeId);
        const auto outcome = exchange == this->exchanges.end() ? AttemptOutcome::Lost : Protocol::classifyResponse(response, exchange->second.facts);
        if (outcome == AttemptOutcome::Lost) {
            // The bytes belong to another request or are damaged; what follows on the connection cannot be trusted.
            this->counters.answersDropped.add();
            isReusable = false;
        }
        if (isReusable) {
            const auto idleTime = gateway::statedIdleTime(response.header("Keep-Alive"));
            connection->second.idleTime = idleTime.value_or(connection->second.idleTime);
            this->pool.put(connection->second.upstream, connection->second.connection, now, connection->second.idleTime);
        } else {
            work.closings.push_back(std::move(connection->second.connection));
            this->connections.erase(connection);
        }
        if (exchange != this->exchanges.end()) {
            this->dispatcher.responseReceived(exchangeId, gateway::messageBytes(response.headers, response.body));
            exchange->second.response = std::move(response);
            this->endAttempt(now, exchangeId, outcome, work);
        }
    }
    this->perform(std::move(work));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::failed(ConnectionId id, ConnectionFailure failure)
{
    Work work;
    {
        const MutexLock lock { this->mutex };
        const auto connection = this->connections.find(id);
        if (connection == this->connections.end()) {
            return;
        }
        const auto exchange = connection->second.exchange;
        work.closings.push_back(std::move(connection->second.connection));
        this->connections.erase(connection);
        const auto outcome = failure == ConnectionFailure::NotConnected ? AttemptOutcome::NotSent : AttemptOutcome::Lost;
        this->endAttempt(this->reactor.now(), exchange, outcome, work);
    }
    this->perform(std::move(work));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::closedIdle(ConnectionId id)
{
    Work work;
    {
        const MutexLock lock { this->mutex };
        const auto connection = this->connections.find(id);
        if (connection == this->connections.end()) {
            return;
        }
        const auto exchange = connection->second.exchange;
        this->pool.remove(connection->second.upstream, id);
        work.closings.push_back(std::move(connection->second.connection));
        this->connections.erase(connection);
        if (exchange != PendingRequestId {}) {
            // The connection closed between the decision to use it and the sending, so no byte of the request left.
            this->endAttempt(this->reactor.now(), exchange, AttemptOutcome::NotSent, work);
        }
    }
    this->perform(std::move(work));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::dropExpiredConnections()
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
    if (!next || (this->advanceDue && *this->advanceDue <= *next)) {
        return;
    }
    this->advanceDue = *next;
    this->reactor.after(std::max<Duration>(*next - now, Duration::zero()), [this](Instant) { this->advance(); });
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::advance()
{
    Work work;
    {
        const MutexLock lock { this->mutex };
        const auto now = this->reactor.now();
        this->advanceDue.reset();
        DispatchDecisions decisions;
        this->dispatcher.advance(now, decisions);
        this->carryOut(now, decisions, work);
    }
    this->perform(std::move(work));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::perform(Work work)
{
    for (const auto& connection : work.closings) {
        connection->close();
    }
    for (auto& [requestId, response] : work.responses) {
        this->listener.respond(requestId, std::move(response));
    }
    for (auto& [connection, bytes, isHead] : work.sends) {
        connection->send(bytes, isHead);
    }
    for (const auto id : work.notSent) {
        Work next;
        {
            const MutexLock lock { this->mutex };
            this->endAttempt(this->reactor.now(), id, AttemptOutcome::NotSent, next);
        }
        this->perform(std::move(next));
    }
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::logOutcome(LogEvent event, const Exchange& exchange, ResultCode code, Instant now)
{
    if (!this->logger.isEnabled(event) || !this->logBudget.take(now)) {
        return;
    }
    const auto waitedMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - exchange.arrivedAt).count();
    const std::array<LogField, 9> fields { {
        { "request", exchange.facts.requestId },
        { "route", exchange.route->name },
        { "version", exchange.route->version },
        { "code", static_cast<unsigned>(code) },
        { "reason", resultCodeName(code) },
        { "waitedMs", waitedMs },
        { "sends", exchange.sends },
        { "upstream", exchange.upstream },
        { "skippedLines", this->logBudget.takeSkipped() },
    } };
    this->logger.log(event, "", std::span<const LogField> { fields });
}

}
