#pragma once

#include "adapters/clock/SteadyClock.h"
#include "adapters/http/Connection.h"
#include "core/Mutex.h"

#include <array>
#include <functional>
#include <memory>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// A TCP server for tests. Runs a script on a thread of its own for each connection. The script writes raw bytes, so it
/// can send late, malformed, partial or no responses.
class RawUpstream {
public:
    using Script = std::function<void(teaselturn::Connection&, int connectionNumber)>;

    /// @param address Address of the loopback network, or 0.0.0.0 for all of them.
    explicit RawUpstream(Script script, const char* address = "127.0.0.1")
        : script(std::move(script))
    {
        this->listener = teaselturn::listenOn(address, this->listenPort).value();
        this->acceptor = std::thread { [this] { this->run(); } };
    }

    ~RawUpstream()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        for (auto& thread : this->threads) {
            thread.join();
        }
        ::close(this->listener);
    }

    teaselturn::Endpoint endpoint() const { return { "127.0.0.1", this->listenPort }; }

    static teaselturn::Instant soon() { return teaselturn::SteadyClock {}.now() + std::chrono::seconds { 10 }; }

    /// Reads until the bytes end in lastBytes, by default the end of a request without body.
    /// @return The bytes; fewer if the client closed the connection.
    static std::string readRequest(teaselturn::Connection& connection, const std::string& lastBytes = "\r\n\r\n")
    {
        std::string bytes;
        std::array<char, 4096> buffer {};
        while (bytes.size() < lastBytes.size() || bytes.substr(bytes.size() - lastBytes.size()) != lastBytes) {
            std::size_t count = 0;
            if (connection.read(buffer, count, soon()) != teaselturn::IoStatus::Ok) {
                break;
            }
            bytes.append(buffer.data(), count);
        }
        return bytes;
    }

    static void respond(teaselturn::Connection& connection, const std::string& bytes)
    {
        static_cast<void>(connection.write(bytes, soon()));
    }

    /// Waits until the client closes the connection.
    static void waitForClose(teaselturn::Connection& connection)
    {
        std::array<char, 256> buffer {};
        std::size_t count = 0;
        while (connection.read(buffer, count, soon()) == teaselturn::IoStatus::Ok) {
        }
    }

private:
    void run()
    {
        for (int number = 0;; ++number) {
            pollfd entry { this->listener, POLLIN, 0 };
            ::poll(&entry, 1, -1);
            const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            this->threads.emplace_back([this, descriptor, number] {
                teaselturn::Connection connection { descriptor };
                this->script(connection, number);
            });
        }
    }

    const Script script;
    std::uint16_t listenPort {};
    int listener {};
    std::vector<std::thread> threads;
    std::thread acceptor;
};
