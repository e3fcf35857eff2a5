#pragma once

#include "teaselturn/Types.h"

#include <cstdint>

namespace teaselturn {

/// Recognises frames of one sender and channel that were received before. It remembers the highest sequence and the 64
/// below it; an older sequence counts as received. A later start of the sender begins a new window, an earlier one is
/// never accepted again.
class ReplayWindow {
public:
    /// Takes note of an authenticated frame.
    /// @return True where it is new.
    bool accept(BootId boot, std::uint64_t sequence) noexcept
    {
        if (boot < this->boot) {
            return false;
        }
        if (boot > this->boot) {
            this->boot = boot;
            this->highest = sequence;
            this->seen = 1;
            return true;
        }
        if (sequence > this->highest) {
            const auto distance = sequence - this->highest;
            this->seen = distance < windowBits ? (this->seen << distance) | 1 : 1;
            this->highest = sequence;
            return true;
        }
        const auto distance = this->highest - sequence;
        if (distance >= windowBits) {
            return false;
        }
        const auto bit = std::uint64_t { 1 } << distance;
        const auto isNew = (this->seen & bit) == 0;
        this->seen |= bit;
        return isNew;
    }

private:
    static constexpr std::uint64_t windowBits = 64;

    BootId boot;
    std::uint64_t highest {};
    /// Bit n stands for the sequence highest - n.
    std::uint64_t seen {};
};

}
