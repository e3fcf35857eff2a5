#pragma once

#include "adapters/http/Connection.h"
#include "adapters/http/HttpTypes.h"
#include "teaselturn/Types.h"

#include <cstddef>
#include <functional>
#include <memory>

/// HTTP/1.1 messages over a Connection. The HTTP library parses and writes the messages; sockets, timeouts and limits
/// are implemented here.
namespace teaselturn {

/// Limits of one received message.
struct MessageLimits {
    /// Limit for the start line with all headers.
    std::size_t maxHeadBytes { 64 * 1024 };
    std::size_t maxBodyBytes { limits::maxBodyBytes };
};

/// Limits of the time to write one response.
struct WriteTimeouts {
    /// Maximum time in which the peer acknowledges nothing.
    Duration progress;
    /// Maximum time in total, counted from when the handler returned.
    Duration total;
};

/// Reads requests and writes responses for a server. An object serves one request at a time.
class ServerCodec {
public:
    /// @param isDraining Called just before a response is written. If it returns true, the connection closes after that
    /// response.
    ServerCodec(MessageLimits limits, std::function<bool()> isDraining);
    ~ServerCodec();
    ServerCodec(const ServerCodec&) = delete;
    ServerCodec& operator=(const ServerCodec&) = delete;

    /// Serves the next request of a connection. Calls the handler when the complete request has arrived.
    /// @param readDeadline Time by which the complete request must have arrived.
    /// @return True if the connection may be reused for another request.
    bool serve(Connection& connection, const HttpHandler& handler, Instant readDeadline, WriteTimeouts writeTimeouts);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Outcome of an HTTP request for its client.
enum class ExchangeStatus : std::uint8_t {
    /// A complete response with a declared length.
    Complete,
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke after bytes may have been sent and before any byte of a response arrived.
    Broken,
    TimedOut,
    /// The response is truncated, has no declared length, is malformed or is too large.
    Incomplete,
};

/// Result of an HTTP request: its outcome and its response.
struct Exchange {
    ExchangeStatus status {};
    /// True if the connection may carry another request.
    bool canReuse {};
    /// Valid if the status is Complete.
    HttpResponse response;
};

/// Sends a request at most once, without retry, and reads its response.
/// @param deadline Time by which the complete response must have arrived.
Exchange exchange(Connection& connection, const HttpRequest& request, const MessageLimits& limits, Instant deadline);

}
