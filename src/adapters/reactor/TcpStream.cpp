#include "adapters/reactor/TcpStream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace teaselturn {

namespace {

    constexpr std::size_t readBytes = 16 * 1024;

}

StreamState TcpStream::read(std::string& target, std::size_t limit)
{
    std::array<char, readBytes> buffer;
    this->stoppedAtLimit = false;
    for (std::size_t total = 0;;) {
        const auto wanted = std::min(buffer.size(), limit - total);
        const auto count = recv(this->socket.number(), buffer.data(), wanted, 0);
        if (count == 0) {
            return StreamState::Ended;
        }
        if (count < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? StreamState::Open : StreamState::Broken;
        }
        target.append(buffer.data(), static_cast<std::size_t>(count));
        // A short read emptied the socket; later bytes or the end of the input cause another event.
        if (static_cast<std::size_t>(count) < wanted) {
            return StreamState::Open;
        }
        total += static_cast<std::size_t>(count);
        if (total >= limit) {
            this->stoppedAtLimit = true;
            return StreamState::Open;
        }
    }
}

bool TcpStream::isReadable() const noexcept
{
    pollfd events { this->socket.number(), POLLIN | POLLRDHUP, 0 };
    return poll(&events, 1, 0) > 0;
}

StreamState TcpStream::write(std::string_view bytes)
{
    if (this->unsentBytes() > 0) {
        if (this->sentBytes > this->unsentBytes()) {
            this->backlog.erase(0, std::exchange(this->sentBytes, 0));
        }
        this->backlog.append(bytes);
        return StreamState::Open;
    }
    const auto count = send(this->socket.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != ENOTCONN) {
        return StreamState::Broken;
    }
    this->backlog.assign(bytes.substr(count < 0 ? 0 : static_cast<std::size_t>(count)));
    this->sentBytes = 0;
    return StreamState::Open;
}

StreamState TcpStream::flush()
{
    while (this->unsentBytes() > 0) {
        const auto count = send(this->socket.number(), this->backlog.data() + this->sentBytes, this->unsentBytes(), MSG_NOSIGNAL);
        if (count < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN ? StreamState::Open : StreamState::Broken;
        }
        this->sentBytes += static_cast<std::size_t>(count);
    }
    this->backlog = {};
    this->sentBytes = 0;
    return StreamState::Open;
}

KernelBuffers kernelBuffers(int descriptor) noexcept
{
    int unread = 0;
    int unacknowledged = 0;
    ioctl(descriptor, SIOCINQ, &unread);
    ioctl(descriptor, SIOCOUTQ, &unacknowledged);
    return { static_cast<std::size_t>(std::max(unread, 0)), static_cast<std::size_t>(std::max(unacknowledged, 0)) };
}

int TcpStream::takeConnectError() const
{
    int error = 0;
    socklen_t length = sizeof error;
    return getsockopt(this->socket.number(), SOL_SOCKET, SO_ERROR, &error, &length) == 0 ? error : errno;
}

void shrinkInput(std::string& input)
{
    if (input.capacity() > readBytes && input.size() < input.capacity() / 2) {
        input.shrink_to_fit();
    }
}

FileDescriptor acceptConnection(const FileDescriptor& listener)
{
    FileDescriptor socket { accept4(listener.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC) };
    if (socket) {
        const int one = 1;
        setsockopt(socket.number(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    return socket;
}

}
