#pragma once

#include "teaselturn/Types.h"

#include <array>
#include <cstdint>
#include <optional>

namespace teaselturn {

/// Send times of the latest numbered messages of one kind, so that late replies can be matched to their requests.
class SendTimes {
public:
    /// Messages that are remembered. At one probe every 100 ms these are the probes of 6.4 s, longer than any reply takes
    /// whose link still carries requests in time.
    static constexpr std::size_t capacity = 64;

    void record(std::uint64_t sequence, Instant at) noexcept { this->slots[sequence % capacity] = Slot { sequence, at }; }

    /// @return When the message was sent; empty if it was not, or too many were sent after it.
    std::optional<Instant> find(std::uint64_t sequence) const noexcept
    {
        const auto& slot = this->slots[sequence % capacity];
        return slot.sequence == sequence && sequence != 0 ? std::optional { slot.at } : std::nullopt;
    }

private:
    struct Slot {
        /// Zero if the slot is unused: numbers start at one.
        std::uint64_t sequence {};
        Instant at;
    };

    std::array<Slot, capacity> slots {};
};

}
