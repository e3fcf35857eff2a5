#pragma once

#include "adapters/peer/Socket.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace teaselturn {

/// What a read or write found.
enum class StreamState : std::uint8_t {
    Open,
    /// The other end will send nothing more; what came before is complete.
    Ended,
    /// The connection is unusable: reset, timed out, or refused.
    Broken,
};

/// A non-blocking TCP connection with the bytes that wait to be written. Not thread-safe.
class TcpStream {
public:
    explicit TcpStream(FileDescriptor socket)
        : socket(std::move(socket))
    {
    }

    /// Appends what has arrived.
    StreamState read(std::string& target);

    /// Writes as much as the socket takes and keeps the rest.
    StreamState write(std::string_view bytes);
    /// Goes on with what was kept.
    StreamState flush();
    std::size_t unsentBytes() const noexcept { return this->backlog.size() - this->sentBytes; }

    /// @return False where a connection that was being opened failed.
    bool isConnected() const;

    const FileDescriptor& descriptor() const noexcept { return this->socket; }
    void close() noexcept { this->socket = FileDescriptor {}; }

private:
    FileDescriptor socket;
    std::string backlog;
    std::size_t sentBytes {};
};

/// Accepts a connection, non-blocking, without delay of small writes, failing when sentBytes bytes stay unacknowledged for
/// userTimeout.
/// @return The socket; empty where none waits.
FileDescriptor acceptConnection(const FileDescriptor& listener, std::chrono::milliseconds userTimeout);

}
