#pragma once

#include "adapters/http/UpstreamConnection.h"
#include "teaselturn/Registry.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace teaselturn {

/// Connections to upstreams that carry no request at the moment, newest first, so that as few as possible stay in use.
/// Not thread-safe.
class IdleConnectionPool {
public:
    /// Connections are not used again this long before the upstream closes them: a request must not cross the close. Of a
    /// short idle time a share is kept back.
    static constexpr std::chrono::milliseconds closeMargin { 700 };
    static constexpr double largestMarginShare = 0.3;
    /// Idle time assumed where the upstream does not state one.
    static constexpr std::chrono::milliseconds assumedIdleTime { 5'000 };
    /// Idle connections kept for one upstream.
    static constexpr std::size_t maxIdle = 8;

    /// @return A connection that the upstream does not close soon, or null.
    std::shared_ptr<UpstreamConnection> take(const UpstreamKey& upstream, Instant now);

    /// @param idleTime How long the upstream keeps the connection open.
    void put(const UpstreamKey& upstream, std::shared_ptr<UpstreamConnection> connection, Instant now, Duration idleTime);

    /// Forgets a connection that closed.
    void remove(const UpstreamKey& upstream, ConnectionId connection);

    /// @return Connections whose time is over, and those of upstreams that are not kept. They are to be closed without a lock.
    std::vector<std::shared_ptr<UpstreamConnection>> takeExpired(Instant now, const std::function<bool(const UpstreamKey&)>& isKept);

private:
    struct Idle {
        std::shared_ptr<UpstreamConnection> connection;
        Instant usableUntil;
    };

    absl::flat_hash_map<UpstreamKey, std::vector<Idle>> idle;
};

}
