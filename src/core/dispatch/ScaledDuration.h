#pragma once

#include "teaselturn/Types.h"

#include <chrono>

namespace teaselturn {

/// @return The duration multiplied by the factor.
inline Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { duration } * factor);
}

}
