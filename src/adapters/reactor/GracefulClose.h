#pragma once

#include "adapters/reactor/TcpStream.h"
#include "teaselturn/Types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselturn {

/// What happens to input that arrives after the sending direction of a connection has ended. Nothing in it gets a response.
enum class LateInput : std::uint8_t {
    /// It is read, so that a peer that sends before it reads does not block. For connections that end with a response.
    Discard,
    /// It stays in the kernel, and closing the socket resets the connection, so that the peer learns that its request was not
    /// read. For connections that were idle.
    LeaveUnread,
};

/// Ends a TCP connection without a reset that loses sent bytes. If a socket is closed while input is unread, or input arrives
/// after it was closed, the kernel resets the connection and drops the bytes that the peer has not received. So only the
/// sending direction ends at first, and the socket stays open until the peer has ended its direction too, or a limit is
/// reached. Not thread-safe.
class GracefulClose {
public:
    /// How long a peer that has acknowledged everything and sends nothing may keep its direction open.
    static constexpr std::chrono::milliseconds peerCloseTimeout { 2'000 };
    /// How long a peer that has not acknowledged everything may go without acknowledging more.
    static constexpr std::chrono::milliseconds progressTimeout { 15'000 };
    /// How long a close may take in all.
    static constexpr std::chrono::milliseconds totalTimeout { 60'000 };
    /// Input beyond this stays unread, which stops the peer from sending more.
    static constexpr std::size_t maxDiscardedBytes = 16 * 1024 * 1024;
    /// Bytes that one call discards, so that a fast sender does not occupy a thread.
    static constexpr std::size_t maxBytesPerCall = 256 * 1024;
    /// Owners call isExpired() this often.
    static constexpr std::chrono::milliseconds checkInterval { 250 };

    /// What checkPeer() found.
    enum class PeerState : std::uint8_t {
        /// The socket has no more input, or more than may be read.
        Open,
        /// There may be more input; the caller must call again.
        Sending,
        /// The peer has ended its direction, or sent late input that stays unread. Closing the socket loses no sent bytes.
        Ended,
        /// The connection was reset or has failed.
        Reset,
    };

    /// Ends the sending direction.
    /// @param descriptor A connected socket whose bytes have all been written. Must stay open for the lifetime of this object.
    /// @param now Time of the call.
    /// @param lateInput What happens to input from now on.
    GracefulClose(int descriptor, Instant now, LateInput lateInput) noexcept;

    /// Handles input. Must be called after construction and then for each event of the socket.
    /// @return The state of the peer. After Ended and Reset the socket may be closed.
    PeerState checkPeer() noexcept;

    /// Reads late input if the peer has not acknowledged everything, so that closing the socket does not drop sent bytes. Must be
    /// called before the socket is closed at a limit.
    void prepareClose() noexcept;

    /// @return Bytes that arrived after the sending direction had ended.
    std::size_t lateInputBytes() const noexcept;
    /// @return True if late input stays unread.
    bool leavesInputUnread() const noexcept { return this->lateInput == LateInput::LeaveUnread; }
    /// @return When the sending direction ended.
    Instant beganAt() const noexcept { return this->begunAt; }

    /// @return Bytes written before the close that the peer has not acknowledged.
    std::size_t undeliveredBytes() const noexcept;

    /// @return True if a limit is reached. Closing the socket may then reset the connection.
    bool isExpired(Instant now) noexcept;

private:
    PeerState discardInput() noexcept;

    int descriptor;
    LateInput lateInput;
    Instant begunAt;
    /// When the peer last acknowledged or sent more bytes.
    Instant lastProgressAt;
    Instant lastCheckAt;
    /// undeliveredBytes() at the last check.
    std::size_t checkedUndelivered;
    std::size_t discardedBytes {};
    /// discardedBytes at the last check.
    std::size_t checkedBytes {};
};

}
