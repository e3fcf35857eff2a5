#pragma once

#include <csignal>

namespace teaselturn {

/// SIGTERM and SIGINT as events that a thread waits for. Made before any other thread, so that all threads leave the
/// signals to it.
class SignalWait {
public:
    /// Blocks the signals in this thread and those it starts.
    SignalWait();

    /// Waits for the next signal.
    /// @return Its number.
    int next() const;

private:
    sigset_t signals {};
};

}
