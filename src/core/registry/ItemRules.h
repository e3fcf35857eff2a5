#pragma once

#include "teaselturn/Registry.h"
#include "teaselturn/Result.h"

#include <chrono>

namespace teaselturn {

/// A route's target latency must be below its timeout plus this.
inline constexpr std::chrono::seconds maxTargetAboveTimeout { 60 };

/// Checks one item by itself, whatever other items there are.
/// @return Success, or ItemsInvalid with the reason.
Status checkItem(const ConfigItem& item);

}
