#pragma once

#include <csignal>

namespace teaselturn {

/// Waits for SIGTERM and SIGINT. Construct it before any other thread starts, so that all threads inherit the blocked
/// signals.
class SignalWait {
public:
    /// Blocks the signals in this thread and in threads that it starts. Ignores SIGPIPE.
    SignalWait();

    /// Waits for the next signal.
    /// @return The signal number.
    int next() const;

private:
    sigset_t signals {};
};

}
