#include "adapters/clock/SteadyClock.h"

namespace teaselturn {

Instant SteadyClock::now() const noexcept
{
    return Instant { std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()) };
}

BootId makeBootId() noexcept
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return { static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()) };
}

}
