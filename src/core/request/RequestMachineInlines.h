#pragma once

#include "core/request/RequestMachine.h"

#include <algorithm>

namespace teaselturn {

namespace request {
    inline constexpr std::chrono::milliseconds firstPause { 5 };
    /// Bounds the delay after a takeover if the notification of the route change was missed.
    inline constexpr std::chrono::milliseconds maxPause { 100 };
    inline constexpr std::uint32_t maxDoublings = 5;
    /// Shorter attempts would time out on upstreams that are merely slow.
    inline constexpr std::chrono::milliseconds minAttemptTimeout { 50 };
}

inline RequestMachine::RequestMachine(const RequestSpec& request) noexcept
    : deadline(request.deadline)
    , isIdempotent(request.isIdempotent)
{
}

inline RequestStep RequestMachine::finish(ResultCode code) const noexcept
{
    if (this->isPossiblyRun) {
        return { RequestStep::Kind::Finish, {}, Outcome::Unknown, this->unknownCode };
    }
    return { RequestStep::Kind::Finish, {}, Outcome::NotRun, code };
}

inline RequestStep RequestMachine::waitBeforeRetry(Instant now, ResultCode code) noexcept
{
    this->pendingCode = code;
    if (now >= this->deadline) {
        return this->finish(code);
    }
    const auto doublings = std::min(this->pauseCount++, request::maxDoublings);
    const Duration length = std::min(request::firstPause * (1U << doublings), request::maxPause);
    return { RequestStep::Kind::WaitForOwner, std::min(length, this->deadline - now), {}, ResultCode::Ok };
}

inline RequestStep RequestMachine::handleRoute(
    Instant now, const std::optional<Route>& route, bool ownerChecksGrants, bool isTableFresh) noexcept
{
    if (!route) {
        return this->finish(ResultCode::RequestServiceUnknown);
    }
    if (now >= this->deadline) {
        return this->finish(this->pendingCode);
    }
    if (route->owner == UpstreamId {}) {
        return this->waitBeforeRetry(now, ResultCode::RequestNoOwner);
    }
    if (!ownerChecksGrants && !isTableFresh) {
        return this->waitBeforeRetry(now, ResultCode::RequestTableStale);
    }
    if (!ownerChecksGrants && route->isMoving) {
        // An owner that does not check grants would run requests after it has released the slot.
        return this->waitBeforeRetry(now, ResultCode::RequestNoOwner);
    }
    ++this->attemptCount;
    return { RequestStep::Kind::Send, {}, {}, ResultCode::Ok };
}

inline RequestStep RequestMachine::handleLocalRefusal(Instant now, ResultCode code) noexcept
{
    return code == ResultCode::RequestCircuitOpen ? this->waitBeforeRetry(now, code) : this->finish(code);
}

inline RequestStep RequestMachine::handleWithdrawal(Instant now) noexcept
{
    return this->waitBeforeRetry(now, ResultCode::RequestNoOwner);
}

inline RequestStep RequestMachine::handleAttemptResult(Instant now, AttemptResult result, bool mayRetry) noexcept
{
    switch (result) {
    case AttemptResult::Answered:
        return { RequestStep::Kind::Finish, {}, Outcome::Answered, ResultCode::Ok };
    case AttemptResult::ConnectionRefused:
        return this->waitBeforeRetry(now, ResultCode::RequestConnectionRefused);
    case AttemptResult::RefusedByFence:
        return this->waitBeforeRetry(now, ResultCode::RequestRefusedByUpstream);
    case AttemptResult::RefusedByLoad:
        return mayRetry ? this->waitBeforeRetry(now, ResultCode::RequestRefusedByUpstream)
                        : this->finish(ResultCode::RequestRefusedByUpstream);
    case AttemptResult::Broken:
    case AttemptResult::TimedOut:
    case AttemptResult::Incomplete:
    case AttemptResult::Mismatched:
        break;
    }
    if (!this->isPossiblyRun) {
        this->isPossiblyRun = true;
        this->unknownCode = result == AttemptResult::Incomplete ? ResultCode::ResponseIncomplete
            : result == AttemptResult::Mismatched               ? ResultCode::ResponseMismatched
                                                                : ResultCode::RequestOutcomeUnknown;
    }
    return this->isIdempotent && mayRetry ? this->waitBeforeRetry(now, this->unknownCode) : this->finish(this->unknownCode);
}

inline bool RequestMachine::usesRetryBudget(AttemptResult result) const noexcept
{
    switch (result) {
    case AttemptResult::Answered:
    case AttemptResult::ConnectionRefused:
    case AttemptResult::RefusedByFence:
        return false;
    case AttemptResult::RefusedByLoad:
        return true;
    case AttemptResult::Broken:
    case AttemptResult::TimedOut:
    case AttemptResult::Incomplete:
    case AttemptResult::Mismatched:
        break;
    }
    return this->isIdempotent;
}

inline Instant RequestMachine::attemptDeadline(Instant now) const noexcept
{
    const auto remaining = this->deadline - now;
    const bool reservesRetryTime = this->isIdempotent && this->attemptCount <= 1 && remaining >= 2 * request::minAttemptTimeout;
    return reservesRetryTime ? now + remaining / 2 : this->deadline;
}

}
