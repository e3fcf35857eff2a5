#pragma once

#include "adapters/http/Connection.h"
#include "adapters/http/HttpTypes.h"
#include "teaselturn/Types.h"

#include <cstddef>
#include <functional>
#include <memory>

/// HTTP/1.1 messages over a Connection. The HTTP library reads and writes the messages; sockets, waits and limits are
/// teaselturn's.
namespace teaselturn {

/// Limits of one message received from the other end.
struct MessageLimits {
    /// Largest request line with all headers, in bytes.
    std::size_t maxHeadBytes { 64 * 1024 };
    std::size_t maxBodyBytes { limits::maxBodyBytes };
};

/// Server's side: reads requests and writes answers. One object serves one request at a time.
class ServerCodec {
public:
    /// @param isDraining Asked just before an answer is written; true makes it the connection's last one.
    ServerCodec(MessageLimits limits, std::function<bool()> isDraining);
    ~ServerCodec();
    ServerCodec(const ServerCodec&) = delete;
    ServerCodec& operator=(const ServerCodec&) = delete;

    /// Serves the next request of a connection. The handler is called once the whole request has arrived.
    /// @param readDeadline When the whole request must have arrived.
    /// @param writeTime Longest time to write the answer, from when the handler returned.
    /// @return True where the connection may be kept for another request.
    bool serve(Connection& connection, const HttpHandler& handler, Instant readDeadline, Duration writeTime);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// How an exchange of request and answer ended for the client's side.
enum class ExchangeStatus : std::uint8_t {
    /// A whole answer, whose length was stated.
    Complete,
    /// Not a byte of the request has left.
    NotSent,
    /// The connection broke after bytes may have left, before any byte of an answer.
    Broken,
    TimedOut,
    /// The answer ended early, states no length, is malformed or too large.
    Incomplete,
};

/// Result of an exchange.
struct Exchange {
    ExchangeStatus status {};
    /// True where the connection may carry another request.
    bool canReuse {};
    /// Valid where the answer is whole.
    HttpResponse response;
};

/// Client's side: sends a request once and reads its answer. It never sends anything a second time.
/// @param deadline When the whole answer must have arrived.
Exchange exchange(Connection& connection, const HttpRequest& request, const MessageLimits& limits, Instant deadline);

}
