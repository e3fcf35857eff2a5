#pragma once

#include "adapters/http/LinkTransfers.h"
#include "adapters/http/ListenerCounters.h"
#include "adapters/http/MessageReader.h"
#include "adapters/log/LogRateLimiter.h"
#include "adapters/log/Logger.h"
#include "adapters/reactor/GracefulClose.h"
#include "adapters/reactor/HandlerQueue.h"
#include "adapters/reactor/Reactor.h"
#include "adapters/reactor/TcpStream.h"
#include "core/Mutex.h"
#include "teaselturn/Registry.h"
#include "teaselturn/Result.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teaselturn {

/// A response to a caller. The listener adds the framing headers when it writes the response.
struct OutgoingResponse {
    unsigned status { 200 };
    /// Header lines, each ending in CRLF.
    std::string headerLines;
    std::string body;
    bool closesConnection {};
    /// Names the request in log lines. May be empty.
    std::string requestName;
    /// Reservation of the body's bytes; null if they are not counted.
    std::shared_ptr<BufferReservation> reservation;
};

/// Whether a listener takes more of the body of a response.
enum class BodyFlow : std::uint8_t {
    Open,
    /// The caller has not received enough yet. The handler bodyWritable is called once it has.
    Full,
    /// The request has ended.
    Ended,
};

/// Identifies a request. Ids are unique within a process.
using HttpRequestId = StrongId<struct HttpRequestIdTag, std::uint64_t>;

/// HTTP/1.1 server on a reactor. A request that waits for its response occupies no thread. Pipelined requests are
/// passed to the handler as they arrive, and their responses are written in order. Thread-safe. Handlers are called
/// without locks held; those of one connection are called one at a time and in the order of its events, so that a
/// disconnect is reported after its request.
class HttpListener {
public:
    /// Called with a complete request. Any thread may call respond() for it later.
    using RequestHandler = std::function<void(HttpRequestId id, ReceivedRequest request)>;
    /// Called if the caller disconnected before the response to its request.
    using DisconnectHandler = std::function<void(HttpRequestId id)>;

    struct Handlers {
        RequestHandler request;
        DisconnectHandler disconnected;
        /// Called after appendBody() returned Full, when there is room for more.
        std::function<void(HttpRequestId id)> bodyWritable {};
        /// Called with the head of a request whose large body shares the link with others. The owner may set the urgency of the
        /// transfer, which is the least before.
        std::function<void(TransferId transfer, const ReceivedRequest& head)> bodyBegun {};
    };

    /// @param reactor Must outlive the listener.
    HttpListener(Reactor& reactor, Handlers handlers);
    /// Closes every connection.
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// Starts to accept connections.
    /// @return ListenFailed if the endpoint cannot be bound.
    Status listen(const Endpoint& endpoint);
    /// Accepts the connections that callers have opened so far, then closes the port.
    void stopListening();
    /// Sends "Connection: close" with later responses. Idle connections stay open until closeIdle().
    void beginDrain() noexcept { this->isDraining = true; }
    /// Closes connections that have no open request, no partly received one, no unread input and no unsent bytes of a
    /// response.
    void closeIdle();

    /// Sets the limits of the requests. A shorter idle timeout applies to a connection from its next response on, since its
    /// caller counts on the timeout under which the connection became idle.
    void setLimits(const CallerLimits& limits);
    /// Idle connections stay open for so much longer than the idle timeout. Callers count the timeout from the moment at which
    /// they receive a response, and in traces, requests that were sent within it arrived up to 1.2 s after it had passed here.
    static constexpr std::chrono::seconds idleMargin { 2 };
    /// Sets the maximum number of open connections; those beyond it are closed on arrival. Call it before listen().
    /// Each connection holds a descriptor.
    void setMaxConnections(std::size_t count) noexcept { this->maxConnections = count; }
    /// Sets the budget of the requests. Call it before listen(). Without one, only the size of each request is limited.
    /// @param budget Must outlive the requests.
    void setBuffers(BufferBudget& budget) noexcept { this->buffers = &budget; }

    /// Lets the bodies of large requests share a link of limited speed. Call it before listen().
    /// @param target Must outlive the listener.
    void setTransfers(LinkTransfers& target) noexcept { this->transfers = target.isLimited() ? &target : nullptr; }

    /// Logs connections that are cut. Call it before listen(). Without a logger, they are only counted.
    /// @param target Must outlive the listener.
    void setLogger(Logger& target) noexcept { this->logger = &target; }

    /// Sends the response to a request. Does nothing if the request has ended. If a part of another response to it was
    /// written, the connection is closed after that part instead, so that it cannot be taken for a whole response.
    void respond(HttpRequestId id, OutgoingResponse response);

    /// Begins a response whose body follows in pieces. It is written when the earlier requests of its connection have their
    /// responses.
    /// @param head A response without body. Its reservation is kept until the last piece is written.
    /// @param length Length of the body; if empty, the body is sent in chunks, which the caller must accept.
    void beginResponse(HttpRequestId id, OutgoingResponse head, std::optional<std::uint64_t> length);
    /// Adds a piece to the body of a response.
    /// @return Open if more may be added at once. Up to maxUnsentBody bytes and one piece are buffered.
    BodyFlow appendBody(HttpRequestId id, std::string bytes);
    /// Adds the last piece to the body of a response, and ends the response.
    void endBody(HttpRequestId id, std::string bytes);
    /// Bytes of a body from which on appendBody() returns Full.
    static constexpr std::size_t maxUnsentBody = 64 * 1'024;

    /// @return The number of requests without a response, and of connections with unsent bytes of one.
    std::size_t openRequests();
    /// @return The number of open connections. After closeIdle(), those that are not idle: requests are open, arriving or
    /// unread, or the caller may not have received everything.
    std::size_t connectionCount();
    /// @return The number of connections whose sending direction has ended and whose caller has not ended them.
    std::size_t closingConnections() const noexcept { return this->closingCount; }
    /// @return The closing connections without those that were closed for idleness and whose callers have acknowledged
    /// everything. The kernel resets the latter if the process ends, but no byte of a response is lost.
    std::size_t undeliveredConnections();
    /// @return The number of connections on which a request without a response, or a part of one, has arrived, read or not.
    std::size_t receivingConnections();
    /// @return The address that the listener was bound to.
    Endpoint localEndpoint() const
    {
        const MutexLock lock { this->listenerMutex };
        return boundEndpoint(this->listener);
    }
    const ListenerCounters& statistics() const noexcept { return this->counters; }

private:
    /// A response whose body comes in pieces.
    struct PiecewiseResponse {
        OutgoingResponse head;
        std::optional<std::uint64_t> length;
        /// Pieces with their framing that have not been written to the stream.
        std::string unwritten;
        bool isHeadWritten {};
        bool isComplete {};
        bool isBroken {};
        /// appendBody() returned Full.
        bool isWaitingForRoom {};
    };

    struct Exchange {
        HttpRequestId id;
        std::optional<OutgoingResponse> response {};
        std::unique_ptr<PiecewiseResponse> piecewise {};

        bool hasResponse() const noexcept { return this->response || (this->piecewise && this->piecewise->isComplete); }
    };

    struct Connection {
        /// Filled under the mutex, so that its order is that of the events.
        HandlerQueue handlerCalls;
        Mutex mutex;
        TcpStream stream ABSL_GUARDED_BY(mutex);
        std::uint64_t watchId ABSL_GUARDED_BY(mutex) {};
        std::string input ABSL_GUARDED_BY(mutex);
        MessageReader<ReceivedRequest> reader ABSL_GUARDED_BY(mutex);
        /// Reservation of the request that is being read.
        std::shared_ptr<BufferReservation> reservation ABSL_GUARDED_BY(mutex);
        /// Reservations of responses that are not completely sent.
        std::vector<std::shared_ptr<BufferReservation>> unsentReservations ABSL_GUARDED_BY(mutex);
        /// Requests whose responses have not been written, in the order of arrival.
        std::deque<Exchange> exchanges ABSL_GUARDED_BY(mutex);
        Instant lastActiveAt ABSL_GUARDED_BY(mutex);
        /// The idle timeout that was in force then.
        Duration idleTimeout ABSL_GUARDED_BY(mutex) {};
        /// When the first bytes of the request that is being read were read.
        Instant readBegunAt ABSL_GUARDED_BY(mutex);
        /// Bytes of responses that the caller had not acknowledged at the last check.
        std::size_t undeliveredBytes ABSL_GUARDED_BY(mutex) {};
        /// Name of the request whose response was written last.
        std::string lastRequestName ABSL_GUARDED_BY(mutex);
        /// If true, no further request is read and the connection closes after the responses of the open requests.
        bool closesAfterResponses ABSL_GUARDED_BY(mutex) {};
        bool isClosed ABSL_GUARDED_BY(mutex) {};
        /// Set once the sending direction has ended.
        std::optional<GracefulClose> closing ABSL_GUARDED_BY(mutex);
        CloseReason closeReason ABSL_GUARDED_BY(mutex) {};
        /// Input that arrived after the close was reported.
        bool isLateInputReported ABSL_GUARDED_BY(mutex) {};
        /// Why the connection closes after its last response.
        CloseReason endReason ABSL_GUARDED_BY(mutex) { CloseReason::LastResponse };
        /// True while input is left in the socket because the caller sent more requests than may be open.
        bool isReadPaused ABSL_GUARDED_BY(mutex) {};
        /// The large body that is being read.
        LinkTransfer transfer ABSL_GUARDED_BY(mutex);
        Instant headReadAt ABSL_GUARDED_BY(mutex);
        /// Bytes of that body so far.
        std::size_t transferredBytes ABSL_GUARDED_BY(mutex) {};
        /// Set while that body may not be read.
        std::optional<Instant> bodyPausedAt ABSL_GUARDED_BY(mutex);

        Connection(FileDescriptor socket, ReadLimits limits)
            : stream(std::move(socket))
            , reader(limits)
        {
        }
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    /// Arguments of handler calls, collected while a connection's lock is held.
    struct PendingCallbacks {
        std::vector<std::pair<HttpRequestId, ReceivedRequest>> requests;
        std::vector<HttpRequestId> disconnected;
        std::vector<HttpRequestId> writable;
        std::vector<std::pair<TransferId, ReceivedRequest>> bodies;
    };

    void accept() ABSL_EXCLUSIVE_LOCKS_REQUIRED(listenerMutex);
    void handleEvents(const ConnectionPointer& connection, std::uint32_t events);
    /// Handles the events again later.
    void continueReading(const ConnectionPointer& connection, std::uint32_t events);
    void readRequests(const ConnectionPointer& connection, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection->mutex);
    /// Records what was read of a large body, which may pause it.
    void recordTransfer(const ConnectionPointer& connection, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection->mutex);
    /// Pauses reading of a large body, or not.
    void setBodyPaused(Connection& connection, bool isPaused) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    void endTransfer(Connection& connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// Reads on from a paused body.
    void resumeBody(const ConnectionPointer& connection);
    /// @return False if the budget has no room for the request that is being read.
    bool reserveBuffer(Connection& connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    void queueErrorResponse(Connection& connection, unsigned status) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// Appends the status line and headers of the first response.
    void appendResponseHead(Connection& connection, OutgoingResponse& response, std::string& out, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// Appends what there is of the first response, which comes in pieces.
    /// @return True if the response has ended and was removed.
    bool appendPieces(Connection& connection, std::string& out, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// Adds a piece with its framing.
    static void addPiece(PiecewiseResponse& response, std::string bytes);
    /// Ends the requests behind the first one, since its response closes the connection.
    static void dropLaterRequests(Connection& connection, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// @return True if a part of the first response was written and the rest is still to come.
    static bool isWithinResponse(const Connection& connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// Reports the first request as writable if it waits for room and there is some.
    static void reportRoom(Connection& connection, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// Writes responses, then reads requests that waited for them.
    void continueExchanges(const ConnectionPointer& connection, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection->mutex);
    /// @return The connection of a request; null if the request has ended.
    ConnectionPointer findRequest(HttpRequestId id);
    /// @return The same. The request has ended then.
    ConnectionPointer takeRequest(HttpRequestId id);
    void writeResponses(const ConnectionPointer& connection, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection->mutex);
    /// Ends the sending direction of a connection without unsent bytes. It closes when its caller has ended too.
    void beginClose(const ConnectionPointer& connection, CloseReason reason, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection->mutex);
    /// Handles input of a connection whose sending direction has ended, and closes it if its caller has ended too.
    void continueClose(const ConnectionPointer& connection, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection->mutex);
    /// Closes connections whose callers have acknowledged everything and have not ended them, to make room for new ones.
    void closeDelivered();
    /// Closes the socket.
    void close(Connection& connection, CloseReason reason, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// Reports the requests without a response as disconnected.
    void cancelRequests(Connection& connection, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// Reports a connection that is about to be closed while its caller may not have received a whole response.
    void reportIfCut(Connection& connection, CloseReason reason) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// Counts a closing connection on which input has arrived, and logs it if the connection was idle.
    void reportLateInput(Connection& connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// @return The number of lines that the limit of log lines has suppressed; empty if it suppresses this one too.
    std::optional<std::uint64_t> acquireLogLine();
    /// Queues the handler calls. The caller runs them after it has released the connection's lock.
    void queueHandlers(Connection& connection, PendingCallbacks callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    void invokeHandlers(PendingCallbacks& callbacks);
    void closeTimedOut(Instant now);
    /// @return True if the caller has taken too long to send a request or to receive a response.
    static bool isTimedOut(Connection& connection, const CallerLimits& currentLimits, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// Counts a connection as active if its caller has acknowledged more of a response since the last call.
    static void recordDelivery(Connection& connection, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// Restarts the idle timeout of a connection.
    void recordActivity(Connection& connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    /// @return True if a request may have arrived that no worker has read yet.
    static bool hasUnreadInput(const Connection& connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    std::vector<ConnectionPointer> allConnections();
    HttpRequestId registerRequest(const ConnectionPointer& connection);
    ReadLimits readLimits();

    Reactor& reactor;
    Handlers handlers;
    /// Lock order: before a connection's mutex.
    mutable Mutex listenerMutex;
    FileDescriptor listener ABSL_GUARDED_BY(listenerMutex);
    std::uint64_t listenerWatchId ABSL_GUARDED_BY(listenerMutex) {};
    TimerId timeoutTimer;
    std::atomic<bool> isDraining { false };
    /// The default leaves as many descriptors of the smallest VM to connections to upstreams.
    std::size_t maxConnections { 2'000 };
    BufferBudget* buffers {};
    /// Null if the link has no limit.
    LinkTransfers* transfers {};
    Logger* logger {};
    ListenerCounters counters;
    std::atomic<std::size_t> closingCount {};

    /// Lock order: after a connection's mutex.
    Mutex mutex;
    CallerLimits limits ABSL_GUARDED_BY(mutex);
    LogRateLimiter logRateLimiter ABSL_GUARDED_BY(mutex);
    std::uint64_t lastRequestId ABSL_GUARDED_BY(mutex) {};
    absl::flat_hash_map<HttpRequestId, ConnectionPointer> requests ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<Connection*, ConnectionPointer> connections ABSL_GUARDED_BY(mutex);
};

}
