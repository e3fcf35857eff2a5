#include "adapters/peer/Socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <system_error>
#include <unistd.h>

namespace teaselturn {

namespace {

    std::string lastError()
    {
        return std::system_category().message(errno);
    }

    void setOption(int fd, int level, int option, int value) noexcept
    {
        // The options only tune the socket; it stays usable if one is not supported.
        static_cast<void>(setsockopt(fd, level, option, &value, sizeof value));
    }

}

FileDescriptor::~FileDescriptor()
{
    if (this->fd >= 0) {
        close(this->fd);
    }
}

Result<SocketAddress> toSocketAddress(const Endpoint& endpoint)
{
    SocketAddress address;
    auto* ipv4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(endpoint.port);
        address.length = sizeof(sockaddr_in);
        return address;
    }
    auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    if (inet_pton(AF_INET6, endpoint.address.c_str(), &ipv6->sin6_addr) == 1) {
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(endpoint.port);
        address.length = sizeof(sockaddr_in6);
        return address;
    }
    return { ResultCode::SettingsInvalidValue, "'" + endpoint.address + "' is not an IP address" };
}

Endpoint boundEndpoint(const FileDescriptor& socket)
{
    SocketAddress address;
    address.length = sizeof address.storage;
    if (getsockname(socket.number(), reinterpret_cast<sockaddr*>(&address.storage), &address.length) != 0) {
        return {};
    }
    char text[INET6_ADDRSTRLEN] {};
    if (address.storage.ss_family == AF_INET) {
        const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(&address.storage);
        return { inet_ntop(AF_INET, &ipv4->sin_addr, text, sizeof text), ntohs(ipv4->sin_port) };
    }
    const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(&address.storage);
    return { inet_ntop(AF_INET6, &ipv6->sin6_addr, text, sizeof text), ntohs(ipv6->sin6_port) };
}

Result<FileDescriptor> openBound(const Endpoint& endpoint, int type)
{
    const auto address = toSocketAddress(endpoint);
    if (!address) {
        return address.failure();
    }
    FileDescriptor socket { ::socket(address->storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) };
    const auto failed = [&endpoint] { return Failure { ResultCode::ListenFailed, endpoint.address + ":" + std::to_string(endpoint.port) + ": " + lastError() }; };
    if (!socket) {
        return failed();
    }
    if (type == SOCK_STREAM) {
        // Allows a restarted process to listen while connections of the previous process still exist.
        setOption(socket.number(), SOL_SOCKET, SO_REUSEADDR, 1);
    } else {
        // Must hold a burst of lease renewals from all entry VMs while the thread is busy.
        setOption(socket.number(), SOL_SOCKET, SO_RCVBUF, 1024 * 1024);
    }
    if (bind(socket.number(), address->pointer(), address->length) != 0) {
        return failed();
    }
    if (type == SOCK_STREAM && listen(socket.number(), SOMAXCONN) != 0) {
        return failed();
    }
    return socket;
}

Result<FileDescriptor> startConnect(const SocketAddress& address, std::chrono::milliseconds userTimeout, const TransitLimits& transit)
{
    FileDescriptor socket { ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) };
    if (!socket) {
        return { ResultCode::PeerUnreachable, lastError() };
    }
    setOption(socket.number(), IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket.number(), IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(userTimeout.count()));
    limitTransit(socket, transit);
    if (connect(socket.number(), address.pointer(), address.length) != 0 && errno != EINPROGRESS) {
        const auto code = errno == ECONNREFUSED ? ResultCode::RequestConnectionRefused : ResultCode::PeerUnreachable;
        return { code, lastError() };
    }
    return socket;
}

void limitTransit(const FileDescriptor& socket, const TransitLimits& transit) noexcept
{
    if (transit.windowBytes == 0) {
        return;
    }
    setOption(socket.number(), SOL_SOCKET, SO_SNDBUF, static_cast<int>(transit.windowBytes));
    // A buffer of a stated size is not grown by the kernel, and bounds the window.
    setOption(socket.number(), SOL_SOCKET, SO_RCVBUF, static_cast<int>(transit.initialBytes));
}

void widenReceiveWindow(const FileDescriptor& socket, const TransitLimits& transit) noexcept
{
    if (transit.windowBytes > transit.initialBytes) {
        setOption(socket.number(), SOL_SOCKET, SO_RCVBUF, static_cast<int>(transit.windowBytes));
        setOption(socket.number(), IPPROTO_TCP, TCP_WINDOW_CLAMP, static_cast<int>(transit.windowBytes));
    }
}

}
