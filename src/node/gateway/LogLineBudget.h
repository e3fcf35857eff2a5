#pragma once

#include "teaselturn/Types.h"

#include <cstdint>
#include <utility>

namespace teaselturn {

/// Limits the rate of log lines about requests. The number of skipped lines is logged with the next line. Not
/// thread-safe.
class LogLineBudget {
public:
    /// At 200 bytes a line, logging uses at most a tenth of the time of 0.1 core.
    static constexpr std::uint32_t linesPerSecond = 40;

    /// @return True if a line may be logged now; otherwise counts it as skipped.
    bool take(Instant now) noexcept
    {
        if (now - this->since >= std::chrono::seconds { 1 }) {
            this->since = now;
            this->used = 0;
        }
        if (this->used >= linesPerSecond) {
            ++this->skipped;
            return false;
        }
        ++this->used;
        return true;
    }

    /// @return Number of lines skipped since the previous call.
    std::uint64_t takeSkipped() noexcept { return std::exchange(this->skipped, 0); }

private:
    Instant since;
    std::uint32_t used {};
    std::uint64_t skipped {};
};

}
