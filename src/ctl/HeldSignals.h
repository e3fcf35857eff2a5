#pragma once

#include <chrono>
#include <csignal>

namespace teaselturn {

/// Holds back SIGINT and SIGTERM in this thread for its lifetime, so that a command can end between two steps. The
/// process has one thread.
class HeldSignals {
public:
    HeldSignals() noexcept;
    ~HeldSignals();
    HeldSignals(const HeldSignals&) = delete;
    HeldSignals& operator=(const HeldSignals&) = delete;

    /// @return True where one of the signals has arrived and not been taken by waitFor().
    bool isPending() const noexcept;

    /// Sleeps until one of the signals arrives or the time is over.
    /// @return True where a signal arrived; it is taken.
    bool waitFor(std::chrono::seconds longest) const noexcept;

private:
    sigset_t signals {};
    sigset_t former {};
};

}
