#include "adapters/http/HttpServer.h"

#include "adapters/clock/SteadyClock.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <climits>
#include <iterator>
#include <linux/filter.h>
#include <netinet/in.h>
#include <openssl/ssl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teaselturn {

namespace {

    constexpr std::uint32_t requestEvents = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    /// Edge-triggered, since input beyond GracefulClose::maxDiscardedBytes stays unread.
    constexpr std::uint32_t closingEvents = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    /// Maximum time between two checks for idle connections.
    constexpr std::chrono::seconds maxPollInterval { 60 };
    /// Maximum requests of one connection that a worker serves before it serves other connections.
    constexpr int maxRequestsPerTurn = 16;

    /// Makes a listening socket drop SYN packets. TCP handshakes that have begun can still complete.
    void dropNewHandshakes(int listener) noexcept
    {
        constexpr std::uint32_t flagsOffset = 13;
        constexpr std::uint32_t synchronize = 0x02;
        constexpr std::uint32_t acknowledge = 0x10;
        constexpr std::uint32_t wholePacket = 0xffff'ffff;
        sock_filter program[] = {
            BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
            BPF_STMT(BPF_ALU | BPF_AND | BPF_K, synchronize | acknowledge),
            BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, synchronize, 0, 1),
            BPF_STMT(BPF_RET | BPF_K, 0),
            BPF_STMT(BPF_RET | BPF_K, wholePacket),
        };
        const sock_fprog filter { static_cast<unsigned short>(std::size(program)), program };
        // If this fails, the listener accepts new connections until it closes.
        static_cast<void>(setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter));
    }

    std::string remoteIp(const sockaddr_storage& address)
    {
        std::array<char, INET6_ADDRSTRLEN> text {};
        const void* source = address.ss_family == AF_INET
            ? static_cast<const void*>(&reinterpret_cast<const sockaddr_in&>(address).sin_addr)
            : static_cast<const void*>(&reinterpret_cast<const sockaddr_in6&>(address).sin6_addr);
        return inet_ntop(address.ss_family, source, text.data(), text.size()) ? std::string { text.data() } : "";
    }

}

void HttpServer::TlsDeleter::operator()(ssl_ctx_st* context) const noexcept
{
    SSL_CTX_free(context);
}

Result<HttpServer::TlsContext> HttpServer::loadTls(const HttpServerSettings& settings)
{
    if (settings.certificateFile.empty() && settings.keyFile.empty()) {
        return TlsContext {};
    }
    TlsContext context { SSL_CTX_new(TLS_server_method()) };
    if (!context || SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION) != 1
        || SSL_CTX_use_certificate_chain_file(context.get(), settings.certificateFile.c_str()) != 1
        || SSL_CTX_use_PrivateKey_file(context.get(), settings.keyFile.c_str(), SSL_FILETYPE_PEM) != 1
        || SSL_CTX_check_private_key(context.get()) != 1) {
        return { ResultCode::TlsInvalid, settings.certificateFile + ", " + settings.keyFile };
    }
    // A retried write passes the remaining bytes, possibly at another address.
    SSL_CTX_set_mode(context.get(), SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER | SSL_MODE_ENABLE_PARTIAL_WRITE);
    return context;
}

HttpServer::HttpServer(HttpServerSettings settings, WorkerPool& workers, HttpHandler handler, TlsContext tls)
    : settings(std::move(settings))
    , workers(workers)
    , handler(std::move(handler))
    , tls(std::move(tls))
{
}

Result<std::unique_ptr<HttpServer>> HttpServer::start(
    HttpServerSettings settings, WorkerPool& workers, HttpHandler handler)
{
    auto tls = loadTls(settings);
    if (!tls) {
        return tls.failure();
    }
    std::unique_ptr<HttpServer> server { new HttpServer {
        std::move(settings), workers, std::move(handler), std::move(tls).value() } };
    if (auto status = server->open(); !status) {
        return status.failure();
    }
    server->thread = std::thread { [raw = server.get()] { raw->run(); } };
    return server;
}

Status HttpServer::open()
{
    this->epollDescriptor = epoll_create1(EPOLL_CLOEXEC);
    this->wakeDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (this->epollDescriptor < 0 || this->wakeDescriptor < 0) {
        return { ResultCode::ListenFailed, std::generic_category().message(errno) };
    }
    this->watch(this->wakeDescriptor, EPOLL_CTL_ADD, EPOLLIN);
    this->listenPort = this->settings.listen.port;
    auto descriptor = listenOn(this->settings.listen.address, this->listenPort);
    if (!descriptor) {
        return descriptor.failure();
    }
    const MutexLock lock { this->mutex };
    this->listener = *descriptor;
    this->isListenerWatched = true;
    this->watch(this->listener, EPOLL_CTL_ADD, EPOLLIN);
    return success();
}

HttpServer::~HttpServer()
{
    if (this->thread.joinable()) {
        this->closesAtOnce = this->hasDrainTimedOut.load();
        static_cast<void>(this->drain(std::chrono::hours { 1 }));
        this->isStopping = true;
        this->wake();
        this->thread.join();
    }
    for (const int descriptor : { this->epollDescriptor, this->wakeDescriptor }) {
        if (descriptor >= 0) {
            ::close(descriptor);
        }
    }
}

bool HttpServer::drain(Duration timeout)
{
    const SteadyClock clock;
    const auto deadline = clock.now() + timeout;
    this->isDraining = true;
    this->wake();
    const MutexLock lock { this->mutex };
    while (this->listener >= 0 || !this->connections.empty()) {
        const auto remaining = deadline - clock.now();
        if (remaining <= Duration::zero()) {
            this->hasDrainTimedOut = true;
            return false;
        }
        this->changed.waitFor(this->mutex, remaining);
    }
    return true;
}

std::size_t HttpServer::connectionCount()
{
    const MutexLock lock { this->mutex };
    return this->connections.size();
}

void HttpServer::watch(int descriptor, int operation, std::uint32_t events) const
{
    epoll_event event {};
    event.events = events;
    event.data.fd = descriptor;
    epoll_ctl(this->epollDescriptor, operation, descriptor, &event);
}

void HttpServer::wake() const
{
    const std::uint64_t one = 1;
    static_cast<void>(!::write(this->wakeDescriptor, &one, sizeof one));
}

void HttpServer::run()
{
    const SteadyClock clock;
    std::array<epoll_event, 256> events {};
    auto nextCheck = clock.now();
    while (!this->isStopping) {
        const auto remaining = std::clamp<Duration>(nextCheck - clock.now(), Duration::zero(), maxPollInterval);
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
        const int count = epoll_wait(
            this->epollDescriptor, events.data(), static_cast<int>(events.size()), static_cast<int>(milliseconds));
        const auto now = clock.now();
        for (int i = 0; i < count; ++i) {
            const int descriptor = events[static_cast<std::size_t>(i)].data.fd;
            if (descriptor == this->wakeDescriptor) {
                std::uint64_t ignored = 0;
                static_cast<void>(!::read(this->wakeDescriptor, &ignored, sizeof ignored));
            } else {
                this->startServing(descriptor);
            }
        }
        if (this->isCloseCheckDue.exchange(false)) {
            nextCheck = std::min<Instant>(nextCheck, now + GracefulClose::checkInterval);
        }
        // Connections are closed first, since the listener may wait for one to become free.
        if (now >= nextCheck || this->isDraining) {
            nextCheck = this->closeDue(now);
        }
        this->accept(now);
        this->submitWaiting();
        if (this->listenerCloseAt && *this->listenerCloseAt > now) {
            nextCheck = std::min(nextCheck, *this->listenerCloseAt);
        }
    }
}

void HttpServer::accept(Instant now)
{
    const MutexLock lock { this->mutex };
    if (this->isDraining && this->listener >= 0 && !this->listenerCloseAt) {
        dropNewHandshakes(this->listener);
        this->listenerCloseAt = now + this->settings.drainHandshakePeriod;
    }
    bool isOutOfDescriptors = false;
    while (this->listener >= 0 && this->connections.size() < this->settings.maxConnections) {
        sockaddr_storage address {};
        socklen_t length = sizeof address;
        const int descriptor = ::accept4(
            this->listener, reinterpret_cast<sockaddr*>(&address), &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            isOutOfDescriptors = errno != EAGAIN && errno != EWOULDBLOCK && errno != ECONNABORTED && errno != EINTR;
            break;
        }
        auto& entry = this->connections[descriptor];
        entry.connection = std::make_unique<Connection>(descriptor, remoteIp(address));
        entry.idleSince = now;
        this->watch(descriptor, EPOLL_CTL_ADD, requestEvents);
    }
    if (this->listener < 0) {
        return;
    }
    // epoll is level-triggered for the listener: watching it while no connection can be accepted would make the thread
    // spin.
    const bool isAtCapacity = isOutOfDescriptors || this->connections.size() >= this->settings.maxConnections;
    if (isAtCapacity == this->isListenerWatched) {
        this->isListenerWatched = !isAtCapacity;
        this->watch(this->listener, EPOLL_CTL_MOD, isAtCapacity ? 0U : static_cast<std::uint32_t>(EPOLLIN));
    }
    // Closing the listener resets established connections that were not accepted. None is left after the handshake
    // period.
    if (this->listenerCloseAt && now >= *this->listenerCloseAt && !isAtCapacity) {
        this->closeListener();
    }
}

void HttpServer::closeListener()
{
    ::close(this->listener);
    this->listener = -1;
    this->changed.notifyAll();
}

void HttpServer::startServing(int descriptor)
{
    // Destroyed after the lock is released.
    std::unique_ptr<Connection> closed;
    const MutexLock lock { this->mutex };
    const auto entry = this->connections.find(descriptor);
    if (entry == this->connections.end()) {
        return;
    }
    if (entry->second.closeBegunAt) {
        if (this->continueClose(descriptor, entry->second, SteadyClock {}.now())) {
            closed = std::move(entry->second.connection);
            this->connections.erase(entry);
            this->changed.notifyAll();
        }
    } else if (!entry->second.isBeingServed) {
        entry->second.isBeingServed = true;
        this->readyConnections.push_back(descriptor);
    }
}

void HttpServer::submitWaiting()
{
    const MutexLock lock { this->mutex };
    while (!this->readyConnections.empty()) {
        const int descriptor = this->readyConnections.front();
        auto& connection = *this->connections.at(descriptor).connection;
        if (!this->workers.submit([this, descriptor, &connection] { this->serve(descriptor, connection); })) {
            // Retried when a worker finishes.
            break;
        }
        this->readyConnections.pop_front();
    }
}

void HttpServer::serve(int descriptor, Connection& connection)
{
    this->finishServing(descriptor, this->serveRequests(connection));
}

bool HttpServer::serveRequests(Connection& connection)
{
    const SteadyClock clock;
    if (this->tls && !connection.isEncrypted()) {
        if (connection.acceptTls(*this->tls, clock.now() + this->settings.transferTimeout) != IoStatus::Ok) {
            return false;
        }
        if (!connection.hasBufferedInput()) {
            return true;
        }
    }
    const WriteTimeouts writeTimeouts { this->settings.transferTimeout, this->settings.maxResponseTime };
    auto codec = this->borrowCodec();
    bool canKeep = true;
    for (int i = 0; canKeep && (i == 0 || (i < maxRequestsPerTurn && connection.hasBufferedInput())); ++i) {
        canKeep = codec->serve(
            connection, this->handler, clock.now() + this->settings.transferTimeout, writeTimeouts);
    }
    this->returnCodec(std::move(codec));
    return canKeep;
}

void HttpServer::finishServing(int descriptor, bool canKeep)
{
    const auto now = SteadyClock {}.now();
    // Destroyed after the lock is released.
    std::unique_ptr<Connection> closed;
    bool isClosing = false;
    const MutexLock lock { this->mutex };
    auto& entry = this->connections.at(descriptor);
    if (!canKeep) {
        if (this->beginClose(descriptor, entry, LateInput::Discard, now)) {
            closed = std::move(entry.connection);
            this->connections.erase(descriptor);
            this->changed.notifyAll();
        } else {
            isClosing = true;
            this->isCloseCheckDue = true;
        }
    } else if (entry.connection->hasBufferedInput()) {
        this->readyConnections.push_back(descriptor);
    } else {
        entry.isBeingServed = false;
        entry.idleSince = now;
        this->watch(descriptor, EPOLL_CTL_MOD, requestEvents);
    }
    if (!this->readyConnections.empty() || !this->isListenerWatched || this->isDraining || isClosing) {
        this->wake();
    }
}

bool HttpServer::beginClose(int descriptor, Entry& entry, LateInput lateInput, Instant now)
{
    entry.lateInput = lateInput;
    entry.closeBegunAt = now;
    const bool isClosed = this->continueClose(descriptor, entry, now);
    this->watch(descriptor, EPOLL_CTL_MOD, closingEvents);
    return isClosed;
}

bool HttpServer::continueClose(int descriptor, Entry& entry, Instant now)
{
    if (!entry.closing) {
        if (!entry.connection->sendCloseNotify()) {
            return false;
        }
        entry.closing.emplace(descriptor, now, entry.lateInput);
    }
    const auto peer = entry.closing->checkPeer();
    if (peer == GracefulClose::PeerState::Sending) {
        // Causes another event, so that a fast sender does not occupy the thread.
        this->watch(descriptor, EPOLL_CTL_MOD, closingEvents);
    }
    return peer == GracefulClose::PeerState::Ended || peer == GracefulClose::PeerState::Reset;
}

bool HttpServer::isCloseExpired(int descriptor, Entry& entry, Instant now)
{
    if (entry.closing) {
        return entry.closing->isExpired(now);
    }
    if (now - *entry.closeBegunAt >= GracefulClose::progressTimeout) {
        // The response may still arrive whole, only without close_notify.
        entry.closing.emplace(descriptor, now, entry.lateInput);
    }
    return false;
}

Instant HttpServer::closeDue(Instant now)
{
    if (this->isDraining && this->drainSince == Instant {}) {
        this->drainSince = now;
    }
    const auto idleTime = this->isDraining ? this->settings.drainIdleTimeout : this->settings.idleTime;
    auto next = now + std::min<Duration>(idleTime, maxPollInterval);
    std::vector<std::unique_ptr<Connection>> closed;
    {
        const MutexLock lock { this->mutex };
        for (auto entry = this->connections.begin(); entry != this->connections.end();) {
            auto& [descriptor, state] = *entry;
            const auto due = std::max(state.idleSince, this->drainSince) + idleTime;
            const bool isIdle = !state.closeBegunAt && !state.isBeingServed && due <= now && state.connection->isIdle();
            if ((isIdle && this->beginClose(descriptor, state, LateInput::LeaveUnread, now)) || (state.closeBegunAt && (this->closesAtOnce || this->isCloseExpired(descriptor, state, now)))) {
                if (state.closing) {
                    state.closing->prepareClose();
                }
                closed.push_back(std::move(state.connection));
                entry = this->connections.erase(entry);
                continue;
            }
            if (state.closeBegunAt) {
                next = std::min<Instant>(next, now + GracefulClose::checkInterval);
            } else if (!state.isBeingServed) {
                next = std::min(next, std::max<Instant>(due, now + std::chrono::milliseconds { 1 }));
            }
            ++entry;
        }
        if (!closed.empty()) {
            this->changed.notifyAll();
        }
    }
    return next;
}

std::unique_ptr<ServerCodec> HttpServer::borrowCodec()
{
    {
        const MutexLock lock { this->mutex };
        if (!this->codecs.empty()) {
            auto codec = std::move(this->codecs.back());
            this->codecs.pop_back();
            return codec;
        }
    }
    return std::make_unique<ServerCodec>(this->settings.limits, [this] { return this->isDraining.load(); });
}

void HttpServer::returnCodec(std::unique_ptr<ServerCodec> codec)
{
    const MutexLock lock { this->mutex };
    this->codecs.push_back(std::move(codec));
}

}
