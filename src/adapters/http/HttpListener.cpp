#include "adapters/http/HttpListener.h"

#include <algorithm>
#include <sys/epoll.h>

namespace teaselturn {

namespace {

    /// Requests of one connection that may wait for their responses; the bytes of further ones stay unread.
    constexpr std::size_t maxPipelinedRequests = 16;
    /// Connections of all callers; each may hold a descriptor, and the upstreams need as many again.
    constexpr std::size_t maxConnections = 2'000;
    /// A caller that does not acknowledge what it was sent for this long has gone.
    constexpr std::chrono::milliseconds callerUserTimeout { 5'000 };
    constexpr std::chrono::milliseconds expiryInterval { 250 };
    constexpr std::size_t endEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;

    unsigned statusOf(ReadProgress progress) noexcept
    {
        if (progress == ReadProgress::HeadTooLarge) {
            return 431;
        }
        return progress == ReadProgress::BodyTooLarge ? 413 : 400;
    }

}

HttpListener::HttpListener(Reactor& reactor, Handlers handlers)
    : reactor(reactor)
    , handlers(std::move(handlers))
    , expiry(reactor.every(expiryInterval, [this](Instant now) { this->expire(now); }))
{
}

HttpListener::~HttpListener()
{
    this->reactor.cancel(this->expiry);
    this->stopListening();
    Found ignored;
    for (const auto& connection : this->allConnections()) {
        const MutexLock lock { connection->mutex };
        this->close(*connection, ignored);
    }
}

std::vector<HttpListener::ConnectionPointer> HttpListener::allConnections()
{
    const MutexLock lock { this->mutex };
    std::vector<ConnectionPointer> all;
    all.reserve(this->connections.size());
    for (const auto& [pointer, connection] : this->connections) {
        all.push_back(connection);
    }
    return all;
}

Status HttpListener::listen(const Endpoint& endpoint)
{
    auto opened = openBound(endpoint, SOCK_STREAM);
    if (!opened) {
        return opened.failure();
    }
    this->listener = std::move(*opened);
    this->listenerWatch = this->reactor.add(this->listener, [this](std::uint32_t) { this->accept(); });
    return success();
}

void HttpListener::stopListening()
{
    if (this->listener) {
        this->reactor.remove(this->listener, this->listenerWatch);
        this->listener = FileDescriptor {};
    }
}

void HttpListener::setLimits(const CallerLimits& newLimits)
{
    const MutexLock lock { this->mutex };
    this->limits = newLimits;
}

ReadLimits HttpListener::readLimits()
{
    const MutexLock lock { this->mutex };
    return { static_cast<std::size_t>(this->limits.maxHeaderBytes), static_cast<std::size_t>(std::min<std::uint64_t>(this->limits.maxBodyBytes, teaselturn::limits::maxBodyBytes)) };
}

void HttpListener::accept()
{
    while (auto socket = acceptConnection(this->listener, callerUserTimeout)) {
        auto connection = std::make_shared<Connection>(std::move(socket), this->readLimits());
        const MutexLock connectionLock { connection->mutex };
        connection->activeAt = this->reactor.now();
        {
            const MutexLock lock { this->mutex };
            if (this->connections.size() >= maxConnections) {
                continue;
            }
            this->connections.emplace(connection.get(), connection);
        }
        connection->watch = this->reactor.add(connection->stream.descriptor(), [this, connection](std::uint32_t events) { this->handle(connection, events); });
    }
}

void HttpListener::handle(const ConnectionPointer& connection, std::uint32_t events)
{
    Found found;
    {
        const MutexLock lock { connection->mutex };
        if (connection->isClosed) {
            return;
        }
        auto state = connection->stream.flush();
        if (state == StreamState::Open && (events & (EPOLLIN | endEvents)) != 0) {
            state = connection->stream.read(connection->input);
            if (state == StreamState::Open && (events & endEvents) != 0) {
                state = connection->stream.read(connection->input);
            }
        }
        if (state == StreamState::Open) {
            this->readRequests(connection, found);
            this->writeResponses(*connection, found);
        } else {
            this->close(*connection, found);
        }
    }
    this->hand(found);
}

HttpRequestId HttpListener::registerRequest(const ConnectionPointer& connection)
{
    const MutexLock lock { this->mutex };
    const HttpRequestId id { ++this->lastRequest };
    this->requests.emplace(id, connection);
    return id;
}

void HttpListener::readRequests(const ConnectionPointer& connection, Found& found)
{
    if (this->isDraining && !connection->exchanges.empty()) {
        // A caller that always has another request under way would keep the connection past the end of the process.
        connection->isLast = true;
    }
    if (connection->isLast) {
        // What comes behind the last request is not read; the caller sends it again elsewhere.
        connection->input.clear();
    }
    while (!connection->isLast && !connection->input.empty() && connection->exchanges.size() < maxPipelinedRequests) {
        connection->reader.setLimits(this->readLimits());
        const auto progress = connection->reader.read(connection->input);
        if (progress == ReadProgress::Incomplete) {
            // The time for a head counts from its first byte.
            return;
        }
        if (progress != ReadProgress::Complete) {
            this->refuse(*connection, statusOf(progress));
            return;
        }
        auto request = connection->reader.take();
        connection->activeAt = this->reactor.now();
        connection->isLast = !request.keepsAlive || this->isDraining;
        const auto id = this->registerRequest(connection);
        connection->exchanges.push_back({ id, std::nullopt });
        found.requests.emplace_back(id, std::move(request));
    }
}

void HttpListener::refuse(Connection& connection, unsigned status)
{
    connection.exchanges.push_back({ {}, OutgoingResponse { status, {}, {}, true } });
    connection.isLast = true;
    connection.input.clear();
}

void HttpListener::writeResponses(Connection& connection, Found& found)
{
    std::string out;
    while (!connection.exchanges.empty() && connection.exchanges.front().response) {
        const auto response = std::move(*connection.exchanges.front().response);
        connection.exchanges.pop_front();
        const bool isLastResponse = (connection.isLast && connection.exchanges.empty()) || response.closesConnection || (this->isDraining && connection.exchanges.empty());
        appendStatusLine(out, response.status);
        out.append(response.headerLines);
        if (isLastResponse) {
            appendHeader(out, "Connection", "close");
            connection.isLast = true;
        }
        appendBody(out, response.body, true);
        connection.activeAt = this->reactor.now();
        if (isLastResponse) {
            // Requests behind it were not passed on where the response itself ends the connection.
            for (const auto& exchange : connection.exchanges) {
                found.disconnected.push_back(exchange.id);
            }
            connection.exchanges.clear();
        }
    }
    if (!out.empty() && connection.stream.write(out) != StreamState::Open) {
        this->close(connection, found);
        return;
    }
    if (connection.isLast && connection.exchanges.empty() && connection.stream.unsent() == 0) {
        this->close(connection, found);
    }
}

void HttpListener::close(Connection& connection, Found& found)
{
    if (connection.isClosed) {
        return;
    }
    connection.isClosed = true;
    for (const auto& exchange : connection.exchanges) {
        if (exchange.id != HttpRequestId {} && !exchange.response) {
            found.disconnected.push_back(exchange.id);
        }
    }
    connection.exchanges.clear();
    this->reactor.remove(connection.stream.descriptor(), connection.watch);
    connection.stream.close();
    const MutexLock lock { this->mutex };
    this->connections.erase(&connection);
}

void HttpListener::hand(Found& found)
{
    if (!found.disconnected.empty()) {
        const MutexLock lock { this->mutex };
        for (const auto id : found.disconnected) {
            this->requests.erase(id);
        }
    }
    for (const auto id : found.disconnected) {
        if (this->handlers.disconnected) {
            this->handlers.disconnected(id);
        }
    }
    for (auto& [id, request] : found.requests) {
        this->handlers.request(id, std::move(request));
    }
}

void HttpListener::respond(HttpRequestId id, OutgoingResponse response)
{
    ConnectionPointer connection;
    {
        const MutexLock lock { this->mutex };
        const auto found = this->requests.find(id);
        if (found == this->requests.end()) {
            return;
        }
        connection = std::move(found->second);
        this->requests.erase(found);
    }
    Found found;
    {
        const MutexLock lock { connection->mutex };
        if (connection->isClosed) {
            return;
        }
        const auto waiting = std::ranges::find(connection->exchanges, id, &Exchange::id);
        if (waiting != connection->exchanges.end()) {
            waiting->response = std::move(response);
        }
        this->writeResponses(*connection, found);
        if (!connection->isClosed) {
            this->readRequests(connection, found);
        }
    }
    this->hand(found);
}

void HttpListener::expire(Instant now)
{
    CallerLimits inForce;
    {
        const MutexLock lock { this->mutex };
        inForce = this->limits;
    }
    for (const auto& connection : this->allConnections()) {
        Found found;
        {
            const MutexLock lock { connection->mutex };
            const bool isReading = connection->reader.isWithinMessage();
            const auto patience = isReading ? inForce.headerTimeout + inForce.idleTimeout : inForce.idleTimeout;
            if (connection->exchanges.empty() && now - connection->activeAt > patience) {
                this->close(*connection, found);
            }
        }
        this->hand(found);
    }
}

void HttpListener::closeIdle()
{
    for (const auto& connection : this->allConnections()) {
        Found found;
        {
            const MutexLock lock { connection->mutex };
            if (connection->exchanges.empty() && !connection->reader.isWithinMessage()) {
                this->close(*connection, found);
            }
        }
        this->hand(found);
    }
}

std::size_t HttpListener::openRequests()
{
    const MutexLock lock { this->mutex };
    return this->requests.size();
}

}
