#include "adapters/http/UpstreamConnection.h"

#include <sys/epoll.h>

namespace teaselturn {

namespace {

    constexpr std::size_t disconnectEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    /// Limit for the status line and headers of a response.
    constexpr std::size_t maxResponseHeadBytes = 64 * 1024;

}

Result<std::shared_ptr<UpstreamConnection>> UpstreamConnection::open(Reactor& reactor, ConnectionId id, const SocketAddress& address, const Handlers& handlers)
{
    auto socket = startConnect(address, userTimeout);
    if (!socket) {
        return socket.failure();
    }
    std::shared_ptr<UpstreamConnection> connection { new UpstreamConnection { reactor, id, std::move(*socket), handlers } };
    connection->startWatching();
    return connection;
}

UpstreamConnection::UpstreamConnection(Reactor& reactor, ConnectionId id, FileDescriptor socket, const Handlers& handlers)
    : reactor(reactor)
    , id(id)
    , handlers(handlers)
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

void UpstreamConnection::send(std::string_view bytes, bool isHead)
{
    std::function<void()> next;
    {
        const MutexLock lock { this->mutex };
        this->hasRequest = true;
        if (isHead) {
            this->reader.expectNoBody();
        }
        if (this->phase == Phase::Connecting) {
            this->request = bytes;
        } else if (this->phase == Phase::Closed) {
            next = [this] { this->handlers.failed(this->id, ConnectionFailure::NotConnected); };
        } else {
            this->phase = Phase::Busy;
            if (this->stream.write(bytes) != StreamState::Open) {
                next = this->fail(ConnectionFailure::Broken);
            }
        }
    }
    if (next) {
        next();
    }
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
    std::function<void()> next;
    {
        const MutexLock lock { this->mutex };
        if (this->phase == Phase::Connecting) {
            next = this->fail(ConnectionFailure::NotConnected);
        }
    }
    if (next) {
        next();
    }
}

void UpstreamConnection::handleEvents(std::uint32_t events)
{
    std::function<void()> next;
    {
        const MutexLock lock { this->mutex };
        next = this->processEvents(events);
    }
    if (next) {
        next();
    }
}

std::function<void()> UpstreamConnection::processEvents(std::uint32_t events)
{
    if (this->phase == Phase::Closed) {
        return {};
    }
    if (this->phase == Phase::Connecting) {
        if ((events & (EPOLLERR | EPOLLHUP)) != 0 || !this->stream.isConnected()) {
            return this->fail(ConnectionFailure::NotConnected);
        }
        if ((events & EPOLLOUT) == 0) {
            return {};
        }
        this->reactor.cancel(this->connectTimer);
        this->phase = this->hasRequest ? Phase::Busy : Phase::Idle;
        if (this->hasRequest && this->stream.write(std::exchange(this->request, {})) != StreamState::Open) {
            return this->fail(ConnectionFailure::Broken);
        }
    }
    if (this->stream.flush() != StreamState::Open) {
        return this->fail(ConnectionFailure::Broken);
    }
    if ((events & (EPOLLIN | disconnectEvents)) == 0) {
        return {};
    }
    auto state = this->stream.read(this->input);
    if (state == StreamState::Open && (events & disconnectEvents) != 0) {
        state = this->stream.read(this->input);
    }
    auto next = this->readResponse(state);
    if (this->phase != Phase::Closed && this->stream.hasUnreadInput()) {
        // Continues later, so that a fast sender neither fills the memory nor occupies a worker.
        this->reactor.after(Duration::zero(), [weak = this->weak_from_this(), events](Instant) {
            if (const auto connection = weak.lock()) {
                connection->handleEvents(events);
            }
        });
    }
    return next;
}

std::function<void()> UpstreamConnection::readResponse(StreamState state)
{
    if (this->phase == Phase::Idle) {
        // Bytes without an outstanding request could be taken for the response to the next one, so the connection is
        // closed.
        return state == StreamState::Open && this->input.empty() ? std::function<void()> {} : this->fail(ConnectionFailure::Malformed);
    }
    auto progress = this->reader.read(this->input);
    if (progress == ReadProgress::Incomplete && state == StreamState::Ended) {
        progress = this->reader.readEnd();
    }
    if (progress == ReadProgress::Incomplete) {
        return state == StreamState::Open ? std::function<void()> {} : this->fail(ConnectionFailure::Broken);
    }
    if (progress != ReadProgress::Complete) {
        return this->fail(state == StreamState::Open ? ConnectionFailure::Malformed : ConnectionFailure::Broken);
    }
    auto response = this->reader.take();
    const bool isReusable = state == StreamState::Open && response.keepsAlive && this->input.empty();
    this->hasRequest = false;
    this->phase = Phase::Idle;
    if (!isReusable) {
        this->closeStream();
    }
    return [self = this->shared_from_this(), response = std::move(response), isReusable]() mutable { self->handlers.answered(self->id, std::move(response), isReusable); };
}

std::function<void()> UpstreamConnection::fail(ConnectionFailure failure)
{
    this->closeStream();
    if (std::exchange(this->hasRequest, false)) {
        return [self = this->shared_from_this(), failure] { self->handlers.failed(self->id, failure); };
    }
    return [self = this->shared_from_this()] { self->handlers.closedIdle(self->id); };
}

}
