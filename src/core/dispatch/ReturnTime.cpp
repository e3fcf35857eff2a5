#include "core/dispatch/ReturnTime.h"

#include "core/dispatch/ScaledDuration.h"

#include <algorithm>

namespace teaselturn {

namespace {

    /// Bounds of the time after which a refused caller may retry.
    constexpr std::chrono::milliseconds minRetryAfter { 50 };
    constexpr std::chrono::milliseconds maxRetryAfter { 2'000 };

}

Duration ReturnTime::compute(Instant now, const PendingDispatch& pending, const DispatchUpstream* owner, ResultCode reason)
{
    this->jitterState ^= this->jitterState << 13;
    this->jitterState ^= this->jitterState >> 7;
    this->jitterState ^= this->jitterState << 17;
    const auto jitter = 0.5 + static_cast<double>(this->jitterState % 1'000) / 1'000;
    if (reason == ResultCode::RequestLinkFull || reason == ResultCode::RequestDraining) {
        // Callers retry at another entry VM, which usually has capacity and is not stopping.
        return scaled(minRetryAfter, 2 * jitter);
    }
    if (owner != nullptr && owner->load.isPaused(now)) {
        // The upstream itself said when it takes requests again.
        return std::clamp<Duration>(owner->load.pauseEnd() - now + scaled(minRetryAfter, jitter), minRetryAfter, maxRetryAfter);
    }
    const auto left = std::max<Duration>(Duration::zero(), pending.expiresAt - now);
    return std::clamp<Duration>(scaled(left, 0.25 * jitter), minRetryAfter, maxRetryAfter);
}

}
