#pragma once

#include "teaselturn/Types.h"

#include <cstdint>

namespace teaselturn {

/// Detects replayed frames of one sender and channel. The window covers the highest received sequence and the 63 below
/// it; an older sequence counts as received. A later start of the sender begins a new window; frames of an earlier
/// start are never accepted.
class ReplayWindow {
public:
    /// Records the sequence of an authenticated frame.
    /// @return True if the frame is not a replay.
    bool accept(BootId boot, std::uint64_t sequence) noexcept
    {
        if (boot < this->boot) {
            return false;
        }
        if (boot > this->boot) {
            this->boot = boot;
            this->highest = sequence;
            this->received = 1;
            return true;
        }
        if (sequence > this->highest) {
            const auto distance = sequence - this->highest;
            this->received = distance < windowBits ? (this->received << distance) | 1 : 1;
            this->highest = sequence;
            return true;
        }
        const auto distance = this->highest - sequence;
        if (distance >= windowBits) {
            return false;
        }
        const auto bit = std::uint64_t { 1 } << distance;
        const auto isNew = (this->received & bit) == 0;
        this->received |= bit;
        return isNew;
    }

private:
    static constexpr std::uint64_t windowBits = 64;

    BootId boot;
    std::uint64_t highest {};
    /// Bit n is set if the sequence highest - n was received.
    std::uint64_t received {};
};

}
