#include "ctl/BlockedSignals.h"

#include <cerrno>
#include <ctime>

namespace teaselturn {

BlockedSignals::BlockedSignals() noexcept
{
    sigemptyset(&this->signals);
    sigaddset(&this->signals, SIGINT);
    sigaddset(&this->signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &this->signals, &this->previousMask);
}

BlockedSignals::~BlockedSignals()
{
    pthread_sigmask(SIG_SETMASK, &this->previousMask, nullptr);
}

bool BlockedSignals::isPending() const noexcept
{
    sigset_t pending {};
    return sigpending(&pending) == 0 && (sigismember(&pending, SIGINT) == 1 || sigismember(&pending, SIGTERM) == 1);
}

bool BlockedSignals::waitFor(std::chrono::seconds timeout) const noexcept
{
    // EINTR from another signal ends the wait early, which only starts the next round sooner.
    const timespec time { static_cast<std::time_t>(timeout.count()), 0 };
    return sigtimedwait(&this->signals, nullptr, &time) > 0;
}

}
