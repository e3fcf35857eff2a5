#pragma once

#include "adapters/http/HttpCodec.h"
#include "adapters/http/UpstreamAttempt.h"
#include "core/Mutex.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>
#include <vector>

namespace teaselturn {

/// Bounds of the connections to one upstream.
struct ConnectionPoolLimits {
    /// A connection unused for this long is closed.
    Duration idleTime { std::chrono::seconds { 5 } };
    /// New connections to one upstream in a second, after the first burst.
    std::uint32_t newPerSecond { 10 };
    /// Longest time to make a connection.
    Duration connectTime { std::chrono::seconds { 1 } };
    MessageLimits message;
};

/// IdleConnection connections to upstreams. A connection carries one request at a time, and is closed after any result other
/// than a whole answer with the right request id. Models UpstreamClient. Its mutex is ConnectionTable in the lock
/// order.
class UpstreamConnectionPool {
public:
    explicit UpstreamConnectionPool(ConnectionPoolLimits limits = {});

    /// Sends a request once, over a kept or a new connection, and waits for its answer.
    AttemptReport send(const UpstreamAttempt& attempt);

    /// Closes connections that have not been used for the idle time, and forgets upstreams without connections.
    void closeUnused(Instant now);

    /// @return The number of connections to the upstream, in use or kept.
    std::size_t connectionCount(const Endpoint& upstream);

private:
    struct IdleConnection {
        std::unique_ptr<Connection> connection;
        Instant lastUsed;
    };
    struct Upstream {
        std::vector<IdleConnection> idleConnections;
        std::uint32_t open {};
        std::uint32_t waiting {};
        /// New connections that may be connected now, in thousandths.
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
    };

    AcquireStatus acquire(const UpstreamAttempt& attempt, std::unique_ptr<Connection>& connection);
    bool tryReserveNew(Upstream& upstream, const UpstreamAttempt& attempt, Instant now);
    void release(const Endpoint& endpoint, std::unique_ptr<Connection> connection, Instant now);
    Upstream& findOrAdd(const UpstreamAttempt& attempt, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const ConnectionPoolLimits limits;
    Mutex mutex;
    ConditionVariable changed;
    absl::flat_hash_map<Endpoint, std::unique_ptr<Upstream>, EndpointHash> upstreams ABSL_GUARDED_BY(mutex);
};

/// @param requestId Id of the request that was sent.
/// @return The result that an exchange means for its request.
AttemptResult toAttemptResult(const Exchange& exchange, std::string_view requestId);

}
