#pragma once

#include "adapters/peer/Socket.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>

/// A caller whose kernel buffers little, so that most of a long response waits in the send buffer of the server until the
/// caller reads it.
class SlowCaller {
public:
    /// How a connection ended.
    enum class End {
        Orderly,
        Reset,
        TimedOut,
    };

    explicit SlowCaller(const teaselturn::Endpoint& server)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        constexpr int receiveBufferBytes = 16 * 1'024;
        setsockopt(this->socket.number(), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        const timeval receiveTimeout { 10, 0 };
        setsockopt(this->socket.number(), SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
        const auto address = teaselturn::toSocketAddress(server);
        // Throws, since the assertions of Catch2 are not thread-safe.
        if (!address || connect(this->socket.number(), address->pointer(), address->length) != 0) {
            throw std::runtime_error("no connection to the server");
        }
    }

    /// @return True if the kernel took all bytes.
    bool send(std::string_view bytes) const
    {
        return ::send(this->socket.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    /// Ends the sending direction; the receiving direction stays open.
    void endSending() const { shutdown(this->socket.number(), SHUT_WR); }

    /// Closes the connection.
    void close() { this->socket = teaselturn::FileDescriptor {}; }

    /// Reads once.
    /// @return False if the connection has ended, or nothing arrived for 10 s.
    bool readSome()
    {
        std::array<char, 4'096> buffer {};
        const auto count = recv(this->socket.number(), buffer.data(), buffer.size(), 0);
        if (count > 0) {
            this->received.append(buffer.data(), static_cast<std::size_t>(count));
        } else if (count == 0) {
            this->end = End::Orderly;
        } else {
            this->end = errno == EAGAIN || errno == EWOULDBLOCK ? End::TimedOut : End::Reset;
        }
        return count > 0;
    }

    /// Reads until so many bytes have arrived, or the connection has ended.
    void readAtLeast(std::size_t bytes)
    {
        while (this->received.size() < bytes && this->readSome()) {
        }
    }

    void readToEnd()
    {
        while (this->readSome()) {
        }
    }

    /// @return True if the server ends the connection within this time. Unread input does not count.
    bool isEndedWithin(std::chrono::milliseconds time) const
    {
        pollfd events { this->socket.number(), POLLRDHUP, 0 };
        return poll(&events, 1, static_cast<int>(time.count())) > 0;
    }

    /// Waits for a reset, which recv() does not report behind an orderly end.
    /// @return True if the connection was reset within 10 s.
    bool waitForReset() const
    {
        for (int i = 0; i < 1'000; ++i) {
            int error = 0;
            socklen_t length = sizeof error;
            if (getsockopt(this->socket.number(), SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error != 0) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
        }
        return false;
    }

    /// @return The bytes behind the first head.
    std::string_view receivedBody() const
    {
        constexpr std::string_view headEnd = "\r\n\r\n";
        const auto position = this->received.find(headEnd);
        return position == std::string::npos ? std::string_view {} : std::string_view { this->received }.substr(position + headEnd.size());
    }

    std::string received;
    End end { End::TimedOut };

private:
    teaselturn::FileDescriptor socket;
};
