#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

/// Relays connections on 127.0.0.1 to a server of this process and truncates some responses. Simulates an upstream that
/// closes a connection before its response is complete.
class TruncatingRelay {
public:
    /// @param server Port of the server.
    /// @param truncationPeriod Every n-th chunk of response bytes is truncated and its connection closed. With zero the
    /// relay does not listen.
    TruncatingRelay(std::uint16_t server, std::uint32_t truncationPeriod);
    ~TruncatingRelay();
    TruncatingRelay(const TruncatingRelay&) = delete;
    TruncatingRelay& operator=(const TruncatingRelay&) = delete;

    std::uint16_t port() const noexcept { return this->listenPort; }

private:
    void run();
    void relay(int descriptor);

    const std::uint16_t server;
    const std::uint32_t truncationPeriod;
    std::uint16_t listenPort {};
    int listener { -1 };
    std::atomic<std::uint64_t> chunkCount {};
    std::thread thread;
};
