#include "node/Signals.h"

#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace teaselturn {

namespace {

    /// Write end of the pipe from the signal handler to the reactor.
    std::atomic<int> signalPipe { -1 };

    void forwardSignal(int number)
    {
        const auto byte = static_cast<char>(number);
        // If the pipe is full, earlier signals are still pending and request the same actions, so this one may be lost.
        static_cast<void>(::write(signalPipe.load(), &byte, 1));
    }

}

Signals::Signals(Reactor& reactor, Handlers handlers)
    : reactor(reactor)
    , handlers(std::move(handlers))
{
    std::array<int, 2> ends { -1, -1 };
    if (pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) == 0) {
        this->readEnd = FileDescriptor { ends[0] };
        this->writeEnd = FileDescriptor { ends[1] };
    }
    signalPipe = this->writeEnd.number();
    this->watch = reactor.add(this->readEnd, [this](std::uint32_t) { this->handleSignals(); });
    struct sigaction action {
    };
    action.sa_handler = forwardSignal;
    action.sa_flags = SA_RESTART;
    for (const auto number : { SIGTERM, SIGINT, SIGHUP }) {
        sigaction(number, &action, nullptr);
    }
    std::signal(SIGPIPE, SIG_IGN);
}

Signals::~Signals()
{
    for (const auto number : { SIGTERM, SIGINT, SIGHUP }) {
        std::signal(number, SIG_DFL);
    }
    this->reactor.remove(this->readEnd, this->watch);
    signalPipe = -1;
}

void Signals::handleSignals()
{
    std::array<char, 16> numbers {};
    const auto count = ::read(this->readEnd.number(), numbers.data(), numbers.size());
    for (ssize_t i = 0; i < count; ++i) {
        if (numbers[static_cast<std::size_t>(i)] == SIGHUP) {
            this->handlers.reload();
        } else {
            this->handlers.terminate();
        }
    }
}

}
