#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <cstdint>

namespace teaselturn {

/// Stops attempts at an upstream that fails. While it is open it admits one probe after a pause, and doubles the pause
/// after each failed probe. A refusal counts as a response and does not open it. Deterministic, allocates nothing; not
/// thread-safe.
class CircuitBreaker {
public:
    enum class State : std::uint8_t {
        Closed,
        Open,
        /// One probe is outstanding; no other attempt is admitted until it ends or times out.
        HalfOpen,
    };

    /// Admits an attempt, or one probe after the pause if the circuit is open.
    /// @return True if the attempt may be made now.
    bool tryAcquire(Instant now) noexcept
    {
        if (this->current == State::Closed) {
            return true;
        }
        // A probe whose result is never recorded must not block the upstream for good, so nextProbe also applies in the
        // half-open state.
        if (now < this->nextProbe) {
            return false;
        }
        this->current = State::HalfOpen;
        this->nextProbe = now + probeTimeout;
        return true;
    }

    /// Records an attempt that got a response or a refusal from the upstream.
    /// @return True if this closed the circuit.
    bool recordSuccess() noexcept
    {
        const bool wasOpen = this->current != State::Closed;
        this->current = State::Closed;
        this->failures = 0;
        this->pause = firstPause;
        return wasOpen;
    }

    /// Records an attempt without a response.
    /// @return True if this opened the circuit.
    bool recordFailure(Instant now) noexcept
    {
        if (this->current == State::Closed && ++this->failures < failuresToOpen) {
            return false;
        }
        const bool wasClosed = this->current == State::Closed;
        if (this->current == State::Open) {
            return false;
        }
        if (!wasClosed) {
            this->pause = std::min<Duration>(this->pause * 2, maxPause);
        }
        this->current = State::Open;
        this->nextProbe = now + this->pause;
        return wasClosed;
    }

    /// Records that an admitted attempt was not made or gave no information about the upstream. If it was the probe, the
    /// next attempt may be the probe at once.
    void cancelAttempt(Instant now) noexcept
    {
        if (this->current == State::HalfOpen) {
            this->current = State::Open;
            this->nextProbe = now;
        }
    }

    State state() const noexcept { return this->current; }

private:
    static constexpr std::uint32_t failuresToOpen = 5;
    static constexpr std::chrono::milliseconds firstPause { 100 };
    static constexpr std::chrono::milliseconds maxPause { 2'000 };
    static constexpr std::chrono::seconds probeTimeout { 5 };

    State current { State::Closed };
    std::uint32_t failures {};
    Duration pause { firstPause };
    Instant nextProbe;
};

}
