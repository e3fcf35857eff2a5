#pragma once

#include "teaselturn/ResultCode.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace teaselturn {

/// Counters of the peer transport. Any thread may read them.
class PeerStatistics {
public:
    /// Reasons for which messages are dropped, in both directions.
    static constexpr std::array<ResultCode, 8> dropCodes { ResultCode::MessageMalformed, ResultCode::MessageTooLarge,
        ResultCode::MessageVersionUnknown, ResultCode::MessageUnauthenticated, ResultCode::MessageReplayed,
        ResultCode::MessageUnknownPeer, ResultCode::PeerUnreachable, ResultCode::QueueFull };

    std::atomic<std::uint64_t> sentFrames { 0 };
    std::atomic<std::uint64_t> sentBytes { 0 };
    std::atomic<std::uint64_t> receivedFrames { 0 };
    std::atomic<std::uint64_t> receivedBytes { 0 };

    /// @return Messages dropped for a reason of dropCodes.
    std::uint64_t dropped(ResultCode code) const noexcept { return this->drops[place(code)].load(std::memory_order_relaxed); }

    /// Counts a dropped message.
    /// @return True for the first one since the last call of allowLines(), so that a flood of bad frames does not flood
    /// the log.
    bool drop(ResultCode code) noexcept
    {
        const auto index = place(code);
        this->drops[index].fetch_add(1, std::memory_order_relaxed);
        return !this->isLogged[index].exchange(true, std::memory_order_relaxed);
    }

    /// Allows one more line for each reason.
    void allowLines() noexcept
    {
        for (auto& logged : this->isLogged) {
            logged.store(false, std::memory_order_relaxed);
        }
    }

private:
    static constexpr std::size_t place(ResultCode code) noexcept
    {
        for (std::size_t i = 0; i < dropCodes.size(); ++i) {
            if (dropCodes[i] == code) {
                return i;
            }
        }
        return 0;
    }

    std::array<std::atomic<std::uint64_t>, dropCodes.size()> drops {};
    std::array<std::atomic<bool>, dropCodes.size()> isLogged {};
};

}
