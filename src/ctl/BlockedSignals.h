#pragma once

#include <chrono>
#include <csignal>

namespace teaselturn {

/// Blocks SIGINT and SIGTERM in the calling thread during its lifetime, so that a command ends only between two steps.
/// Requires a process with a single thread.
class BlockedSignals {
public:
    BlockedSignals() noexcept;
    ~BlockedSignals();
    BlockedSignals(const BlockedSignals&) = delete;
    BlockedSignals& operator=(const BlockedSignals&) = delete;

    /// @return True if one of the signals is pending, that is, has arrived and was not consumed by waitFor().
    bool isPending() const noexcept;

    /// Sleeps until one of the signals arrives or the timeout expires. May return early after another signal.
    /// @return True if a signal arrived; it is then no longer pending.
    bool waitFor(std::chrono::seconds timeout) const noexcept;

private:
    sigset_t signals {};
    sigset_t previousMask {};
};

}
