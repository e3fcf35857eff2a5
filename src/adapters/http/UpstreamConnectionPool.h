#pragma once

#include "adapters/http/CarriedRequests.h"
#include "adapters/http/HttpCodec.h"
#include "adapters/http/InterruptibleSockets.h"
#include "adapters/http/UpstreamAttempt.h"
#include "core/Mutex.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>
#include <vector>

namespace teaselturn {

/// Limits of the connections to one upstream.
struct ConnectionPoolLimits {
    /// A connection that was idle for this long is closed.
    Duration idleTime { std::chrono::seconds { 5 } };
    /// Rate limit of new connections to one upstream, after the initial burst.
    std::uint32_t newPerSecond { 10 };
    /// Maximum time to establish a connection.
    Duration connectTimeout { std::chrono::seconds { 1 } };
    MessageLimits message;
};

/// Pool of connections to upstreams. A connection carries one request at a time. It is reused only after a complete
/// response with the request's id, closed otherwise, and never carries two requests with the same id. Models UpstreamClient. Its mutex is ConnectionTable in the
/// lock order.
class UpstreamConnectionPool {
public:
    explicit UpstreamConnectionPool(ConnectionPoolLimits limits = {});

    /// Sends a request at most once, on an idle or a new connection, and waits for its response.
    AttemptReport send(const UpstreamAttempt& attempt);

    /// Ends the connections of all attempts in progress, which then end as if their upstream had closed them, and withdraws
    /// every further attempt. After it has returned, no byte of a request is written.
    void endAttempts();

    /// Closes connections that were idle for the idle time, and removes upstreams without connections.
    void closeUnused(Instant now);

    /// @return The number of connections to the upstream, in use or idle.
    std::size_t connectionCount(const Endpoint& upstream);

private:
    /// A connection with the ids of the requests that it has carried.
    struct PooledConnection {
        std::unique_ptr<Connection> connection;
        CarriedRequests carried;
        Instant lastUsed;
    };
    struct Upstream {
        /// The most recently used one is the last.
        std::vector<PooledConnection> idleConnections;
        std::uint32_t open {};
        std::uint32_t waiting {};
        /// Tokens for new connections, in thousandths of a connection.
        std::int64_t newConnectionTokens {};
        Instant tokensUpdatedAt;
    };
    struct EndpointHash {
        std::size_t operator()(const Endpoint& endpoint) const noexcept
        {
            return std::hash<std::string> {}(endpoint.address) * 31 + endpoint.port;
        }
    };
    enum class AcquireStatus : std::uint8_t {
        Acquired,
        ConnectFailed,
        Limited,
        /// endAttempts() was called.
        Ended,
    };

    static AttemptReport::Kind toReportKind(AcquireStatus status);
    AcquireStatus acquire(const UpstreamAttempt& attempt, PooledConnection& target);
    /// Opens a new connection that tryReserveNew() has counted.
    AcquireStatus connect(const UpstreamAttempt& attempt, PooledConnection& target);
    /// Removes the most recently used connection that may carry the attempt, and those that are no longer usable.
    /// @param closed Receives the connections that are no longer usable. The caller destroys them without a lock.
    /// @return True if one was found.
    bool takeIdle(Upstream& upstream, const UpstreamAttempt& attempt, Instant now, PooledConnection& target, std::vector<PooledConnection>& closed) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool tryReserveNew(Upstream& upstream, const UpstreamAttempt& attempt, Instant now);
    /// @param pooled Without a connection if it was closed.
    void release(const Endpoint& endpoint, PooledConnection pooled, Instant now);
    Upstream& findOrAdd(const UpstreamAttempt& attempt, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const ConnectionPoolLimits limits;
    /// Connections that carry an attempt or are being opened.
    InterruptibleSockets sockets;
    Mutex mutex;
    ConditionVariable changed;
    absl::flat_hash_map<Endpoint, std::unique_ptr<Upstream>, EndpointHash> upstreams ABSL_GUARDED_BY(mutex);
};

/// Maps the outcome of an exchange to the result of the attempt.
/// @param requestId Id of the request that was sent.
AttemptResult toAttemptResult(const Exchange& exchange, std::string_view requestId);

}
