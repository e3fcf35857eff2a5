#pragma once

#include "adapters/http/MessageReader.h"
#include "adapters/reactor/HandlerQueue.h"
#include "adapters/reactor/Reactor.h"
#include "adapters/reactor/TcpStream.h"
#include "core/Mutex.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace teaselturn {

/// Identifies a connection to an upstream within a process.
using ConnectionId = StrongId<struct ConnectionIdTag, std::uint64_t>;

/// Why a request got no response.
enum class ConnectionFailure : std::uint8_t {
    /// The connection was not established, or had ended before the request was written, so no byte of the request was sent.
    NotConnected,
    /// The same, because no process listens on the upstream's port.
    Refused,
    /// The connection broke after the request was sent.
    Broken,
    /// The received bytes are not a valid response.
    Malformed,
    /// The response exceeds the process's budget for buffered bytes.
    BufferExhausted,
    /// A body that is taken in pieces stopped arriving.
    Stalled,
};

/// How the body of a response is handed over.
enum class ResponseBody : std::uint8_t {
    /// With its head, when it is complete.
    Whole,
    /// In pieces as it arrives, if the owner decides so by streamBody() once it has seen the head.
    Streamed,
    /// The response has none.
    None,
};

/// A connection to an upstream that carries one request at a time. Thread-safe. Handlers are called without locks held,
/// one at a time and in the order of the connection's events: closedIdle() follows the return of answered().
///
/// A body that is handed over in pieces is read with backpressure: after the head and after each piece, the connection
/// reads nothing more until its owner calls streamBody(), holdBody() or resume(). Bytes that it does not read fill the
/// socket's buffer, which stops the upstream.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    struct Handlers {
        /// Called with the response to the request.
        /// @param isReusable True if the connection can carry another request.
        std::function<void(ConnectionId connection, ReceivedResponse response, bool isReusable)> answered;
        std::function<void(ConnectionId connection, ConnectionFailure failure)> failed;
        /// Called if the connection ended or received bytes while it carried no request. A request that was assigned to the
        /// connection since the last response was not sent.
        std::function<void(ConnectionId connection)> closedIdle;
        /// Called for ResponseBody::Streamed with a head whose body is incomplete and not declared as small. The owner must
        /// call streamBody() or holdBody(). The length is empty if the head does not declare it.
        std::function<void(ConnectionId connection, ReceivedResponse head, std::optional<std::uint64_t> length)> headReceived {};
        /// Called with the next piece of a body. The owner must call resume().
        std::function<void(ConnectionId connection, std::string bytes)> bodyReceived {};
        /// Called with the last piece of a body, which may be empty, in place of answered().
        std::function<void(ConnectionId connection, std::string bytes, bool isReusable)> bodyEnded {};
    };

    /// Starts a non-blocking connect.
    /// @param reactor Must outlive the connection.
    /// @param handlers Must outlive the connection.
    /// @param buffers Budget of the responses. Must outlive them.
    /// @param transit Limits of the bytes in transit. The receive window stays at its initial size while the connection reads
    /// only heads of streamed responses.
    /// @return The connection, or PeerUnreachable.
    static Result<std::shared_ptr<UpstreamConnection>> open(Reactor& reactor, ConnectionId id, const SocketAddress& address, const Handlers& handlers, BufferBudget& buffers, const TransitLimits& transit = {});

    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    /// Sends a request, or stores it until the connection is established. Requires that no request is outstanding.
    void send(std::string_view bytes, ResponseBody body);
    /// Reads the body whose head was reported in pieces.
    void streamBody() { this->continueBody(BodyState::Streaming); }
    /// Reads the body whose head was reported as a whole; answered() reports it.
    void holdBody() { this->continueBody(BodyState::Whole); }
    /// Reads on after a piece of a body.
    void resume();
    /// Ends a body in pieces of which no byte has arrived for stallTimeout, not counting the time in which reading paused.
    void failIfStalled();
    /// @return Time in which reading of the last body paused.
    Duration pausedTime();
    /// Closes the connection. No handler is called for it afterwards.
    void close();

    ConnectionId number() const noexcept { return this->id; }

    /// Maximum time to establish a connection: several round trips between regions.
    static constexpr std::chrono::milliseconds connectTimeout { 400 };
    /// The connection fails if sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT).
    static constexpr std::chrono::milliseconds userTimeout { 1'000 };
    /// Maximum time between two pieces of a body. Upstreams that work on a response pause for less.
    static constexpr std::chrono::milliseconds stallTimeout { 5'000 };
    /// Maximum bytes of a piece of a body, but for what may have to be read at the end of the connection.
    static constexpr std::size_t maxPieceBytes = 64 * 1'024;

private:
    enum class Phase : std::uint8_t {
        Connecting,
        Idle,
        Busy,
        Closed,
    };

    /// What happens to the body of the response.
    enum class BodyState : std::uint8_t {
        Whole,
        /// It may be streamed; the head was not reported yet, or the owner has not decided.
        Undecided,
        Streaming,
    };

    UpstreamConnection(Reactor& reactor, ConnectionId id, FileDescriptor socket, const Handlers& handlers, BufferBudget& buffers, const TransitLimits& transit);

    void startWatching();
    void handleEvents(std::uint32_t events);
    void connectTimedOut();
    // These queue handler calls, which the caller runs after it has released the lock.
    void processEvents(std::uint32_t events) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// Reads what the socket has, up to the limit of the response's body.
    StreamState readInput(std::uint32_t events) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void scheduleRead(std::uint32_t events) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void continueBody(BodyState state);
    void widenWindow() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void pause() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// @return True if reading was paused.
    bool unpause() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void forwardPiece(ReadProgress progress, StreamState state) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void readResponse(StreamState state) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void fail(ConnectionFailure failure) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void closeStream() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    Reactor& reactor;
    const ConnectionId id;
    const Handlers& handlers;
    BufferBudget& buffers;
    const TransitLimits transit;
    /// Filled under the mutex, so that its order is that of the events.
    HandlerQueue handlerCalls;

    Mutex mutex;
    TcpStream stream ABSL_GUARDED_BY(mutex);
    std::uint64_t watchId ABSL_GUARDED_BY(mutex) {};
    TimerId connectTimer ABSL_GUARDED_BY(mutex);
    MessageReader<ReceivedResponse> reader ABSL_GUARDED_BY(mutex);
    std::string input ABSL_GUARDED_BY(mutex);
    /// Reservation of the response that is being read.
    std::shared_ptr<BufferReservation> reservation ABSL_GUARDED_BY(mutex);
    Phase phase ABSL_GUARDED_BY(mutex) { Phase::Connecting };
    bool hasRequest ABSL_GUARDED_BY(mutex) {};
    BodyState bodyState ABSL_GUARDED_BY(mutex) {};
    bool isWindowWide ABSL_GUARDED_BY(mutex) {};
    /// True while the owner has to decide or to make room.
    bool isPaused ABSL_GUARDED_BY(mutex) {};
    /// Events of the socket while reading paused.
    std::uint32_t missedEvents ABSL_GUARDED_BY(mutex) {};
    /// The rest of the request cannot be sent any more, so an end of the input is no orderly one.
    bool isWriteBroken ABSL_GUARDED_BY(mutex) {};
    Instant pausedAt ABSL_GUARDED_BY(mutex);
    Duration pausedDuration ABSL_GUARDED_BY(mutex) {};
    /// When a byte of a body last arrived, or reading last continued.
    Instant lastReadAt ABSL_GUARDED_BY(mutex);
    /// IdleConnection until the connection is established.
    std::string request ABSL_GUARDED_BY(mutex);
};

}
