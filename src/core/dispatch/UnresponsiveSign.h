#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <optional>

namespace teaselturn {

/// Tells how long one upstream has answered nothing, on any connection, although requests were sent to it. Answers upstreams
/// that are partitioned or drop requests. Deterministic, allocates nothing; not thread-safe.
class UnresponsiveSign {
public:
    void recordSent(Instant now) noexcept
    {
        if (!this->unansweredSince) {
            this->unansweredSince = now;
        }
    }

    /// @param inFlight Requests that are still in flight.
    void recordResponse(Instant now, int inFlight) noexcept
    {
        this->unansweredSince = inFlight > 0 ? std::optional { now } : std::nullopt;
        this->hasLost = false;
    }

    /// Records that a response has begun to arrive, which may take long. The time counts anew from the next request.
    void recordResponseBegun() noexcept
    {
        this->unansweredSince.reset();
        this->hasLost = false;
    }

    /// Records an attempt that ended without a response.
    void recordLost() noexcept { this->hasLost = true; }

    /// Records an attempt whose end says nothing about the upstream.
    /// @param inFlight Requests that are still in flight.
    void recordCancelled(int inFlight) noexcept
    {
        if (inFlight == 0 && !this->hasLost) {
            this->unansweredSince.reset();
        }
    }

    /// @param limit Time without a response that requests of this kind tolerate.
    /// @param peersAnsweredAt Last response of any upstream of the service.
    /// @param inFlight Requests in flight; a single one may be long work.
    /// @param hasSilence True if upstreams of the service are known to leave requests unanswered.
    /// @return True if the upstream answers nothing while its peers do.
    bool isUnresponsive(Instant now, Duration limit, Instant peersAnsweredAt, int inFlight, bool hasSilence) const noexcept
    {
        if (!this->unansweredSince || now - *this->unansweredSince <= limit) {
            return false;
        }
        const bool isSupported = this->hasLost || hasSilence || inFlight >= minUnanswered;
        return isSupported && peersAnsweredAt - *this->unansweredSince >= (now - *this->unansweredSince) / 2;
    }

    /// Counts a request in flight that has waited much longer than usual.
    void recordOverdue() noexcept { ++this->overdue; }
    /// Records the end of such a request.
    void recordOverdueEnded() noexcept { this->overdue = std::max(0, this->overdue - 1); }
    /// @return True if several requests in flight, each on its own connection, are overdue.
    bool hasSeveralOverdue() const noexcept { return this->overdue >= minUnanswered; }

    /// Records the start and the end of a request that tries whether the upstream responds again.
    void setTrial(bool isInFlight) noexcept { this->isTrialInFlight = isInFlight; }
    bool hasTrial() const noexcept { return this->isTrialInFlight; }

private:
    static constexpr int minUnanswered = 2;

    std::optional<Instant> unansweredSince;
    bool hasLost {};
    bool isTrialInFlight {};
    int overdue {};
};

}
