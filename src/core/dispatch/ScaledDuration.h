#pragma once

#include "teaselturn/Types.h"

#include <chrono>

namespace teaselturn {

/// @return The length times the factor.
inline Duration scaled(Duration length, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { length } * factor);
}

}
