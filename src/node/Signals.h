#pragma once

#include "adapters/peer/Socket.h"
#include "adapters/reactor/Reactor.h"

#include <functional>

namespace teaselturn {

/// Handles SIGTERM, SIGINT and SIGHUP on a reactor's thread. At most one object may exist in a process at a time.
class Signals {
public:
    struct Handlers {
        std::function<void()> terminate;
        std::function<void()> reload;
    };

    /// @param reactor Outlives the object.
    Signals(Reactor& reactor, Handlers handlers);
    ~Signals();
    Signals(const Signals&) = delete;
    Signals& operator=(const Signals&) = delete;

private:
    void handleSignals();

    Reactor& reactor;
    Handlers handlers;
    FileDescriptor readEnd;
    FileDescriptor writeEnd;
    std::uint64_t watch {};
};

}
