#pragma once

#include "teaselturn/Types.h"

namespace teaselturn {

/// Monotonic clock of the machine (CLOCK_MONOTONIC), in nanoseconds. Models Clock.
class SteadyClock {
public:
    Instant now() const noexcept;
};

/// Creates the id that distinguishes this start of the process from earlier ones.
/// @return The wall-clock time in microseconds.
BootId makeBootId() noexcept;

}
