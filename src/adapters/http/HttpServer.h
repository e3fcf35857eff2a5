#pragma once

#include "adapters/http/HttpCodec.h"
#include "adapters/http/HttpTypes.h"
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
    /// Connections beyond this wait in the system's queue.
    std::size_t maxConnections { 4'096 };
    /// A kept connection without a request is closed after this.
    Duration idleTime { std::chrono::seconds { 15 } };
    /// Longest time for a whole request to arrive, and for an answer to be taken.
    Duration transferTime { std::chrono::seconds { 5 } };
    /// While draining, a kept connection without a request is closed after this; before, it may bring one more.
    Duration drainIdleTime { std::chrono::milliseconds { 500 } };
    /// While draining, the listener closes after this, so that handshakes under way can finish: longer than a round trip.
    /// New handshakes get no reply in this time, and are refused when they are tried again.
    Duration drainHandshakeTime { std::chrono::milliseconds { 100 } };
};

/// HTTP/1.1 server. One thread waits in epoll for connections and requests; a request is served on a worker, and a
/// kept connection without a request holds no worker.
class HttpServer {
public:
    /// Listens and starts to serve.
    /// @param workers Runs the handlers; it must outlive the server. A server whose requests may wait for others must
    /// not share its workers with those.
    /// @return The server, or ListenFailed or TlsInvalid.
    static Result<std::unique_ptr<HttpServer>> start(
        HttpServerSettings settings, WorkerPool& workers, HttpHandler handler);

    /// Drains without time limit and stops.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// @return The port that the server listens on.
    std::uint16_t port() const noexcept { return this->listenPort; }

    /// Stops accepting connections, and answers what arrives on the present ones with Connection: close. Returns once
    /// none is left, or when the time is up.
    /// @return True where every connection has ended.
    bool drain(Duration longest);

    /// @return The number of open connections.
    std::size_t connectionCount();

private:
    struct Entry {
        std::unique_ptr<Connection> connection;
        Instant idleSince;
        bool isBeingServed {};
    };
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
    Instant closeIdle(Instant now);
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
    /// Used by the server's own thread only.
    Instant drainSince;
    /// Set when the drain begins. Used by the server's own thread only.
    std::optional<Instant> listenerCloseAt;

    Mutex mutex;
    ConditionVariable changed;
    int listener ABSL_GUARDED_BY(mutex) { -1 };
    bool isListenerWatched ABSL_GUARDED_BY(mutex) {};
    std::unordered_map<int, Entry> connections ABSL_GUARDED_BY(mutex);
    /// Connections with a request for which the pool had no place; bounded by the number of connections.
    std::deque<int> readyConnections ABSL_GUARDED_BY(mutex);
    std::vector<std::unique_ptr<ServerCodec>> codecs ABSL_GUARDED_BY(mutex);
    std::thread thread;
};

}
