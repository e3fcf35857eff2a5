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

        struct Reply {
            HttpRequestId call;
            OutgoingResponse reply;
        };
        struct Send {
            std::shared_ptr<UpstreamConnection> link;
            std::string bytes;
            bool isHead {};
        };
        std::vector<Reply> replies;
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
        HttpRequestId call;
        ReceivedRequest request;
        CallerRequestInfo facts;
        std::shared_ptr<const CompiledRoute> route;
        Instant arrivedAt;
        ConnectionId link;
        std::uint32_t sends {};
        /// Name of the upstream that it was last sent to.
        std::string upstream { "-" };
        std::optional<ReceivedResponse> answer;
    };

    struct Link {
        std::shared_ptr<UpstreamConnection> link;
        UpstreamKey upstream;
        PendingRequestId exchange;
        Duration idleTime { IdleConnectionPool::assumedIdleTime };
    };

    void takeRequest(HttpRequestId call, ReceivedRequest request);
    void callerLeft(HttpRequestId call);
    void answered(ConnectionId link, ReceivedResponse response, bool isReusable);
    void failed(ConnectionId link, ConnectionFailure failure);
    void closedIdle(ConnectionId link);
    void advance();
    void dropExpiredLinks();

    /// Turns decisions into work.
    void carryOut(Instant now, DispatchDecisions& decisions, Work& work) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void begin(Instant now, const SendRequest& decision, Work& work) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void endAttempt(Instant now, PendingRequestId id, AttemptOutcome outcome, Work& work) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void reply(Instant now, PendingRequestId id, OutgoingResponse reply, Work& work) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::shared_ptr<UpstreamConnection> openLink(const SendRequest& decision) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void scheduleAdvance(Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string upstreamRequest(const Exchange& exchange, const UpstreamKey& upstream, Duration timeLeft) const;
    static OutgoingResponse relay(ReceivedResponse answer);
    void logOutcome(LogEvent event, const Exchange& exchange, ResultCode code, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    Reactor& reactor;
    Logger& logger;
    GatewayCounters counters;
    UpstreamConnection::Handlers linkHandlers;

    Mutex mutex;
    LogLineBudget logBudget ABSL_GUARDED_BY(mutex);
    Dispatcher dispatcher ABSL_GUARDED_BY(mutex);
    std::shared_ptr<const RouteIndex> routes ABSL_GUARDED_BY(mutex);
    LogIndex routesIndex ABSL_GUARDED_BY(mutex);
    LogIndex upstreamsIndex ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<PendingRequestId, Exchange> exchanges ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<ConnectionId, Link> links ABSL_GUARDED_BY(mutex);
    IdleConnectionPool pool ABSL_GUARDED_BY(mutex);
    absl::flat_hash_set<UpstreamKey> knownUpstreams ABSL_GUARDED_BY(mutex);
    std::uint64_t lastLink ABSL_GUARDED_BY(mutex) {};
    std::optional<Instant> advanceDue ABSL_GUARDED_BY(mutex);

    HttpListener listener;
};

}

#include "node/gateway/GatewayInlines.h"
