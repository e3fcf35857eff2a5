#pragma once

#include "adapters/clock/SteadyClock.h"
#include "adapters/http/HttpServer.h"
#include "adapters/http/UpstreamConnectionPool.h"
#include "adapters/peer/PeerTransport.h"
#include "adapters/settings/Settings.h"
#include "adapters/threads/WorkerPool.h"
#include "node/EntryNode.h"
#include "node/RequestHandler.h"
#include "node/RequestRecorder.h"
#include "node/RouteDirectory.h"

#include <memory>

namespace teaselturn {

/// The entry role of a process: HTTP front end for callers, replica and lease manager.
class EntryRole {
public:
    using Node = EntryNode<PeerTransport, SteadyClock>;

    /// The references outlive the role.
    EntryRole(const Settings& settings, BootId boot, PeerTransport& transport, BundleCheck check, const SteadyClock& clock, Logger& logger, MetricsRegistry& metrics, Node::BundlesChanged bundlesChanged);

    /// Starts accepting callers' connections.
    /// @return ListenFailed or TlsInvalid.
    Status listen(const HttpSettings& http);

    /// How long callers have to receive the responses of endRequests() before the process exits. Longer than a request
    /// waits before it looks at its route again, 100 ms, and a round trip between regions.
    static constexpr std::chrono::milliseconds deliveryTime { 400 };

    /// Stops accepting callers and waits for requests in flight.
    /// @return False if requests were still in flight after the timeout.
    bool drain(Duration timeout);

    /// Refuses requests that have not been sent, ends attempts in progress, whose requests then end as unknown, and
    /// waits until every connection of a caller is closed or deliveryTime has passed. Requires that drain() was called.
    void endRequests();

    /// @return The number of callers' connections. Requires listen().
    std::size_t callerConnections() { return this->server->connectionCount(); }

    /// Passes the load since the last report to the entry node. A timer calls it every 100 ms.
    void reportLoad();

    /// Closes and removes connections and table entries that were not used for a while. A timer calls it every second.
    void cleanUp(Instant now);

    RequestRecorder& requestRecorder() noexcept { return this->recorder; }
    Node& entryNode() noexcept { return this->node; }
    /// @return The port that callers connect to. Requires listen().
    std::uint16_t callerPort() const { return this->server->port(); }

private:
    using Handler = RequestHandler<RouteDirectory, UpstreamConnectionPool, SteadyClock, RequestRecorder>;

    RouteDirectory routes;
    Node node;
    UpstreamConnectionPool connections;
    LimiterTable<SteadyClock> limiters;
    OutcomeRegistry outcomes;
    RequestRecorder recorder;
    Handler handler;
    std::unique_ptr<WorkerPool> workers;
    std::unique_ptr<HttpServer> server;
};

}
