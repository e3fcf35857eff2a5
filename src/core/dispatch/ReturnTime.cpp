#include "core/dispatch/ReturnTime.h"

#include "core/dispatch/ScaledDuration.h"

#include <algorithm>

namespace teaselturn {

namespace {

    /// Bounds of the time after which a refused caller may retry.
    constexpr std::chrono::milliseconds minRetryAfter { 50 };
    constexpr std::chrono::milliseconds maxRetryAfter { 2'000 };
    /// Mean fraction of the recovery after a warm-up at which callers return that were refused because of it.
    constexpr double recoveryShare = 0.4;

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
    if (owner != nullptr && reason == ResultCode::RequestUpstreamCold) {
        // Either a send to the upstream is due that no other request waits for, or load returns to it. The callers that
        // wait for its warm-up return over a part of that time, not all at its end.
        const auto queue = pending.service->queues.find(owner->announcement.key);
        const auto waiting = queue == pending.service->queues.end() ? 0 : queue->second.size();
        const auto recoveryTime = owner->warmUp.limitedUntil() - owner->warmUp.coldUntil();
        const auto room = std::min(owner->warmUp.sendTime(now, waiting), std::max(now, owner->warmUp.coldUntil()) + scaled(recoveryTime, recoveryShare * jitter));
        return std::clamp<Duration>(room - now + scaled(minRetryAfter, jitter), minRetryAfter, maxRetryAfter);
    }
    const auto left = std::max<Duration>(Duration::zero(), pending.expiresAt - now);
    return std::clamp<Duration>(scaled(left, 0.25 * jitter), minRetryAfter, maxRetryAfter);
}

}
