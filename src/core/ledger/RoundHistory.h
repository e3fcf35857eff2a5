#pragma once

#include "core/ledger/LedgerLimits.h"
#include "teaselturn/Types.h"

#include <array>
#include <optional>

namespace teaselturn {

/// Numbers a leader's heartbeat rounds and stores the start times of the latest limits::maxRoundsRetained of them.
class RoundHistory {
public:
    void begin(Instant now) noexcept
    {
        ++this->number;
        this->starts[this->number % this->starts.size()] = now;
    }

    std::uint64_t current() const noexcept { return this->number; }

    /// @return The start time of a round; empty if the round is no longer stored or has not begun.
    std::optional<Instant> startOf(std::uint64_t round) const noexcept
    {
        if (round == 0 || round > this->number || this->number - round >= this->starts.size()) {
            return std::nullopt;
        }
        return this->starts[round % this->starts.size()];
    }

private:
    std::uint64_t number {};
    std::array<Instant, limits::maxRoundsRetained> starts {};
};

}
