#pragma once

#include "adapters/http/HttpCodec.h"
#include "adapters/http/HttpTypes.h"
#include "adapters/reactor/GracefulClose.h"
#include "adapters/threads/WorkerPool.h"
#include "core/Mutex.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <atomic>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace teaselturn {

/// Settings of an HTTP server.
struct HttpServerSettings {
    Endpoint listen { "127.0.0.1", 0 };
    /// PEM files; both empty for plain HTTP.
    std::string certificateFile;
    std::string keyFile;
    MessageLimits limits;
    /// Further connections wait in the listen backlog of the system.
    std::size_t maxConnections { 4'096 };
    /// An idle persistent connection is closed after this time.
    Duration idleTime { std::chrono::seconds { 15 } };
    /// Maximum time to receive a complete request, and maximum time in which a caller acknowledges nothing of a response.
    Duration transferTimeout { std::chrono::seconds { 5 } };
    /// Maximum time to write a response, which occupies a worker. The largest response of an upstream, 8 MiB, takes 27 s at
    /// 2.5 Mbit/s.
    Duration maxResponseTime { std::chrono::seconds { 30 } };
    /// While draining, an idle connection is closed after this time. It may send one more request before.
    Duration drainIdleTimeout { std::chrono::milliseconds { 500 } };
    /// While draining, the listener closes after this time, so that TCP handshakes that have begun can complete; it is
    /// longer than a round trip. New SYN packets are dropped during this period, and refused when they are
    /// retransmitted.
    Duration drainHandshakePeriod { std::chrono::milliseconds { 100 } };
};

/// HTTP/1.1 server. One thread waits in epoll for connections and requests. Workers serve the requests; an idle
/// persistent connection occupies no worker.
class HttpServer {
public:
    /// Opens the listener and starts to serve requests.
    /// @param workers Pool that runs the handler. Must outlive the server. If requests of one server may wait for
    /// requests of another, the two must not share a pool.
    /// @return The server, or ListenFailed or TlsInvalid.
    static Result<std::unique_ptr<HttpServer>> start(
        HttpServerSettings settings, WorkerPool& workers, HttpHandler handler);

    /// Drains for up to one hour and stops the thread. If a drain has timed out before, it waits for requests only, not for
    /// callers that have not received their responses.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// @return The port that the server listens on.
    std::uint16_t port() const noexcept { return this->listenPort; }

    /// Stops accepting connections and serves further requests on open ones with "Connection: close". Waits until every
    /// connection is closed or the timeout has passed.
    /// @return True if every connection is closed.
    bool drain(Duration timeout);

    /// @return The number of open connections.
    std::size_t connectionCount();

private:
    struct Entry {
        std::unique_ptr<Connection> connection;
        Instant idleSince;
        bool isBeingServed {};
        /// Set once no more responses are sent.
        std::optional<Instant> closeBegunAt;
        /// What happens to input from then on.
        LateInput lateInput { LateInput::Discard };
        /// Set once the sending direction has ended.
        std::optional<GracefulClose> closing;
    };
    using Entries = std::unordered_map<int, Entry>;
    struct TlsDeleter {
        void operator()(ssl_ctx_st* context) const noexcept;
    };
    using TlsContext = std::unique_ptr<ssl_ctx_st, TlsDeleter>;

    HttpServer(HttpServerSettings settings, WorkerPool& workers, HttpHandler handler, TlsContext tls);

    static Result<TlsContext> loadTls(const HttpServerSettings& settings);
    Status open();
    void run();
    void accept(Instant now);
    void startServing(int descriptor);
    void submitWaiting();
    void serve(int descriptor, Connection& connection);
    bool serveRequests(Connection& connection);
    void finishServing(int descriptor, bool canKeep);
    /// Ends the sending direction of a connection, as soon as the socket takes the end of its TLS session.
    /// @return True if its caller has ended too, so that it may be closed.
    bool beginClose(int descriptor, Entry& entry, LateInput lateInput, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// Called for each event of a connection that is being closed.
    /// @return True if its caller has ended too, so that it may be closed.
    bool continueClose(int descriptor, Entry& entry, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// @return True if the close of a connection has reached a limit.
    bool isCloseExpired(int descriptor, Entry& entry, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// Closes connections that are idle or whose close is complete or has reached its limit.
    /// @return When to call it again.
    Instant closeDue(Instant now);
    void closeListener() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void watch(int descriptor, int operation, std::uint32_t events) const;
    void wake() const;
    std::unique_ptr<ServerCodec> borrowCodec();
    void returnCodec(std::unique_ptr<ServerCodec> codec);

    const HttpServerSettings settings;
    WorkerPool& workers;
    const HttpHandler handler;
    const TlsContext tls;
    std::uint16_t listenPort {};
    int epollDescriptor { -1 };
    int wakeDescriptor { -1 };
    std::atomic<bool> isDraining {};
    std::atomic<bool> isStopping {};
    /// Set when a worker has begun to close a connection.
    std::atomic<bool> isCloseCheckDue {};
    std::atomic<bool> hasDrainTimedOut {};
    /// True if connections that only wait for their callers close without waiting.
    std::atomic<bool> closesAtOnce {};
    /// Accessed only by the server's thread.
    Instant drainSince;
    /// Set when the drain begins. Accessed only by the server's thread.
    std::optional<Instant> listenerCloseAt;

    Mutex mutex;
    ConditionVariable changed;
    int listener ABSL_GUARDED_BY(mutex) { -1 };
    bool isListenerWatched ABSL_GUARDED_BY(mutex) {};
    Entries connections ABSL_GUARDED_BY(mutex);
    /// Connections with a request to be submitted to the pool. Bounded by the number of connections.
    std::deque<int> readyConnections ABSL_GUARDED_BY(mutex);
    std::vector<std::unique_ptr<ServerCodec>> codecs ABSL_GUARDED_BY(mutex);
    std::thread thread;
};

}
