#pragma once

#include "SlowCaller.h"
#include "adapters/clock/SteadyClock.h"
#include "adapters/http/Connection.h"

#include <array>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <memory>
#include <netinet/in.h>
#include <openssl/ssl.h>
#include <string>
#include <string_view>

/// A SlowCaller that uses TLS.
class SlowTlsCaller {
public:
    using End = SlowCaller::End;

    explicit SlowTlsCaller(const teaselturn::Endpoint& server)
        : context(SSL_CTX_new(TLS_client_method()), SSL_CTX_free)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        constexpr int receiveBufferBytes = 16 * 1'024;
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        const auto address = teaselturn::toSocketAddress(server);
        REQUIRE(address);
        REQUIRE(connect(descriptor, address->pointer(), address->length) == 0);
        REQUIRE(fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK) == 0);
        this->connection = std::make_unique<teaselturn::Connection>(descriptor);
        REQUIRE(this->connection->connectTls(*this->context, soon()) == teaselturn::IoStatus::Ok);
    }

    /// @return True if the kernel took all bytes.
    bool send(std::string_view bytes) const { return this->connection->write(bytes, soon()) == teaselturn::IoStatus::Ok; }

    /// Bounds the send buffer of the server, which has to be in this process. Must be called before a request is sent.
    void limitServerSendBuffer(int bytes) const
    {
        const auto own = addressOf(getsockname, this->connection->socketDescriptor());
        int found = 0;
        for (int descriptor = 0; descriptor < maxDescriptors; ++descriptor) {
            if (const auto peer = addressOf(getpeername, descriptor); peer.sin_family == AF_INET && peer.sin_port == own.sin_port) {
                found += setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes) == 0 ? 1 : 0;
            }
        }
        REQUIRE(found == 1);
    }

    /// Reads once.
    /// @return False if the connection has ended, or nothing arrived for 10 s.
    bool readSome()
    {
        std::array<char, 4'096> buffer {};
        std::size_t count = 0;
        const auto status = this->connection->read(buffer, count, soon());
        this->received.append(buffer.data(), count);
        // An end without close_notify is reported as Failed.
        this->end = status == teaselturn::IoStatus::Closed ? End::Orderly
            : status == teaselturn::IoStatus::TimedOut     ? End::TimedOut
                                                           : End::Reset;
        return status == teaselturn::IoStatus::Ok;
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
    static constexpr int maxDescriptors = 1'024;

    template <typename Query>
    static sockaddr_in addressOf(Query query, int descriptor)
    {
        sockaddr_in address {};
        socklen_t length = sizeof address;
        query(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
        return address;
    }

    static teaselturn::Instant soon() { return teaselturn::SteadyClock {}.now() + std::chrono::seconds { 10 }; }

    std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context;
    std::unique_ptr<teaselturn::Connection> connection;
};
