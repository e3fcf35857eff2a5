#include "adapters/http/UpstreamConnection.h"

#include <sys/epoll.h>

namespace teaselturn {

namespace {

    constexpr std::size_t disconnectEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    /// Limit for the status line and headers of a response.
    constexpr std::size_t maxResponseHeadBytes = 64 * 1024;
    /// A body of at most this declared length is not streamed: it takes nothing from the budget, and its request can be
    /// repeated if it breaks off.
    constexpr std::uint64_t maxWholeBytes = BufferReservation::uncountedBytes;

}

Result<std::shared_ptr<UpstreamConnection>> UpstreamConnection::open(Reactor& reactor, ConnectionId id, const SocketAddress& address, const Handlers& handlers, BufferBudget& buffers, const TransitLimits& transit)
{
    auto socket = startConnect(address, userTimeout, transit);
    if (!socket) {
        return socket.failure();
    }
    std::shared_ptr<UpstreamConnection> connection { new UpstreamConnection { reactor, id, std::move(*socket), handlers, buffers, transit } };
    connection->startWatching();
    return connection;
}

UpstreamConnection::UpstreamConnection(Reactor& reactor, ConnectionId id, FileDescriptor socket, const Handlers& handlers, BufferBudget& buffers, const TransitLimits& transit)
    : reactor(reactor)
    , id(id)
    , handlers(handlers)
    , buffers(buffers)
    , transit(transit)
    , stream(std::move(socket))
    , reader({ maxResponseHeadBytes, limits::maxBodyBytes })
{
}

UpstreamConnection::~UpstreamConnection()
{
    this->close();
}

void UpstreamConnection::startWatching()
{
    const MutexLock lock { this->mutex };
    this->watchId = this->reactor.add(this->stream.descriptor(), [weak = this->weak_from_this()](std::uint32_t events) {
        if (const auto connection = weak.lock()) {
            connection->handleEvents(events);
        }
    });
    this->connectTimer = this->reactor.after(connectTimeout, [weak = this->weak_from_this()](Instant) {
        if (const auto connection = weak.lock()) {
            connection->connectTimedOut();
        }
    });
}

void UpstreamConnection::send(std::string_view bytes, ResponseBody body)
{
    {
        const MutexLock lock { this->mutex };
        this->hasRequest = true;
        this->bodyState = BodyState::Whole;
        this->pausedDuration = {};
        if (body == ResponseBody::None) {
            this->reader.expectNoBody();
        } else if (body == ResponseBody::Streamed) {
            this->reader.expectPieces();
            this->bodyState = BodyState::Undecided;
        }
        if (body != ResponseBody::Streamed) {
            this->widenWindow();
        }
        if (this->phase == Phase::Connecting) {
            this->request = bytes;
        } else if (this->phase == Phase::Closed || this->stream.isReadable()) {
            // Before the request is written, input can only be the end of the connection, or bytes that belong to no request.
            this->fail(ConnectionFailure::NotConnected);
        } else {
            this->phase = Phase::Busy;
            if (this->stream.write(bytes) != StreamState::Open) {
                this->fail(ConnectionFailure::Broken);
            }
        }
    }
    this->handlerCalls.run();
}

void UpstreamConnection::close()
{
    const MutexLock lock { this->mutex };
    this->hasRequest = false;
    this->closeStream();
}

void UpstreamConnection::closeStream()
{
    if (this->phase == Phase::Connecting) {
        this->reactor.cancel(this->connectTimer);
    }
    if (this->phase != Phase::Closed) {
        this->phase = Phase::Closed;
        this->reactor.remove(this->stream.descriptor(), this->watchId);
        this->stream.close();
    }
}

void UpstreamConnection::connectTimedOut()
{
    {
        const MutexLock lock { this->mutex };
        if (this->phase == Phase::Connecting) {
            this->fail(ConnectionFailure::NotConnected);
        }
    }
    this->handlerCalls.run();
}

void UpstreamConnection::handleEvents(std::uint32_t events)
{
    {
        const MutexLock lock { this->mutex };
        this->processEvents(events);
    }
    this->handlerCalls.run();
}

void UpstreamConnection::processEvents(std::uint32_t events)
{
    if (this->phase == Phase::Closed) {
        return;
    }
    if (this->phase == Phase::Connecting) {
        const auto error = this->stream.takeConnectError();
        if ((events & (EPOLLERR | EPOLLHUP)) != 0 || error != 0) {
            this->fail(error == ECONNREFUSED ? ConnectionFailure::Refused : ConnectionFailure::NotConnected);
            return;
        }
        if ((events & EPOLLOUT) == 0) {
            return;
        }
        this->reactor.cancel(this->connectTimer);
        this->phase = this->hasRequest ? Phase::Busy : Phase::Idle;
        if (this->hasRequest && this->stream.write(std::exchange(this->request, {})) != StreamState::Open) {
            this->fail(ConnectionFailure::Broken);
            return;
        }
    }
    if (this->stream.flush() != StreamState::Open) {
        // The upstream may have responded before it had read the whole request, and then reset the connection.
        this->isWriteBroken = true;
        events |= EPOLLIN;
    }
    if (this->isPaused) {
        this->missedEvents |= events;
        return;
    }
    if ((events & (EPOLLIN | disconnectEvents)) == 0) {
        return;
    }
    const auto state = this->readInput(events);
    this->readResponse(state);
    if (this->phase == Phase::Closed || !this->stream.hasUnreadInput()) {
        return;
    }
    if (this->isPaused) {
        this->missedEvents |= events | EPOLLIN;
    } else {
        // Continues later, so that a fast sender neither fills the memory nor occupies a worker.
        this->scheduleRead(events);
    }
}

StreamState UpstreamConnection::readInput(std::uint32_t events)
{
    auto limit = TcpStream::maxReadBytes;
    if (this->bodyState == BodyState::Undecided) {
        limit = BufferReservation::uncountedBytes;
    } else if (this->bodyState == BodyState::Streaming) {
        limit = maxPieceBytes;
    }
    auto state = this->stream.read(this->input, limit);
    const bool isRestUnread = this->bodyState != BodyState::Whole && this->stream.hasUnreadInput();
    if (state == StreamState::Open && (events & disconnectEvents) != 0 && !isRestUnread) {
        state = this->stream.read(this->input, limit);
    }
    if (this->isWriteBroken && (this->bodyState == BodyState::Whole || state != StreamState::Open || !this->stream.hasUnreadInput())) {
        return StreamState::Broken;
    }
    return state;
}

void UpstreamConnection::scheduleRead(std::uint32_t events)
{
    this->reactor.after(Duration::zero(), [weak = this->weak_from_this(), events](Instant) {
        if (const auto connection = weak.lock()) {
            connection->handleEvents(events);
        }
    });
}

void UpstreamConnection::pause()
{
    this->isPaused = true;
    this->pausedAt = this->reactor.now();
}

bool UpstreamConnection::unpause()
{
    if (!std::exchange(this->isPaused, false) || this->phase == Phase::Closed) {
        return false;
    }
    this->widenWindow();
    this->lastReadAt = this->reactor.now();
    this->pausedDuration += this->lastReadAt - this->pausedAt;
    return true;
}

void UpstreamConnection::continueBody(BodyState state)
{
    const MutexLock lock { this->mutex };
    if (this->unpause()) {
        this->bodyState = state;
        // Some of the body may have arrived with the head.
        this->scheduleRead(std::exchange(this->missedEvents, 0) | EPOLLIN);
    }
}

void UpstreamConnection::widenWindow()
{
    if (this->phase != Phase::Closed && !std::exchange(this->isWindowWide, true)) {
        widenReceiveWindow(this->stream.descriptor(), this->transit);
    }
}

void UpstreamConnection::resume()
{
    const MutexLock lock { this->mutex };
    if (this->unpause() && this->missedEvents != 0) {
        this->scheduleRead(std::exchange(this->missedEvents, 0));
    }
}

void UpstreamConnection::failIfStalled()
{
    {
        const MutexLock lock { this->mutex };
        const bool isReading = this->phase == Phase::Busy && this->bodyState == BodyState::Streaming && !this->isPaused;
        if (isReading && this->reactor.now() - this->lastReadAt > stallTimeout) {
            this->fail(ConnectionFailure::Stalled);
        }
    }
    this->handlerCalls.run();
}

Duration UpstreamConnection::pausedTime()
{
    const MutexLock lock { this->mutex };
    return this->pausedDuration;
}

void UpstreamConnection::forwardPiece(ReadProgress progress, StreamState state)
{
    auto bytes = this->reader.takeBody();
    if (progress == ReadProgress::Complete) {
        const bool isReusable = state == StreamState::Open && this->reader.take().keepsAlive && this->input.empty();
        this->hasRequest = false;
        this->phase = Phase::Idle;
        if (!isReusable) {
            this->closeStream();
        }
        this->handlerCalls.push([this, bytes = std::move(bytes), isReusable]() mutable { this->handlers.bodyEnded(this->id, std::move(bytes), isReusable); });
        return;
    }
    if (!bytes.empty()) {
        this->lastReadAt = this->reactor.now();
        this->pause();
        this->handlerCalls.push([this, bytes = std::move(bytes)]() mutable { this->handlers.bodyReceived(this->id, std::move(bytes)); });
    }
    if (progress != ReadProgress::Incomplete || state != StreamState::Open) {
        this->fail(state == StreamState::Open ? ConnectionFailure::Malformed : ConnectionFailure::Broken);
    }
}

void UpstreamConnection::readResponse(StreamState state)
{
    if (this->phase == Phase::Idle) {
        // Bytes without an outstanding request could be taken for the response to the next one, so the connection is
        // closed.
        if (state != StreamState::Open || !this->input.empty()) {
            this->fail(ConnectionFailure::Malformed);
        }
        return;
    }
    auto progress = this->reader.read(this->input);
    shrinkInput(this->input);
    if (progress == ReadProgress::Incomplete && state == StreamState::Ended) {
        progress = this->reader.readEnd();
    }
    if (this->bodyState == BodyState::Streaming) {
        this->forwardPiece(progress, state);
        return;
    }
    if (progress == ReadProgress::Incomplete) {
        if (state != StreamState::Open) {
            this->fail(ConnectionFailure::Broken);
        } else if (this->bodyState == BodyState::Undecided && this->reader.isHeadComplete()) {
            const auto length = this->reader.declaredLength();
            if (length && *length <= maxWholeBytes) {
                this->bodyState = BodyState::Whole;
                return;
            }
            this->pause();
            this->handlerCalls.push([this, head = this->reader.head(), length]() mutable { this->handlers.headReceived(this->id, std::move(head), length); });
        } else if (this->reader.bodyBytes() > limits::maxBodyBytes) {
            // The reader has no limit for a body that could have been streamed.
            this->fail(ConnectionFailure::Malformed);
        } else if (!BufferReservation::grow(this->reservation, this->buffers, this->reader.bodyBytes() + this->input.size())) {
            this->fail(ConnectionFailure::BufferExhausted);
        }
        return;
    }
    if (progress != ReadProgress::Complete) {
        this->fail(state == StreamState::Open ? ConnectionFailure::Malformed : ConnectionFailure::Broken);
        return;
    }
    if (!BufferReservation::grow(this->reservation, this->buffers, this->reader.bodyBytes())) {
        this->fail(ConnectionFailure::BufferExhausted);
        return;
    }
    auto response = this->reader.take();
    response.reservation = std::move(this->reservation);
    const bool isReusable = state == StreamState::Open && response.keepsAlive && this->input.empty();
    this->hasRequest = false;
    this->phase = Phase::Idle;
    if (!isReusable) {
        this->closeStream();
    }
    this->handlerCalls.push([this, response = std::move(response), isReusable]() mutable { this->handlers.answered(this->id, std::move(response), isReusable); });
}

void UpstreamConnection::fail(ConnectionFailure failure)
{
    this->closeStream();
    if (std::exchange(this->hasRequest, false)) {
        this->handlerCalls.push([this, failure] { this->handlers.failed(this->id, failure); });
    } else {
        this->handlerCalls.push([this] { this->handlers.closedIdle(this->id); });
    }
}

}
