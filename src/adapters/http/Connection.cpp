#include "adapters/http/Connection.h"

#include "adapters/clock/SteadyClock.h"
#include "adapters/peer/Socket.h"
#include "adapters/reactor/TcpStream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <climits>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teaselturn {

namespace {

    constexpr std::size_t inputBufferBytes = 16 * 1024;
    constexpr int listenBacklog = 1024;
    /// How often a thread that waits to write checks what the peer has acknowledged.
    constexpr std::chrono::milliseconds progressCheckInterval { 100 };

    void setNoDelay(int descriptor) noexcept
    {
        const int on = 1;
        // Without TCP_NODELAY, small responses wait for the peer's delayed acknowledgement.
        static_cast<void>(setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on));
    }

    std::string systemMessage(int error)
    {
        return std::generic_category().message(error);
    }

}

void Connection::TlsDeleter::operator()(ssl_st* tls) const noexcept
{
    SSL_free(tls);
}

Connection::Connection(int descriptor, std::string remoteAddress)
    : descriptor(descriptor)
    , remoteAddress(std::move(remoteAddress))
{
    setNoDelay(descriptor);
}

Connection::~Connection()
{
    this->tls.reset();
    ::close(this->descriptor);
}

Result<std::unique_ptr<Connection>> Connection::connect(const Endpoint& endpoint, Instant deadline)
{
    auto begun = Connection::beginConnect(endpoint);
    if (!begun) {
        return begun;
    }
    if (const auto connected = (*begun)->finishConnect(deadline); !connected) {
        return connected.failure();
    }
    return begun;
}

Result<std::unique_ptr<Connection>> Connection::beginConnect(const Endpoint& endpoint)
{
    const auto address = toSocketAddress(endpoint);
    if (!address) {
        return { ResultCode::HttpUnreachable, address.failure().detail };
    }
    const int descriptor = ::socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return { ResultCode::HttpUnreachable, systemMessage(errno) };
    }
    auto connection = std::make_unique<Connection>(descriptor, endpoint.address);
    if (::connect(descriptor, address->pointer(), address->length) != 0 && errno != EINPROGRESS) {
        return { ResultCode::HttpUnreachable, systemMessage(errno) };
    }
    return connection;
}

Status Connection::finishConnect(Instant deadline) const
{
    if (this->wait(POLLOUT, deadline) == IoStatus::TimedOut) {
        return { ResultCode::HttpUnreachable, "connect timed out" };
    }
    int error = 0;
    socklen_t length = sizeof error;
    if (getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        return { ResultCode::HttpUnreachable, systemMessage(error) };
    }
    return success();
}

IoStatus Connection::wait(short events, Instant deadline) const
{
    while (true) {
        const auto remaining = deadline - SteadyClock {}.now();
        if (remaining <= Duration::zero()) {
            return IoStatus::TimedOut;
        }
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
        pollfd entry { this->descriptor, events, 0 };
        const int ready = ::poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(milliseconds, INT_MAX)));
        if (ready > 0) {
            return IoStatus::Ok;
        }
        if (ready < 0 && errno != EINTR) {
            return IoStatus::Failed;
        }
    }
}

IoStatus Connection::waitForProgress(Instant deadline, Duration progressTimeout) const
{
    if (progressTimeout == Duration::max()) {
        return this->wait(POLLOUT, deadline);
    }
    // The kernel reports the socket as writable only when a third of its buffer is free, which a slow peer reaches late.
    const SteadyClock clock;
    auto unacknowledged = kernelBuffers(this->descriptor).unacknowledged;
    auto progressAt = clock.now();
    while (true) {
        const auto status = this->wait(POLLOUT, std::min<Instant>(deadline, clock.now() + progressCheckInterval));
        const auto now = clock.now();
        if (const auto current = kernelBuffers(this->descriptor).unacknowledged; current < unacknowledged) {
            unacknowledged = current;
            progressAt = now;
        }
        if (status != IoStatus::TimedOut || now >= deadline || now - progressAt >= progressTimeout) {
            return status;
        }
    }
}

IoStatus Connection::acceptTls(ssl_ctx_st& context, Instant deadline)
{
    return this->handshake(context, true, deadline);
}

IoStatus Connection::connectTls(ssl_ctx_st& context, Instant deadline)
{
    return this->handshake(context, false, deadline);
}

IoStatus Connection::handshake(ssl_ctx_st& context, bool isServer, Instant deadline)
{
    this->tls.reset(SSL_new(&context));
    if (!this->tls || SSL_set_fd(this->tls.get(), this->descriptor) != 1) {
        return IoStatus::Failed;
    }
    while (true) {
        ERR_clear_error();
        const int result = isServer ? SSL_accept(this->tls.get()) : SSL_connect(this->tls.get());
        if (result == 1) {
            return IoStatus::Ok;
        }
        if (const auto status = this->waitForTls(result, deadline); status != IoStatus::Ok) {
            return status;
        }
    }
}

IoStatus Connection::waitForTls(int result, Instant deadline, Duration progressTimeout) const
{
    switch (SSL_get_error(this->tls.get(), result)) {
    case SSL_ERROR_WANT_READ:
        return this->wait(POLLIN, deadline);
    case SSL_ERROR_WANT_WRITE:
        return this->waitForProgress(deadline, progressTimeout);
    case SSL_ERROR_ZERO_RETURN:
        return IoStatus::Closed;
    default:
        return IoStatus::Failed;
    }
}

IoStatus Connection::receive(std::span<char> buffer, std::size_t& count, Instant deadline)
{
    while (true) {
        if (this->tls) {
            ERR_clear_error();
            const int result = SSL_read_ex(this->tls.get(), buffer.data(), buffer.size(), &count);
            if (result == 1) {
                return IoStatus::Ok;
            }
            if (const auto status = this->waitForTls(result, deadline); status != IoStatus::Ok) {
                return status;
            }
            continue;
        }
        const auto received = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
        if (received > 0) {
            count = static_cast<std::size_t>(received);
            return IoStatus::Ok;
        }
        if (received == 0) {
            return IoStatus::Closed;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            if (const auto status = this->wait(POLLIN, deadline); status != IoStatus::Ok) {
                return status;
            }
        } else if (errno != EINTR) {
            return IoStatus::Failed;
        }
    }
}

IoStatus Connection::read(std::span<char> buffer, std::size_t& count, Instant deadline)
{
    count = 0;
    if (this->inputBegin == this->input.size()) {
        if (buffer.size() >= inputBufferBytes) {
            return this->receive(buffer, count, deadline);
        }
        this->input.resize(inputBufferBytes);
        this->inputBegin = 0;
        std::size_t received = 0;
        const auto status = this->receive(this->input, received, deadline);
        this->input.resize(received);
        if (status != IoStatus::Ok) {
            return status;
        }
    }
    count = std::min(buffer.size(), this->input.size() - this->inputBegin);
    std::memcpy(buffer.data(), this->input.data() + this->inputBegin, count);
    this->inputBegin += count;
    return IoStatus::Ok;
}

IoStatus Connection::write(std::string_view bytes, Instant deadline, Duration progressTimeout)
{
    if (this->tls && !bytes.empty()) {
        // A failed TLS write does not report how much of its record was sent, so every attempt counts as sent.
        ++this->sent;
    }
    while (!bytes.empty()) {
        std::size_t written = 0;
        if (this->tls) {
            ERR_clear_error();
            const int result = SSL_write_ex(this->tls.get(), bytes.data(), bytes.size(), &written);
            if (result != 1) {
                if (const auto status = this->waitForTls(result, deadline, progressTimeout); status != IoStatus::Ok) {
                    return status;
                }
                continue;
            }
        } else {
            const auto sentNow = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sentNow < 0) {
                if (errno == EAGAIN || errno == EWOULDBLOCK) {
                    if (const auto status = this->waitForProgress(deadline, progressTimeout); status != IoStatus::Ok) {
                        return status;
                    }
                } else if (errno != EINTR) {
                    return IoStatus::Failed;
                }
                continue;
            }
            written = static_cast<std::size_t>(sentNow);
        }
        this->sent += written;
        bytes.remove_prefix(written);
    }
    return IoStatus::Ok;
}

bool Connection::hasBufferedInput() const noexcept
{
    return this->inputBegin < this->input.size() || (this->tls && SSL_pending(this->tls.get()) > 0);
}

bool Connection::isIdle() const noexcept
{
    if (this->hasBufferedInput()) {
        return false;
    }
    char byte = 0;
    return ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool Connection::sendCloseNotify() noexcept
{
    if (!this->tls) {
        return true;
    }
    ERR_clear_error();
    const int result = SSL_shutdown(this->tls.get());
    return result >= 0 || SSL_get_error(this->tls.get(), result) != SSL_ERROR_WANT_WRITE;
}

Result<int> listenOn(std::string_view address, std::uint16_t& port)
{
    const auto found = toSocketAddress({ std::string { address }, port });
    if (!found) {
        return { ResultCode::ListenFailed, found.failure().detail };
    }
    auto parsed = *found;
    const int descriptor = ::socket(parsed.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (descriptor < 0 || setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
        || ::bind(descriptor, reinterpret_cast<sockaddr*>(&parsed.storage), parsed.length) != 0
        || ::listen(descriptor, listenBacklog) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr*>(&parsed.storage), &parsed.length) != 0) {
        const int error = errno;
        if (descriptor >= 0) {
            ::close(descriptor);
        }
        return { ResultCode::ListenFailed,
            std::string { address } + ":" + std::to_string(port) + ": " + systemMessage(error) };
    }
    port = ntohs(parsed.storage.ss_family == AF_INET ? reinterpret_cast<sockaddr_in*>(&parsed.storage)->sin_port
                                                     : reinterpret_cast<sockaddr_in6*>(&parsed.storage)->sin6_port);
    return descriptor;
}

}
