#pragma once

#include "adapters/http/MessageReader.h"
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

/// A response to a caller. Framing headers are added when it is written.
struct OutgoingResponse {
    unsigned status { 200 };
    /// Whole header lines, each with its line end.
    std::string headerLines;
    std::string body;
    bool closesConnection {};
};

/// Identifies a request on its connection. Numbers are not used again within a process.
using HttpRequestId = StrongId<struct HttpRequestIdTag, std::uint64_t>;

/// Serves HTTP/1.1 on a reactor: a waiting request holds its state and no thread. Requests that were pipelined are
/// handed over as they arrive, and their responses are written in order. Thread-safe; handlers are called without locks.
class HttpListener {
public:
    /// Takes a whole request; respond() answers it, from any thread and at any time.
    using RequestHandler = std::function<void(HttpRequestId id, ReceivedRequest request)>;
    /// Tells that a caller left before its request was answered.
    using DisconnectHandler = std::function<void(HttpRequestId id)>;

    struct Handlers {
        RequestHandler request;
        DisconnectHandler disconnected;
    };

    /// @param reactor Outlives the listener.
    HttpListener(Reactor& reactor, Handlers handlers);
    /// Closes every connection.
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// Opens the port.
    /// @return ListenFailed where it cannot be had.
    Status listen(const Endpoint& endpoint);
    /// Takes no more connections.
    void stopListening();
    /// Asks callers, with each response, to leave; idle connections stay open until closeIdle().
    void beginDrain() noexcept { this->isDraining = true; }
    /// Closes connections without a request.
    void closeIdle();

    void setLimits(const CallerLimits& limits);

    /// Answers a request. Requests that have ended are ignored.
    void respond(HttpRequestId id, OutgoingResponse response);

    /// @return Requests that are not answered yet.
    std::size_t openRequests();
    Endpoint localEndpoint() const { return boundEndpoint(this->listener); }

private:
    struct Exchange {
        HttpRequestId id;
        std::optional<OutgoingResponse> response;
    };

    struct Connection {
        Mutex mutex;
        TcpStream stream ABSL_GUARDED_BY(mutex);
        std::uint64_t watchId ABSL_GUARDED_BY(mutex) {};
        std::string input ABSL_GUARDED_BY(mutex);
        MessageReader<ReceivedRequest> reader ABSL_GUARDED_BY(mutex);
        /// Unanswered requests in the order in which they came.
        std::deque<Exchange> exchanges ABSL_GUARDED_BY(mutex);
        Instant lastActiveAt ABSL_GUARDED_BY(mutex);
        /// No further request is read; the connection closes after the last response.
        bool closesAfterResponses ABSL_GUARDED_BY(mutex) {};
        bool isClosed ABSL_GUARDED_BY(mutex) {};

        Connection(FileDescriptor socket, ReadLimits limits)
            : stream(std::move(socket))
            , reader(limits)
        {
        }
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    /// What a pass over a connection found; handed to the handlers once its lock is released.
    struct PendingCallbacks {
        std::vector<std::pair<HttpRequestId, ReceivedRequest>> requests;
        std::vector<HttpRequestId> disconnected;
    };

    void accept();
    void handleEvents(const ConnectionPointer& connection, std::uint32_t events);
    void readRequests(const ConnectionPointer& connection, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection->mutex);
    void queueErrorResponse(Connection& connection, unsigned status) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    void writeResponses(Connection& connection, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    void close(Connection& connection, PendingCallbacks& callbacks) ABSL_EXCLUSIVE_LOCKS_REQUIRED(connection.mutex);
    void invokeHandlers(PendingCallbacks& callbacks);
    void closeTimedOut(Instant now);
    std::vector<ConnectionPointer> allConnections();
    HttpRequestId registerRequest(const ConnectionPointer& connection);
    ReadLimits readLimits();

    Reactor& reactor;
    Handlers handlers;
    FileDescriptor listener;
    std::uint64_t listenerWatchId {};
    TimerId timeoutTimer;
    std::atomic<bool> isDraining { false };

    /// Taken after a connection's lock.
    Mutex mutex;
    CallerLimits limits ABSL_GUARDED_BY(mutex);
    std::uint64_t lastRequestId ABSL_GUARDED_BY(mutex) {};
    absl::flat_hash_map<HttpRequestId, ConnectionPointer> requests ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<Connection*, ConnectionPointer> connections ABSL_GUARDED_BY(mutex);
};

}
