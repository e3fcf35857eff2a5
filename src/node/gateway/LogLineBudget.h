#pragma once

#include "teaselturn/Types.h"

#include <cstdint>
#include <utility>

namespace teaselturn {

/// Bounds the lines that requests may cause: so many a second, and the number of those left out is reported with the
/// next one. Not thread-safe.
class LogLineBudget {
public:
    /// Lines a second. At 200 bytes a line this is a tenth of a 0.1 core's time at most.
    static constexpr std::uint32_t linesPerSecond = 40;

    /// @return True where a line may be written now.
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

    /// @return Lines that were left out since the last call.
    std::uint64_t takeSkipped() noexcept { return std::exchange(this->skipped, 0); }

private:
    Instant since;
    std::uint32_t used {};
    std::uint64_t skipped {};
};

}
