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

/// Result of a read or write.
enum class IoStatus : std::uint8_t {
    Ok,
    /// The peer closed its sending direction.
    Closed,
    TimedOut,
    Failed,
};

/// A blocking TCP connection with optional TLS. Deadlines are times of the monotonic clock. Not thread-safe.
class Connection {
public:
    /// Takes ownership of a connected, non-blocking socket.
    /// @param remoteAddress IP address of the peer.
    explicit Connection(int descriptor, std::string remoteAddress = {});
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Opens a connection without sending any data.
    /// @return The connection, or HttpUnreachable.
    static Result<std::unique_ptr<Connection>> connect(const Endpoint& endpoint, Instant deadline);

    /// Begins to open a connection. It must not be used before finishConnect() has succeeded.
    /// @return The connection, or HttpUnreachable.
    static Result<std::unique_ptr<Connection>> beginConnect(const Endpoint& endpoint);
    /// Waits until the connection is open.
    /// @return HttpUnreachable if it is not open by the deadline.
    Status finishConnect(Instant deadline) const;

    /// Runs a TLS handshake as the server. Later reads and writes are encrypted.
    IoStatus acceptTls(ssl_ctx_st& context, Instant deadline);
    /// Runs a TLS handshake as the client. Later reads and writes are encrypted.
    IoStatus connectTls(ssl_ctx_st& context, Instant deadline);
    bool isEncrypted() const noexcept { return this->tls != nullptr; }

    /// Waits until at least one byte is available and reads it.
    /// @param count Receives the number of bytes read.
    IoStatus read(std::span<char> buffer, std::size_t& count, Instant deadline);

    /// Writes all bytes. If it fails, some of them may have been written.
    /// @param progressTimeout Maximum time in which the peer acknowledges nothing.
    IoStatus write(std::string_view bytes, Instant deadline, Duration progressTimeout = Duration::max());

    /// @return A counter that grows whenever bytes may have been sent. If a failed write left it unchanged, that write
    /// sent nothing.
    std::uint64_t sentBytes() const noexcept { return this->sent; }

    /// @return True if received bytes are buffered and have not been returned by read().
    bool hasBufferedInput() const noexcept;

    /// @return True if the connection is open and no bytes have arrived, so that it can carry another request.
    bool isIdle() const noexcept;

    /// Sends the TLS alert that states the end of the connection. Does nothing without TLS, or if a write has failed.
    /// @return False if the socket takes no bytes now. Must be called again then when it does, and nothing else be sent.
    bool sendCloseNotify() noexcept;

    int socketDescriptor() const noexcept { return this->descriptor; }
    std::string_view remoteIp() const noexcept { return this->remoteAddress; }

private:
    struct TlsDeleter {
        void operator()(ssl_st* tls) const noexcept;
    };

    IoStatus wait(short events, Instant deadline) const;
    /// Waits until the socket takes bytes.
    IoStatus waitForProgress(Instant deadline, Duration progressTimeout) const;
    IoStatus receive(std::span<char> buffer, std::size_t& count, Instant deadline);
    IoStatus handshake(ssl_ctx_st& context, bool isServer, Instant deadline);
    IoStatus waitForTls(int result, Instant deadline, Duration progressTimeout = Duration::max()) const;

    int descriptor;
    std::string remoteAddress;
    std::unique_ptr<ssl_st, TlsDeleter> tls;
    std::uint64_t sent {};
    std::string input;
    std::size_t inputBegin {};
};

/// Opens a listening socket on an IP address.
/// @param port Zero lets the system choose a port. Receives the port in use.
/// @return A non-blocking listening socket, or ListenFailed.
Result<int> listenOn(std::string_view address, std::uint16_t& port);

}
