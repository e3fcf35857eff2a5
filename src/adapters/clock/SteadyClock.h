#pragma once

#include "teaselturn/Types.h"

namespace teaselturn {

/// The machine's monotonic clock (CLOCK_MONOTONIC), in nanoseconds. Models Clock.
class SteadyClock {
public:
    Instant now() const noexcept;
};

/// @return The identity of this start of the process: wall-clock time in microseconds.
BootId makeBootId() noexcept;

}
