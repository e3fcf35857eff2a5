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
    /// The connection was never established, so no byte of the request was sent.
    NotConnected,
    /// The connection broke after the request was sent.
    Broken,
    /// The received bytes are not a valid response.
    Malformed,
    /// The response exceeds the process's budget for buffered bytes.
    BufferExhausted,
};

/// A connection to an upstream that carries one request at a time. Thread-safe. Handlers are called without locks held,
/// one at a time and in the order of the connection's events: closedIdle() follows the return of answered().
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
    };

    /// Starts a non-blocking connect.
    /// @param reactor Must outlive the connection.
    /// @param handlers Must outlive the connection.
    /// @param buffers Budget of the responses. Must outlive them.
    /// @return The connection, or PeerUnreachable.
    static Result<std::shared_ptr<UpstreamConnection>> open(Reactor& reactor, ConnectionId id, const SocketAddress& address, const Handlers& handlers, BufferBudget& buffers);

    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    /// Sends a request, or stores it until the connection is established. Requires that no request is outstanding.
    /// @param isHead True for a HEAD request, whose response has no body.
    void send(std::string_view bytes, bool isHead);
    /// Closes the connection. No handler is called for it afterwards.
    void close();

    ConnectionId number() const noexcept { return this->id; }

    /// Maximum time to establish a connection: several round trips between regions.
    static constexpr std::chrono::milliseconds connectTimeout { 400 };
    /// The connection fails if sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT).
    static constexpr std::chrono::milliseconds userTimeout { 1'000 };

private:
    enum class Phase : std::uint8_t {
        Connecting,
        Idle,
        Busy,
        Closed,
    };

    UpstreamConnection(Reactor& reactor, ConnectionId id, FileDescriptor socket, const Handlers& handlers, BufferBudget& buffers);

    void startWatching();
    void handleEvents(std::uint32_t events);
    void connectTimedOut();
    // These queue handler calls, which the caller runs after it has released the lock.
    void processEvents(std::uint32_t events) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void readResponse(StreamState state) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void fail(ConnectionFailure failure) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void closeStream() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    Reactor& reactor;
    const ConnectionId id;
    const Handlers& handlers;
    BufferBudget& buffers;
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
    /// IdleConnection until the connection is established.
    std::string request ABSL_GUARDED_BY(mutex);
};

}
