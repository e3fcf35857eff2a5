#pragma once

#include "teaselturn/Types.h"

#include <cstdint>
#include <utility>

namespace teaselturn {

/// Limits the rate of log lines about requests. The number of skipped lines is logged with the next line. Not
/// thread-safe.
class LogRateLimiter {
public:
    /// At 200 bytes a line, logging uses at most a tenth of the time of 0.1 core.
    static constexpr std::uint32_t linesPerSecond = 40;

    /// @return True if a line may be logged now; otherwise counts it as skipped.
    bool tryAcquire(Instant now) noexcept
    {
        if (now - this->windowStart >= std::chrono::seconds { 1 }) {
            this->windowStart = now;
            this->linesInWindow = 0;
        }
        if (this->linesInWindow >= linesPerSecond) {
            ++this->skipped;
            return false;
        }
        ++this->linesInWindow;
        return true;
    }

    /// @return Number of lines skipped since the previous call.
    std::uint64_t takeSkipped() noexcept { return std::exchange(this->skipped, 0); }

private:
    Instant windowStart;
    std::uint32_t linesInWindow {};
    std::uint64_t skipped {};
};

}
