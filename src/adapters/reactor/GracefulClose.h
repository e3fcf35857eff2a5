#pragma once

#include "adapters/reactor/TcpStream.h"
#include "teaselturn/Types.h"

#include <chrono>
#include <cstddef>

namespace teaselturn {

/// Ends a TCP connection without a reset. If a socket is closed while input is unread, or input arrives after it was closed,
/// the kernel resets the connection and drops the bytes that the peer has not received. So only the sending direction ends
/// at first, input is discarded, and the socket stays open until the peer has ended its direction too, or a limit is
/// reached. Not thread-safe.
class GracefulClose {
public:
    /// How long a peer that has acknowledged everything may keep its direction open.
    static constexpr std::chrono::milliseconds peerCloseTimeout { 2'000 };
    /// How long a peer that has not acknowledged everything may go without acknowledging more.
    static constexpr std::chrono::milliseconds progressTimeout { 5'000 };
    /// Input beyond this stays unread, which stops the peer from sending more.
    static constexpr std::size_t maxDiscardedBytes = 16 * 1024 * 1024;
    /// Owners call isExpired() this often.
    static constexpr std::chrono::milliseconds checkInterval { 250 };

    /// Ends the sending direction.
    /// @param descriptor A connected socket whose bytes have all been written. Must stay open for the lifetime of this object.
    GracefulClose(int descriptor, Instant now) noexcept;

    /// Discards input until the socket would block. Must be called after construction and then for each event of the socket.
    /// @return True if the peer has ended its direction or reset the connection, so that the socket may be closed.
    bool discardInput() noexcept;

    /// @return True if a limit is reached. Closing the socket may then reset the connection.
    bool isExpired(Instant now) noexcept;

private:
    int descriptor;
    /// When the peer last acknowledged more bytes.
    Instant lastProgressAt;
    std::size_t unacknowledgedBytes;
    std::size_t discardedBytes {};
};

}
