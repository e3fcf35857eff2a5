#pragma once

#include "adapters/http/CarriedRequests.h"
#include "adapters/http/HttpListener.h"
#include "adapters/http/LinkTransfers.h"
#include "adapters/http/UpstreamConnection.h"
#include "adapters/log/LogRateLimiter.h"
#include "adapters/log/Logger.h"
#include "core/Mutex.h"
#include "core/dispatch/Dispatcher.h"
#include "core/dispatch/RouteIndex.h"
#include "node/gateway/CallerProtocol.h"
#include "node/gateway/GatewayCounters.h"
#include "node/gateway/IdleConnectionPool.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace teaselturn {

/// Forwards callers' requests to upstreams as the dispatcher decides, and returns the responses. Thread-safe: decisions
/// are made under the mutex, and their effects are executed after it is released.
/// @tparam Protocol HTTP conventions of callers and upstreams.
template <CallerProtocol Protocol>
class Gateway {
public:
    /// The references must outlive the gateway. The reactor's workers must end before the gateway is destroyed.
    /// @param bufferBytes Limit of the bytes of requests and responses that are held at once.
    Gateway(Reactor& reactor, Logger& logger, DispatchOptions options, std::size_t bufferBytes = BufferBudget::defaultLimit);
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    Status listen(const Endpoint& endpoint) { return this->listener.listen(endpoint); }

    /// I/O that decisions require. It is executed with no lock held.
    class Effects {
        friend class Gateway;

        struct Response {
            HttpRequestId requestId;
            OutgoingResponse response;
        };
        struct Send {
            std::shared_ptr<UpstreamConnection> connection;
            std::string bytes;
            ResponseBody body {};
        };
        /// A streamed response whose head is passed to the listener.
        struct Begin {
            HttpRequestId requestId;
            OutgoingResponse head;
            std::optional<std::uint64_t> length;
        };
        struct End {
            HttpRequestId requestId;
            std::string lastBytes;
        };
        std::vector<Response> responses;
        std::vector<Send> sends;
        std::vector<Begin> begins;
        std::vector<End> ends;
        /// Connections whose response is held whole though its body could have been streamed.
        std::vector<std::shared_ptr<UpstreamConnection>> connectionsToHold;
        std::vector<std::shared_ptr<UpstreamConnection>> connectionsToClose;
        /// Requests whose attempt failed because no connection could be opened.
        std::vector<PendingRequestId> unsentRequests;
    };

    /// Applies a newer state of the registry.
    /// @param lastCurrentAt Time at which the copy of the registry was last known to be current. Empty if it always is.
    /// @return Effects, which the caller passes to executeEffects() once it holds no lock.
    Effects applyState(const RegistryState& state, std::optional<Instant> lastCurrentAt = std::nullopt);
    void executeEffects(Effects effects);
    void setEntryCount(std::uint32_t count);

    /// @return Load of each key since the previous call.
    std::vector<ServiceKeyLoad> takeKeyLoads();

    /// Leaves more of the link to the registry's feed, or less again.
    void setFeedDelayed(bool isDelayed);

    /// @return True if the last applied state has routes.
    bool hasRoutes();

    /// Sends `Connection: close` with each response from now on; new connections are still accepted.
    void beginDrain() { this->listener.beginDrain(); }
    /// Closes the port, and refuses requests that arrive from now on and may still be in progress when the process ends.
    void stopAccepting(Instant processEnd);
    /// Responds to all open requests, because the process ends. The responses are sent asynchronously.
    void endOpenRequests();
    void closeIdle() { this->listener.closeIdle(); }
    std::size_t openRequests() { return this->listener.openRequests(); }
    /// @return The number of callers' connections; after closeIdle(), those that are not idle.
    std::size_t connectionCount() { return this->listener.connectionCount(); }

    const GatewayCounters& statistics() const noexcept { return this->counters; }
    /// @return The metrics in the Prometheus text format.
    std::string metricsText() const { return this->counters.text(this->listener.statistics(), this->linkTransfers.statistics()); }
    Endpoint localEndpoint() const { return this->listener.localEndpoint(); }

    /// Bytes that one streamed response may occupy: its caller's buffer with a piece beyond its limit, and a piece that is
    /// read from the upstream. They are reserved in the budget before the head is forwarded.
    static constexpr std::size_t transferBytes = HttpListener::maxUnsentBody + 2 * UpstreamConnection::maxPieceBytes;

private:
    /// Why the upstream of a streamed response is not read.
    enum class PauseReason : std::uint8_t {
        /// The listener has not got the head yet.
        Head = 1,
        /// The caller's buffer is full.
        Caller = 2,
        /// Other large bodies have their turn on the link.
        Link = 4,
    };

    /// State of a streamed response.
    struct Transfer {
        /// Bytes received so far, without the status line.
        std::size_t bytes {};
        std::string lastBytes {};
        /// Its turn on the link. None if the link is not limited, or the body may still be small.
        LinkTransfer link {};
        std::optional<std::uint64_t> length {};
        std::size_t bodyBytes {};
        /// The set of PauseReason. The upstream is read when it is empty.
        std::uint8_t pauseReasons {};
        bool isBodyBegun {};

        void pause(PauseReason reason) noexcept { this->pauseReasons |= static_cast<std::uint8_t>(reason); }
        /// @return True if no reason is left and there was one.
        bool unpause(PauseReason reason) noexcept
        {
            const auto bit = static_cast<std::uint8_t>(reason);
            const bool wasSet = (this->pauseReasons & bit) != 0;
            this->pauseReasons &= static_cast<std::uint8_t>(~bit);
            return wasSet && this->pauseReasons == 0;
        }
    };

    struct PendingRequest {
        HttpRequestId requestId;
        ReceivedRequest request;
        CallerRequestInfo info;
        std::shared_ptr<const CompiledRoute> route;
        Instant arrivedAt;
        Instant deadline;
        ConnectionId connection;
        std::uint32_t attempts {};
        /// Name of the upstream of the last attempt, "-" before the first.
        std::string upstream { "-" };
        std::optional<ReceivedResponse> response {};
        std::optional<Transfer> transfer {};
    };

    struct ConnectionState {
        std::shared_ptr<UpstreamConnection> connection;
        UpstreamKey upstream;
        CarriedRequests carried;
        PendingRequestId pendingId;
        Duration idleTime { IdleConnectionPool::defaultIdleTime };
    };

    void handleRequest(HttpRequestId requestId, ReceivedRequest request);
    void handleCallerDisconnect(HttpRequestId requestId);
    void handleResponse(ConnectionId connection, ReceivedResponse response, bool isReusable);
    void handleResponseHead(ConnectionId connection, ReceivedResponse head, std::optional<std::uint64_t> length);
    void handleBody(ConnectionId connection, std::string bytes);
    void handleBodyEnd(ConnectionId connection, std::string bytes, bool isReusable);
    /// Sets the urgency of the large body of a request.
    void handleRequestBody(TransferId transfer, const ReceivedRequest& head);
    /// Removes a reason to pause a streamed response, and reads on from its upstream if none is left.
    void unpauseTransfer(PendingRequestId id, PauseReason reason);
    /// Records body bytes of a streamed response, which takes part in the turns on the link unless it is small.
    /// @return False if it has to wait for its turn.
    bool recordOnLink(PendingRequestId id, PendingRequest& pending, std::size_t bytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void endStalledTransfers();
    void handleConnectionFailure(ConnectionId connection, ConnectionFailure failure);
    void handleConnectionClosed(ConnectionId connection);
    void advance();
    void closeExpiredConnections();

    /// Logs and counts the evacuation orders that changed.
    void recordEvacuations(std::span<const std::string> zones) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// Adds the effects of the decisions and schedules the dispatcher's next deadline.
    void applyDecisions(Instant now, DispatchDecisions& decisions, Effects& effects) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// Counts and logs requests that a limit far under the stated slots held back.
    void reportHeldBack(Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void startAttempt(Instant now, const SendRequest& decision, Effects& effects) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void endAttempt(Instant now, PendingRequestId id, AttemptOutcome outcome, Effects& effects) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// Puts a connection whose response is complete into the pool, or closes it.
    void releaseConnection(Instant now, ConnectionId id, bool isReusable, Effects& effects) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// Tells the dispatcher how much of a streamed response has arrived.
    void recordTransfer(PendingRequestId id, Duration callerDelay) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// @return The request that a connection carries; null if it has ended.
    PendingRequest* findCarried(ConnectionId connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    static ResponseBody expectedBody(const PendingRequest& pending);
    void respond(Instant now, PendingRequestId id, OutgoingResponse response, Effects& effects) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::shared_ptr<UpstreamConnection> openConnection(const SendRequest& decision) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// @return An idle connection to the upstream that has not carried the request's id; null if there is none.
    std::shared_ptr<UpstreamConnection> takeIdleConnection(Instant now, const UpstreamKey& upstream, std::string_view requestId) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void scheduleAdvance(Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string makeUpstreamRequest(const PendingRequest& pending, const UpstreamKey& upstream, Duration timeLeft) const;
    static OutgoingResponse relay(ReceivedResponse received);
    void logOutcome(LogEvent event, const PendingRequest& pending, ResultCode code, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    Reactor& reactor;
    Logger& logger;
    GatewayCounters counters;
    UpstreamConnection::Handlers connectionHandlers;
    /// Destroyed after the messages that it counts.
    BufferBudget buffers;
    /// Destroyed after the transfers that it counts.
    LinkTransfers linkTransfers;

    Mutex mutex;
    LogRateLimiter logRateLimiter ABSL_GUARDED_BY(mutex);
    /// Separate, so that refusals do not crowd these lines out.
    LogRateLimiter heldBackRateLimiter ABSL_GUARDED_BY(mutex);
    Dispatcher dispatcher ABSL_GUARDED_BY(mutex);
    std::shared_ptr<const RouteIndex> routes ABSL_GUARDED_BY(mutex);
    LogIndex routesIndex ABSL_GUARDED_BY(mutex);
    LogIndex upstreamsIndex ABSL_GUARDED_BY(mutex);
    LogIndex evacuationsIndex ABSL_GUARDED_BY(mutex);
    std::vector<std::string> evacuatedZones ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<PendingRequestId, PendingRequest> pendingRequests ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<ConnectionId, ConnectionState> connections ABSL_GUARDED_BY(mutex);
    IdleConnectionPool pool ABSL_GUARDED_BY(mutex);
    absl::flat_hash_set<UpstreamKey> knownUpstreams ABSL_GUARDED_BY(mutex);
    std::uint64_t lastConnectionId ABSL_GUARDED_BY(mutex) {};
    std::optional<Instant> nextAdvanceAt ABSL_GUARDED_BY(mutex);

    HttpListener listener;
};

}

#include "node/gateway/GatewayAttempts.h"
#include "node/gateway/GatewayInlines.h"
#include "node/gateway/GatewayTransfers.h"
