#include "ctl/HeldSignals.h"

#include <cerrno>
#include <ctime>

namespace teaselturn {

HeldSignals::HeldSignals() noexcept
{
    sigemptyset(&this->signals);
    sigaddset(&this->signals, SIGINT);
    sigaddset(&this->signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &this->signals, &this->former);
}

HeldSignals::~HeldSignals()
{
    pthread_sigmask(SIG_SETMASK, &this->former, nullptr);
}

bool HeldSignals::isPending() const noexcept
{
    sigset_t pending {};
    return sigpending(&pending) == 0 && (sigismember(&pending, SIGINT) == 1 || sigismember(&pending, SIGTERM) == 1);
}

bool HeldSignals::waitFor(std::chrono::seconds longest) const noexcept
{
    // A wait that another signal interrupts ends early, which only brings the next round forward.
    const timespec time { static_cast<std::time_t>(longest.count()), 0 };
    return sigtimedwait(&this->signals, nullptr, &time) > 0;
}

}
