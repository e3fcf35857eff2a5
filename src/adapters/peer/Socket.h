#pragma once

#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <cstdint>
#include <sys/socket.h>
#include <utility>

namespace teaselturn {

/// Owns a file descriptor.
class FileDescriptor {
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int fd) noexcept
        : fd(fd)
    {
    }
    ~FileDescriptor();
    FileDescriptor(FileDescriptor&& other) noexcept
        : fd(std::exchange(other.fd, -1))
    {
    }
    FileDescriptor& operator=(FileDescriptor&& other) noexcept
    {
        std::swap(this->fd, other.fd);
        return *this;
    }

    int number() const noexcept { return this->fd; }
    explicit operator bool() const noexcept { return this->fd >= 0; }

private:
    int fd { -1 };
};

/// An Endpoint as a sockaddr for system calls.
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length {};

    const sockaddr* pointer() const noexcept { return reinterpret_cast<const sockaddr*>(&this->storage); }
};

/// Limits of the bytes that one TCP connection has in transit on a slow link. Zero leaves a limit to the kernel.
struct TransitLimits {
    /// Receive window of a connection that is being read, and limit of its sent bytes without acknowledgement.
    std::size_t windowBytes {};
    /// Receive window of a connection before it may read a large body. The peer can send that much while reading is paused.
    std::size_t initialBytes {};
};

/// @return The address, or SettingsInvalidValue if the endpoint's address is not an IP address.
Result<SocketAddress> toSocketAddress(const Endpoint& endpoint);

/// @return The endpoint that a socket is bound to.
Endpoint boundEndpoint(const FileDescriptor& socket);

/// Opens a non-blocking socket and binds it.
/// @param type SOCK_DGRAM or SOCK_STREAM; a stream socket also listens.
/// @return The socket, or ListenFailed with the address and the system's error message.
Result<FileDescriptor> openBound(const Endpoint& endpoint, int type);

/// Starts a non-blocking TCP connection that fails when sent bytes stay unacknowledged for userTimeout.
/// @return The socket, RequestConnectionRefused if it is known already that no process listens there, or PeerUnreachable.
Result<FileDescriptor> startConnect(const SocketAddress& address, std::chrono::milliseconds userTimeout, const TransitLimits& transit = {});

/// Limits the bytes in transit of a new connection, or of the connections that a listening socket will accept.
void limitTransit(const FileDescriptor& socket, const TransitLimits& transit) noexcept;

/// Widens the receive window of a connection to windowBytes. It is not narrowed again: the kernel would drop bytes that arrive
/// in a window which it has advertised, and it advertises no window at all once the segments of the peer, which may be half
/// as large as the widest window, exceed the narrow one.
void widenReceiveWindow(const FileDescriptor& socket, const TransitLimits& transit) noexcept;

}
