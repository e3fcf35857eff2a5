#pragma once

#include "adapters/http/UpstreamConnection.h"
#include "teaselturn/Registry.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace teaselturn {

/// Idle connections to upstreams. The most recently used one is reused first, so that few stay in use.
/// Not thread-safe.
class IdleConnectionPool {
public:
    /// Connections are not reused this shortly before the upstream closes them: a request sent at that moment would be
    /// lost. For short idle times the margin is limited to maxMarginFraction of the idle time.
    static constexpr std::chrono::milliseconds closeMargin { 700 };
    static constexpr double maxMarginFraction = 0.3;
    /// Idle time of an upstream that sends no Keep-Alive timeout.
    static constexpr std::chrono::milliseconds defaultIdleTime { 5'000 };
    /// Maximum number of idle connections per upstream, enforced by takeExpired().
    static constexpr std::size_t maxIdle = 8;

    /// Removes and returns the most recently used connection for which mayUse is true. Returns null if there is none or
    /// the upstream is about to close it (see closeMargin).
    std::shared_ptr<UpstreamConnection> take(const UpstreamKey& upstream, Instant now, const std::function<bool(ConnectionId)>& mayUse);

    /// @param idleTime How long the upstream keeps the connection open.
    void put(const UpstreamKey& upstream, std::shared_ptr<UpstreamConnection> connection, Instant now, Duration idleTime);

    /// Removes a connection that the upstream closed.
    void remove(const UpstreamKey& upstream, ConnectionId connection);

    /// Removes and returns connections that expired, exceed maxIdle or belong to an upstream for which isKept is false.
    /// The caller closes them with no lock held.
    std::vector<std::shared_ptr<UpstreamConnection>> takeExpired(Instant now, const std::function<bool(const UpstreamKey&)>& isKept);

private:
    struct IdleConnection {
        std::shared_ptr<UpstreamConnection> connection;
        Instant usableUntil;
    };

    absl::flat_hash_map<UpstreamKey, std::vector<IdleConnection>> idle;
};

}
