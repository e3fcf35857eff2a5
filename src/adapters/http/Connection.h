#pragma once

#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

struct ssl_ctx_st;
struct ssl_st;

namespace teaselturn {

/// How reading from or writing to a connection ended.
enum class IoStatus : std::uint8_t {
    Ok,
    /// The other end closed its direction.
    Closed,
    TimedOut,
    Failed,
};

/// A TCP connection with optional TLS. All waits have a deadline on the machine's monotonic clock. Not thread-safe.
class Connection {
public:
    /// Takes over a connected, non-blocking socket.
    /// @param remoteAddress IP number of the other end.
    explicit Connection(int descriptor, std::string remoteAddress = {});
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Connects without sending anything.
    /// @return The connection, or HttpUnreachable; no byte of a request has left in that case.
    static Result<std::unique_ptr<Connection>> connect(const Endpoint& endpoint, Instant deadline);

    /// Does the server's side of a TLS handshake; the connection is encrypted from then on.
    IoStatus acceptTls(ssl_ctx_st& context, Instant deadline);
    /// Does the client's side of a TLS handshake.
    IoStatus connectTls(ssl_ctx_st& context, Instant deadline);
    bool isEncrypted() const noexcept { return this->tls != nullptr; }

    /// Reads at least one byte unless it fails.
    /// @param count Receives the number of bytes read.
    IoStatus read(std::span<char> buffer, std::size_t& count, Instant deadline);

    /// Writes all bytes unless it fails.
    IoStatus write(std::string_view bytes, Instant deadline);

    /// @return A count that grows whenever bytes may have left. Where it did not change during a failed write, nothing
    /// of that write has left.
    std::uint64_t sentBytes() const noexcept { return this->sent; }

    /// @return True where bytes that were received have not been read by the user yet.
    bool hasBufferedInput() const noexcept;

    /// @return True where the connection is open and nothing has arrived on it: fit for another request.
    bool isIdle() const noexcept;

    /// Ends the sending direction and discards what arrives at once, so that an answer just written is not destroyed by
    /// a reset over unread input.
    void finishSending() noexcept;

    int socketDescriptor() const noexcept { return this->descriptor; }
    std::string_view remoteIp() const noexcept { return this->remoteAddress; }

private:
    struct TlsDeleter {
        void operator()(ssl_st* tls) const noexcept;
    };

    IoStatus wait(short events, Instant deadline) const;
    IoStatus receive(std::span<char> buffer, std::size_t& count, Instant deadline);
    IoStatus handshake(ssl_ctx_st& context, bool isServer, Instant deadline);
    IoStatus waitForTls(int result, Instant deadline) const;

    int descriptor;
    std::string remoteAddress;
    std::unique_ptr<ssl_st, TlsDeleter> tls;
    std::uint64_t sent {};
    std::string input;
    std::size_t inputBegin {};
};

/// Listens on an IP number.
/// @param port Zero lets the system choose; receives the port in use.
/// @return A non-blocking listening socket, or ListenFailed.
Result<int> listenOn(std::string_view address, std::uint16_t& port);

}
