#pragma once

#include "adapters/peer/Socket.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace teaselturn {

/// State of a connection after a read or write.
enum class StreamState : std::uint8_t {
    Open,
    /// The peer closed its sending direction; everything sent before has been read.
    Ended,
    /// The connection was reset, timed out or refused.
    Broken,
};

/// Bytes of a connection that the kernel holds.
struct KernelBuffers {
    /// Received and not read. Closing the socket then resets the connection.
    std::size_t unread {};
    /// Written and not acknowledged by the peer. A reset drops them.
    std::size_t unacknowledged {};
};

/// @return What the kernel holds for a connected socket.
KernelBuffers kernelBuffers(int descriptor) noexcept;

/// A non-blocking TCP connection with a buffer of unsent bytes. Not thread-safe.
class TcpStream {
public:
    explicit TcpStream(FileDescriptor socket)
        : socket(std::move(socket))
    {
    }

    /// Maximum bytes of one read().
    static constexpr std::size_t maxReadBytes = 256 * 1024;

    /// Reads until the socket would block, but at most limit bytes, and appends the bytes to the target.
    StreamState read(std::string& target, std::size_t limit = maxReadBytes);
    /// @return True if the last read() stopped at its limit. No event tells of the bytes that are left, so the caller
    /// must call it again.
    bool hasUnreadInput() const noexcept { return this->stoppedAtLimit; }

    /// @return True if input is waiting in the socket, or the peer or an error has ended the connection.
    bool isReadable() const noexcept;

    /// Writes as many bytes as the socket accepts and buffers the rest for flush(). The memory of the buffer stays below twice
    /// the unsent bytes, also if some are always unsent.
    StreamState write(std::string_view bytes);
    /// Writes buffered bytes.
    StreamState flush();
    std::size_t unsentBytes() const noexcept { return this->backlog.size() - this->sentBytes; }

    /// @return The error with which a pending connect has failed, as in errno; zero if it has not. It is returned once.
    int takeConnectError() const;

    const FileDescriptor& descriptor() const noexcept { return this->socket; }
    void close() noexcept { this->socket = FileDescriptor {}; }

private:
    FileDescriptor socket;
    std::string backlog;
    std::size_t sentBytes {};
    bool stoppedAtLimit {};
};

/// Frees the memory of a large read after its bytes have been consumed, so that idle connections hold no large buffers.
void shrinkInput(std::string& input);

/// Accepts a connection as a non-blocking socket with TCP_NODELAY. TCP_USER_TIMEOUT is not set: it also ends connections
/// whose peer reads all the time, if the window is smaller than a segment.
/// @return The socket, or an empty descriptor if no connection is waiting.
FileDescriptor acceptConnection(const FileDescriptor& listener);

}
