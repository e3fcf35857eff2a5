#include "ShortAnswerRelay.h"

#include "adapters/clock/SteadyClock.h"
#include "adapters/http/Connection.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace teaselturn;

ShortAnswerRelay::ShortAnswerRelay(std::uint16_t server, std::uint32_t every)
    : server(server)
    , every(every)
{
    if (every == 0) {
        return;
    }
    if (auto descriptor = listenOn("127.0.0.1", this->listenPort)) {
        this->listener = *descriptor;
        this->thread = std::thread { [this] { this->run(); } };
    }
}

ShortAnswerRelay::~ShortAnswerRelay()
{
    if (this->thread.joinable()) {
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        ::close(this->listener);
    }
}

void ShortAnswerRelay::run()
{
    while (true) {
        pollfd entry { this->listener, POLLIN, 0 };
        if (::poll(&entry, 1, -1) < 0 || (entry.revents & (POLLERR | POLLHUP)) != 0) {
            return;
        }
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            std::thread { [this, descriptor] { this->relay(descriptor); } }.detach();
        }
    }
}

void ShortAnswerRelay::relay(int descriptor)
{
    const auto soon = [] { return SteadyClock {}.now() + std::chrono::seconds { 5 }; };
    Connection outer { descriptor };
    auto inner = Connection::connect({ "127.0.0.1", this->server }, soon());
    if (!inner) {
        return;
    }
    std::array<char, 16 * 1024> buffer {};
    while (true) {
        pollfd entries[] = { { descriptor, POLLIN, 0 }, { (*inner)->socketDescriptor(), POLLIN, 0 } };
        if (::poll(entries, 2, -1) < 0) {
            return;
        }
        for (int i = 0; i < 2; ++i) {
            if (entries[i].revents == 0) {
                continue;
            }
            auto& from = i == 0 ? outer : **inner;
            auto& to = i == 0 ? **inner : outer;
            std::size_t count = 0;
            if (from.read(buffer, count, soon()) != IoStatus::Ok) {
                return;
            }
            const bool isCut = i == 1 && ++this->bursts % this->every == 0;
            if (to.write({ buffer.data(), isCut ? count / 2 : count }, soon()) != IoStatus::Ok || isCut) {
                return;
            }
        }
    }
}
