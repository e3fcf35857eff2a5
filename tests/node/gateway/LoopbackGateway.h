#pragma once

#include "core/registry/RegistryFixture.h"
#include "node/gateway/Gateway.h"
#include "platform/CallerHeaders.h"

#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>
#include <sys/socket.h>

inline std::string callerRequest(const std::string& id, const std::string& path = "/r/x", const std::string& deadline = "2000", const std::string& headerLines = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: host.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + deadline + "\r\n" + headerLines + "\r\n";
}

/// A gateway on loopback with a registry state that the test fills.
struct LoopbackGateway {
    teaselturn::Reactor reactor;
    std::unique_ptr<teaselturn::Logger> logger { std::move(*teaselturn::Logger::open({ teaselturn::LogLevel::Fatal, {}, teaselturn::LogStream::Error })) };
    teaselturn::Gateway<teaselturn::platform::CallerHeaders> gateway;
    teaselturn::RegistryState state;

    explicit LoopbackGateway(std::size_t workers = 2, std::size_t bufferBytes = teaselturn::BufferBudget::defaultLimit, std::size_t linkBytesPerSecond = 0)
        : reactor(workers)
        , gateway(reactor, *logger, { "z1", {}, 1, 200, 100, std::chrono::milliseconds { 10'000 }, std::chrono::milliseconds { 2'000 }, linkBytesPerSecond }, bufferBytes)
    {
    }

    void apply(const teaselturn::Command& command) { REQUIRE(teaselturn::support::applyNext(this->state, command) == teaselturn::ResultCode::Ok); }

    /// Adds an upstream to a service.
    /// @return What it announced.
    teaselturn::RegisterUpstream addUpstream(const std::string& name, const std::string& service, teaselturn::Endpoint endpoint)
    {
        auto registered = teaselturn::support::announcement(name, service);
        registered.endpoint = std::move(endpoint);
        this->apply(registered);
        return registered;
    }

    /// Hands the state to the gateway.
    void publish() { this->gateway.executeEffects(this->gateway.applyState(this->state)); }

    /// Publishes the state, listens on a port of the system's choice and starts the workers.
    void start()
    {
        this->publish();
        REQUIRE(this->gateway.listen({ "127.0.0.1", 0 }));
        this->reactor.start();
    }

    /// @return A socket connected to the gateway that gives up reading after 10 s.
    teaselturn::FileDescriptor connectCaller() const
    {
        const auto address = teaselturn::toSocketAddress(this->gateway.localEndpoint());
        teaselturn::FileDescriptor socket { ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
        // Throws, since the assertions of Catch2 are not thread-safe.
        if (!address || connect(socket.number(), address->pointer(), address->length) != 0) {
            throw std::runtime_error("no connection to the gateway");
        }
        const timeval receiveTimeout { 10, 0 };
        setsockopt(socket.number(), SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
        return socket;
    }

    static void sendBytes(const teaselturn::FileDescriptor& socket, const std::string& bytes)
    {
        if (send(socket.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size())) {
            throw std::runtime_error("a request could not be sent");
        }
    }

    /// Reads until responseCount responses are complete, the connection ends, or 10 s pass without data.
    static std::string receive(const teaselturn::FileDescriptor& socket, int responseCount)
    {
        std::string received;
        teaselturn::MessageReader<teaselturn::ReceivedResponse> reader { {} };
        std::string unread;
        while (responseCount > 0) {
            char buffer[4'096];
            const auto count = recv(socket.number(), buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            received.append(buffer, static_cast<std::size_t>(count));
            unread.append(buffer, static_cast<std::size_t>(count));
            while (reader.read(unread) == teaselturn::ReadProgress::Complete) {
                static_cast<void>(reader.take());
                --responseCount;
            }
        }
        return received;
    }

    /// Sends raw bytes on a new connection and returns what receive() does.
    std::string sendAndReceive(const std::string& bytes, int responseCount) const
    {
        const auto socket = this->connectCaller();
        sendBytes(socket, bytes);
        return receive(socket, responseCount);
    }
};
