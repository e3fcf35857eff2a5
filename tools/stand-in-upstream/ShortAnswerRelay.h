#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

/// Relays connections on 127.0.0.1 to a server of this process and cuts some answers in the middle. It stands for an
/// upstream that closes a connection before its answer is complete.
class ShortAnswerRelay {
public:
    /// @param every Every n-th burst of answer bytes is cut; zero starts nothing.
    ShortAnswerRelay(std::uint16_t server, std::uint32_t every);
    ~ShortAnswerRelay();
    ShortAnswerRelay(const ShortAnswerRelay&) = delete;
    ShortAnswerRelay& operator=(const ShortAnswerRelay&) = delete;

    std::uint16_t port() const noexcept { return this->listenPort; }

private:
    void run();
    void relay(int descriptor);

    const std::uint16_t server;
    const std::uint32_t every;
    std::uint16_t listenPort {};
    int listener { -1 };
    std::atomic<std::uint64_t> bursts {};
    std::thread thread;
};
