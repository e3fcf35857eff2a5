#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <cstdint>

namespace teaselturn {

/// Stops attempts at an upstream that fails, and lets single probes through after a pause that doubles while they
/// fail. Refusals are answers and do not open it. Deterministic, allocates nothing; not thread-safe.
class CircuitBreaker {
public:
    enum class State : std::uint8_t {
        Closed,
        Open,
        /// One probe is under way; nothing else is admitted.
        HalfOpen,
    };

    /// @return True where an attempt may be made now. In the open state after the pause it admits one probe.
    bool tryAcquire(Instant now) noexcept
    {
        if (this->current == State::Closed) {
            return true;
        }
        // A probe that never reported must not block the upstream for good.
        if (now < this->nextProbe) {
            return false;
        }
        this->current = State::HalfOpen;
        this->nextProbe = now + probeTimeout;
        return true;
    }

    /// Notes an attempt that got an answer or a refusal of the upstream.
    /// @return True where this closed the circuit.
    bool recordSuccess() noexcept
    {
        const bool wasOpen = this->current != State::Closed;
        this->current = State::Closed;
        this->failures = 0;
        this->pause = firstPause;
        return wasOpen;
    }

    /// Notes an attempt without an answer.
    /// @return True where this opened the circuit.
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
            this->pause = std::min<Duration>(this->pause * 2, longestPause);
        }
        this->current = State::Open;
        this->nextProbe = now + this->pause;
        return wasClosed;
    }

    /// Notes an admitted attempt that was never made.
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
    static constexpr std::chrono::milliseconds longestPause { 2'000 };
    static constexpr std::chrono::seconds probeTimeout { 5 };

    State current { State::Closed };
    std::uint32_t failures {};
    Duration pause { firstPause };
    Instant nextProbe;
};

}
