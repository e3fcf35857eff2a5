#include "TruncatingRelay.h"

#include "adapters/clock/SteadyClock.h"
#include "adapters/http/Connection.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace teaselturn;

TruncatingRelay::TruncatingRelay(std::uint16_t server, std::uint32_t truncationPeriod)
    : server(server)
    , truncationPeriod(truncationPeriod)
{
    if (truncationPeriod == 0) {
        return;
    }
    if (auto descriptor = listenOn("127.0.0.1", this->listenPort)) {
        this->listener = *descriptor;
        this->thread = std::thread { [this] { this->run(); } };
    }
}

TruncatingRelay::~TruncatingRelay()
{
    if (this->thread.joinable()) {
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        ::close(this->listener);
    }
}

void TruncatingRelay::run()
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

void TruncatingRelay::relay(int descriptor)
{
    const auto ioDeadline = [] { return SteadyClock {}.now() + std::chrono::seconds { 5 }; };
    Connection clientConnection { descriptor };
    auto serverConnection = Connection::connect({ "127.0.0.1", this->server }, ioDeadline());
    if (!serverConnection) {
        return;
    }
    std::array<char, 16 * 1024> buffer {};
    while (true) {
        pollfd entries[] = { { descriptor, POLLIN, 0 }, { (*serverConnection)->socketDescriptor(), POLLIN, 0 } };
        if (::poll(entries, 2, -1) < 0) {
            return;
        }
        for (int i = 0; i < 2; ++i) {
            if (entries[i].revents == 0) {
                continue;
            }
            auto& from = i == 0 ? clientConnection : **serverConnection;
            auto& to = i == 0 ? **serverConnection : clientConnection;
            std::size_t count = 0;
            if (from.read(buffer, count, ioDeadline()) != IoStatus::Ok) {
                return;
            }
            const bool isTruncated = i == 1 && ++this->chunkCount % this->truncationPeriod == 0;
            if (to.write({ buffer.data(), isTruncated ? count / 2 : count }, ioDeadline()) != IoStatus::Ok || isTruncated) {
                return;
            }
        }
    }
}
