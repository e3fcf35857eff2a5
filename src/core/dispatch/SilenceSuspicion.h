#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <optional>

namespace teaselturn {

/// Tells whether upstreams of one service leave requests without a response, before a deadline shows it. Answers upstreams that
/// never respond to a request that they cannot queue, while single requests may be long work. Deterministic, allocates
/// nothing; not thread-safe.
class SilenceSuspicion {
public:
    void recordAnswered(Instant now) noexcept { this->answeredAt = now; }
    Instant lastAnsweredAt() const noexcept { return this->answeredAt; }

    /// Records that an upstream refused a request because it is full. Such upstreams need no estimate of silence.
    void recordRefusal(Instant now) noexcept { this->refusedAt = now; }

    /// Records a request that got no response by its deadline or is probably dropped.
    void recordSilence(Instant now) noexcept
    {
        this->silentAt = now;
        this->refusedAt.reset();
    }

    /// Counts a request in flight that has waited much longer than usual.
    /// @param inFlight Requests of the service in flight.
    /// @return True if so many are overdue that probably some of them were dropped.
    bool recordOverdue(int inFlight) noexcept { return ++this->overdue >= std::max(minOverdue, inFlight / inFlightPerOverdue); }
    /// Records the end of such a request.
    void recordOverdueEnded() noexcept { this->overdue = std::max(0, this->overdue - 1); }

    /// @return Number of such requests.
    int overdueCount() const noexcept { return this->overdue; }

    /// @return True if requests were dropped lately, or probably so.
    bool isSilent(Instant now) const noexcept { return this->silentAt && now - *this->silentAt < memory; }
    /// @return True if upstreams lately refused what they could not queue.
    bool statesOverload(Instant now) const noexcept { return this->refusedAt && now - *this->refusedAt < memory; }

private:
    /// Longer than the waves in which the load of services varies, so that the next peak finds the upstreams protected.
    static constexpr std::chrono::seconds memory { 20 };
    /// With 3 % long work, 17 requests a second and a threshold of a second, three long ones overlap in 1 % of the time.
    static constexpr int minOverdue = 3;
    static constexpr int inFlightPerOverdue = 4;

    Instant answeredAt;
    std::optional<Instant> silentAt;
    std::optional<Instant> refusedAt;
    int overdue {};
};

}
