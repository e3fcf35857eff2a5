#include "adapters/http/HttpListener.h"

#include <algorithm>
#include <sys/epoll.h>

namespace teaselturn {

namespace {

    /// Maximum requests without a response per connection. Bytes of further requests stay unread.
    constexpr std::size_t maxPipelinedRequests = 16;
    constexpr unsigned statusUnavailable = 503;
    constexpr std::size_t disconnectEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;

    unsigned errorStatusOf(ReadProgress progress) noexcept
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
    , timeoutTimer(reactor.every(GracefulClose::checkInterval, [this](Instant now) { this->closeTimedOut(now); }))
{
}

HttpListener::~HttpListener()
{
    this->reactor.cancel(this->timeoutTimer);
    this->stopListening();
    PendingCallbacks ignored;
    for (const auto& connection : this->allConnections()) {
        const MutexLock lock { connection->mutex };
        this->close(*connection, CloseReason::Stopped, ignored);
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
    if (this->transfers != nullptr) {
        limitTransit(*opened, this->transfers->transitLimits());
    }
    const MutexLock lock { this->listenerMutex };
    this->listener = std::move(*opened);
    this->listenerWatchId = this->reactor.add(this->listener, [this](std::uint32_t) {
        const MutexLock handlerLock { this->listenerMutex };
        this->accept();
    });
    return success();
}

void HttpListener::stopListening()
{
    const MutexLock lock { this->listenerMutex };
    if (this->listener) {
        // The kernel resets connections that are not accepted when the port closes.
        this->accept();
        this->reactor.remove(this->listener, this->listenerWatchId);
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
    if (!this->listener) {
        return;
    }
    while (auto socket = acceptConnection(this->listener)) {
        if (this->connectionCount() >= this->maxConnections && this->closingCount > 0) {
            this->closeDelivered();
        }
        auto connection = std::make_shared<Connection>(std::move(socket), this->readLimits());
        const MutexLock connectionLock { connection->mutex };
        this->recordActivity(*connection);
        {
            const MutexLock lock { this->mutex };
            if (this->connections.size() >= this->maxConnections) {
                continue;
            }
            this->connections.emplace(connection.get(), connection);
        }
        connection->watchId = this->reactor.add(connection->stream.descriptor(), [this, connection](std::uint32_t events) { this->handleEvents(connection, events); });
    }
}

void HttpListener::handleEvents(const ConnectionPointer& connection, std::uint32_t events)
{
    {
        const MutexLock lock { connection->mutex };
        if (connection->isClosed) {
            return;
        }
        PendingCallbacks callbacks;
        if (connection->closing) {
            this->continueClose(connection, callbacks);
            return;
        }
        const bool wasSending = connection->stream.unsentBytes() > 0;
        auto state = connection->stream.flush();
        if (wasSending && connection->stream.unsentBytes() == 0) {
            this->recordActivity(*connection);
        }
        // The input of a caller that sends faster than its requests are answered stays in the socket.
        connection->isReadPaused = connection->exchanges.size() >= maxPipelinedRequests && connection->input.size() >= TcpStream::maxReadBytes && (events & disconnectEvents) == 0;
        // Another body may have taken its turn. The end of a connection is read, so that it is noticed.
        this->setBodyPaused(*connection, !connection->transfer.recordRead(0));
        const bool mayRead = !connection->isReadPaused && (!connection->bodyPausedAt || (events & disconnectEvents) != 0);
        if (state == StreamState::Open && mayRead && (events & (EPOLLIN | disconnectEvents)) != 0) {
            // Small reads on a limited link, so that a large body is noticed before all of it has arrived.
            const auto limit = this->transfers != nullptr ? TransferSchedule::smallBodyBytes : TcpStream::maxReadBytes;
            state = connection->stream.read(connection->input, limit);
            if (state == StreamState::Open && (events & disconnectEvents) != 0) {
                state = connection->stream.read(connection->input, limit);
            }
        }
        if (state == StreamState::Open) {
            this->readRequests(connection, callbacks);
            this->writeResponses(connection, callbacks);
            if (!connection->isClosed && !connection->closing && mayRead && connection->stream.hasUnreadInput()) {
                this->continueReading(connection, events);
            }
        } else if (state == StreamState::Ended && connection->stream.unsentBytes() > 0 && !isWithinResponse(*connection)) {
            // The caller may have ended its sending direction only. If it has closed, sending the rest fails.
            this->cancelRequests(*connection, callbacks);
        } else {
            this->close(*connection, state == StreamState::Ended ? CloseReason::CallerEnded : CloseReason::CallerReset, callbacks);
        }
        this->queueHandlers(*connection, std::move(callbacks));
    }
    connection->handlerCalls.run();
}

void HttpListener::continueReading(const ConnectionPointer& connection, std::uint32_t events)
{
    this->reactor.after(Duration::zero(), [this, connection, events](Instant) { this->handleEvents(connection, events); });
}

HttpRequestId HttpListener::registerRequest(const ConnectionPointer& connection)
{
    const MutexLock lock { this->mutex };
    const HttpRequestId id { ++this->lastRequestId };
    this->requests.emplace(id, connection);
    return id;
}

void HttpListener::readRequests(const ConnectionPointer& connection, PendingCallbacks& callbacks)
{
    if (this->isDraining && !connection->exchanges.empty() && !isWithinResponse(*connection)) {
        // A caller that always has a request in flight would keep the connection open until the process ends. If the head of the
        // response is written, the caller cannot know that it is the last one, so the next response closes the connection.
        connection->closesAfterResponses = true;
    }
    if (connection->closesAfterResponses) {
        // Input after the last request is discarded; the caller retries it on another connection.
        connection->input.clear();
    }
    while (!connection->closesAfterResponses && !connection->input.empty() && connection->exchanges.size() < maxPipelinedRequests) {
        connection->reader.setLimits(this->readLimits());
        const bool wasReading = connection->reader.isWithinMessage();
        const auto progress = connection->reader.read(connection->input);
        shrinkInput(connection->input);
        if ((progress == ReadProgress::Incomplete || progress == ReadProgress::Complete) && !this->reserveBuffer(*connection)) {
            // The request was not passed on, so "not run" is true.
            this->queueErrorResponse(*connection, statusUnavailable);
            return;
        }
        if (progress == ReadProgress::Incomplete) {
            // Later bytes do not count, so that a caller cannot prolong a request without end.
            if (!wasReading) {
                connection->readBegunAt = this->reactor.now();
            }
            this->recordTransfer(connection, callbacks);
            return;
        }
        const auto headReadAt = connection->transfer ? std::optional { connection->headReadAt } : std::nullopt;
        this->endTransfer(*connection);
        if (progress != ReadProgress::Complete) {
            this->queueErrorResponse(*connection, errorStatusOf(progress));
            return;
        }
        auto request = connection->reader.take();
        request.reservation = std::move(connection->reservation);
        request.headReadAt = headReadAt;
        this->recordActivity(*connection);
        connection->closesAfterResponses = !request.keepsAlive || this->isDraining;
        const auto id = this->registerRequest(connection);
        connection->exchanges.push_back({ id });
        callbacks.requests.emplace_back(id, std::move(request));
    }
}

bool HttpListener::reserveBuffer(Connection& connection)
{
    return this->buffers == nullptr || BufferReservation::grow(connection.reservation, *this->buffers, connection.reader.bodyBytes());
}

void HttpListener::queueErrorResponse(Connection& connection, unsigned status)
{
    this->endTransfer(connection);
    connection.exchanges.push_back({ {}, OutgoingResponse { status, {}, {}, true, {} } });
    connection.closesAfterResponses = true;
    connection.input.clear();
}

void HttpListener::appendResponseHead(Connection& connection, OutgoingResponse& response, std::string& out, PendingCallbacks& callbacks)
{
    const bool isOnlyResponse = connection.exchanges.size() == 1;
    const bool isLastResponse = ((connection.closesAfterResponses || this->isDraining) && isOnlyResponse) || response.closesConnection;
    appendStatusLine(out, response.status);
    out.append(response.headerLines);
    if (isLastResponse) {
        appendHeader(out, "Connection", "close");
        connection.closesAfterResponses = true;
        dropLaterRequests(connection, callbacks);
    }
    connection.lastRequestName = std::move(response.requestName);
    this->recordActivity(connection);
}

void HttpListener::writeResponses(const ConnectionPointer& connection, PendingCallbacks& callbacks)
{
    std::string out;
    while (!connection->exchanges.empty()) {
        auto& exchange = connection->exchanges.front();
        if (exchange.piecewise) {
            if (!this->appendPieces(*connection, out, callbacks)) {
                break;
            }
            continue;
        }
        if (!exchange.response) {
            break;
        }
        auto response = std::move(*exchange.response);
        this->appendResponseHead(*connection, response, out, callbacks);
        teaselturn::appendBody(out, response.body, true);
        if (response.reservation) {
            connection->unsentReservations.push_back(std::move(response.reservation));
        }
        connection->exchanges.pop_front();
    }
    if (!out.empty() && connection->stream.write(out) != StreamState::Open) {
        this->close(*connection, CloseReason::CallerReset, callbacks);
        return;
    }
    if (connection->stream.unsentBytes() == 0) {
        connection->unsentReservations.clear();
    }
    if (connection->closesAfterResponses && connection->exchanges.empty() && connection->stream.unsentBytes() == 0) {
        this->beginClose(connection, connection->endReason, callbacks);
    }
    reportRoom(*connection, callbacks);
}

void HttpListener::queueHandlers(Connection& connection, PendingCallbacks callbacks)
{
    if (!callbacks.requests.empty() || !callbacks.disconnected.empty() || !callbacks.writable.empty() || !callbacks.bodies.empty()) {
        connection.handlerCalls.push([this, callbacks = std::move(callbacks)]() mutable { this->invokeHandlers(callbacks); });
    }
}

void HttpListener::invokeHandlers(PendingCallbacks& callbacks)
{
    if (!callbacks.disconnected.empty()) {
        const MutexLock lock { this->mutex };
        for (const auto id : callbacks.disconnected) {
            this->requests.erase(id);
        }
    }
    for (const auto id : callbacks.disconnected) {
        if (this->handlers.disconnected) {
            this->handlers.disconnected(id);
        }
    }
    for (const auto id : callbacks.writable) {
        this->handlers.bodyWritable(id);
    }
    for (const auto& [id, head] : callbacks.bodies) {
        if (this->handlers.bodyBegun) {
            this->handlers.bodyBegun(id, head);
        }
    }
    for (auto& [id, request] : callbacks.requests) {
        this->handlers.request(id, std::move(request));
    }
}

void HttpListener::respond(HttpRequestId id, OutgoingResponse response)
{
    const auto connection = this->takeRequest(id);
    if (!connection) {
        return;
    }
    {
        const MutexLock lock { connection->mutex };
        if (connection->isClosed || connection->closing) {
            return;
        }
        PendingCallbacks callbacks;
        const auto exchange = std::ranges::find(connection->exchanges, id, &Exchange::id);
        if (exchange != connection->exchanges.end()) {
            if (exchange->piecewise && exchange->piecewise->isHeadWritten) {
                exchange->piecewise->isBroken = true;
            } else {
                exchange->piecewise.reset();
                exchange->response = std::move(response);
            }
        }
        this->continueExchanges(connection, callbacks);
        this->queueHandlers(*connection, std::move(callbacks));
    }
    connection->handlerCalls.run();
}

HttpListener::ConnectionPointer HttpListener::takeRequest(HttpRequestId id)
{
    const MutexLock lock { this->mutex };
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
        return nullptr;
    }
    auto connection = std::move(found->second);
    this->requests.erase(found);
    return connection;
}

void HttpListener::continueExchanges(const ConnectionPointer& connection, PendingCallbacks& callbacks)
{
    this->writeResponses(connection, callbacks);
    if (!connection->isClosed && !connection->closing) {
        this->readRequests(connection, callbacks);
        // An error response may have been queued.
        this->writeResponses(connection, callbacks);
    }
    if (!connection->isClosed && !connection->closing) {
        if (std::exchange(connection->isReadPaused, false)) {
            this->continueReading(connection, EPOLLIN);
        }
    }
}

std::size_t HttpListener::openRequests()
{
    std::size_t unsent = 0;
    for (const auto& connection : this->allConnections()) {
        const MutexLock lock { connection->mutex };
        unsent += connection->stream.unsentBytes() > 0 && !isWithinResponse(*connection) ? 1 : 0;
    }
    const MutexLock lock { this->mutex };
    return this->requests.size() + unsent;
}

std::size_t HttpListener::connectionCount()
{
    const MutexLock lock { this->mutex };
    return this->connections.size();
}

}
