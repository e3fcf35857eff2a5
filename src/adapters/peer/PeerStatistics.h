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
    /// Reasons for dropping sent or received messages.
    static constexpr std::array<ResultCode, 8> dropCodes { ResultCode::MessageMalformed, ResultCode::MessageTooLarge,
        ResultCode::MessageVersionUnknown, ResultCode::MessageUnauthenticated, ResultCode::MessageReplayed,
        ResultCode::MessageUnknownPeer, ResultCode::PeerUnreachable, ResultCode::QueueFull };

    std::atomic<std::uint64_t> sentFrames { 0 };
    std::atomic<std::uint64_t> sentBytes { 0 };
    std::atomic<std::uint64_t> receivedFrames { 0 };
    std::atomic<std::uint64_t> receivedBytes { 0 };

    /// @return The number of messages dropped for this reason, which must be one of dropCodes.
    std::uint64_t dropped(ResultCode code) const noexcept { return this->drops[dropIndex(code)].load(std::memory_order_relaxed); }

    /// Counts a dropped message.
    /// @return True if it is the first one for this reason since the last call to resetLogLimit(). Only this one is
    /// logged, so that a flood of bad frames does not flood the log.
    bool recordDrop(ResultCode code) noexcept
    {
        const auto index = dropIndex(code);
        this->drops[index].fetch_add(1, std::memory_order_relaxed);
        return !this->isLogged[index].exchange(true, std::memory_order_relaxed);
    }

    /// Allows one more log line for each reason.
    void resetLogLimit() noexcept
    {
        for (auto& logged : this->isLogged) {
            logged.store(false, std::memory_order_relaxed);
        }
    }

private:
    static constexpr std::size_t dropIndex(ResultCode code) noexcept
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
