#pragma once

#include "adapters/http/HttpListener.h"
#include "adapters/http/UpstreamConnection.h"
#include "adapters/log/Logger.h"
#include "core/Mutex.h"
#include "core/dispatch/Dispatcher.h"
#include "core/dispatch/RouteIndex.h"
#include "node/gateway/CallerProtocol.h"
#include "node/gateway/GatewayCounters.h"
#include "node/gateway/IdleConnectionPool.h"
#include "node/gateway/LogLineBudget.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teaselturn {

/// The path of requests through an entry VM: from the listener of callers over the dispatcher's decisions to
/// connections of upstreams, and back. Thread-safe; decisions are made under its lock, and what they ask for is done
/// after the lock is released.
/// @tparam Protocol Names and meanings of headers and statuses.
template <CallerProtocol Protocol>
class Gateway {
public:
    /// The references outlive the gateway; the reactor's workers have ended before it does.
    Gateway(Reactor& reactor, Logger& logger, DispatchOptions options);
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    Status listen(const Endpoint& endpoint) { return this->listener.listen(endpoint); }

    /// What follows from decisions, done without a lock.
    class Work {
        friend class Gateway;

        struct Response {
            HttpRequestId requestId;
            OutgoingResponse response;
        };
        struct Send {
            std::shared_ptr<UpstreamConnection> connection;
            std::string bytes;
            bool isHead {};
        };
        std::vector<Response> responses;
        std::vector<Send> sends;
        std::vector<std::shared_ptr<UpstreamConnection>> closings;
        /// Attempts that could not begin.
        std::vector<PendingRequestId> notSent;
    };

    /// Takes over a newer state of the registry.
    /// @return What the caller passes to perform() once it holds no lock.
    Work applyState(const RegistryState& state);
    void perform(Work work);
    void setEntryCount(std::uint32_t count);

    /// @return Load of keys since the last call.
    std::vector<ServiceKeyLoad> takeKeyLoads();

    /// @return True once routes are known.
    bool hasRoutes();

    /// Asks callers to go elsewhere, while everything is still served.
    void beginDrain() { this->listener.beginDrain(); }
    void stopListening() { this->listener.stopListening(); }
    void closeIdle() { this->listener.closeIdle(); }
    std::size_t openRequests() { return this->listener.openRequests(); }

    const GatewayCounters& statistics() const noexcept { return this->counters; }
    Endpoint localEndpoint() const { return this->listener.localEndpoint(); }

private:
    struct Exchange {
        HttpRequestId requestId;
        ReceivedRequest request;
        CallerRequestInfo facts;
        std::shared_ptr<const CompiledRoute> route;
        Instant arrivedAt;
        ConnectionId connection;
        std::uint32_t sends {};
        /// Name of the upstream that it was last sent to.
        std::string upstream { "-" };
        std::optional<ReceivedResponse> response;
    };

    struct ConnectionState {
        std::shared_ptr<UpstreamConnection> connection;
        UpstreamKey upstream;
        PendingRequestId exchange;
        Duration idleTime { IdleConnectionPool::assumedIdleTime };
    };

    void takeRequest(HttpRequestId requestId, ReceivedRequest request);
    void callerLeft(HttpRequestId requestId);
    void answered(ConnectionId connection, ReceivedResponse response, bool isReusable);
    void failed(ConnectionId connection, ConnectionFailure failure);
    void closedIdle(ConnectionId connection);
    void advance();
    void dropExpiredConnections();

    /// Turns decisions into work.
    void carryOut(Instant now, DispatchDecisions& decisions, Work& work) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void begin(Instant now, const SendRequest& decision, Work& work) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void endAttempt(Instant now, PendingRequestId id, AttemptOutcome outcome, Work& work) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void respond(Instant now, PendingRequestId id, OutgoingResponse response, Work& work) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::shared_ptr<UpstreamConnection> openConnection(const SendRequest& decision) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void scheduleAdvance(Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string upstreamRequest(const Exchange& exchange, const UpstreamKey& upstream, Duration timeLeft) const;
    static OutgoingResponse relay(ReceivedResponse received);
    void logOutcome(LogEvent event, const Exchange& exchange, ResultCode code, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    Reactor& reactor;
    Logger& logger;
    GatewayCounters counters;
    UpstreamConnection::Handlers connectionHandlers;

    Mutex mutex;
    LogLineBudget logBudget ABSL_GUARDED_BY(mutex);
    Dispatcher dispatcher ABSL_GUARDED_BY(mutex);
    std::shared_ptr<const RouteIndex> routes ABSL_GUARDED_BY(mutex);
    LogIndex routesIndex ABSL_GUARDED_BY(mutex);
    LogIndex upstreamsIndex ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<PendingRequestId, Exchange> exchanges ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<ConnectionId, ConnectionState> connections ABSL_GUARDED_BY(mutex);
    IdleConnectionPool pool ABSL_GUARDED_BY(mutex);
    absl::flat_hash_set<UpstreamKey> knownUpstreams ABSL_GUARDED_BY(mutex);
    std::uint64_t lastConnection ABSL_GUARDED_BY(mutex) {};
    std::optional<Instant> advanceDue ABSL_GUARDED_BY(mutex);

    HttpListener listener;
};

}

#include "node/gateway/GatewayInlines.h"
