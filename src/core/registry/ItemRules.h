#pragma once

#include "teaselturn/Registry.h"
#include "teaselturn/Result.h"

#include <functional>
#include <string_view>

namespace teaselturn {

/// Most that a route's target latency may lie above its timeout.
inline constexpr std::chrono::seconds maxTargetAboveTimeout { 60 };

/// Checks one item by itself and against the services that there are once its change is in force.
/// @param hasService Tells whether a service of that name will be there.
/// @return Success, or ItemsInvalid with what is wrong.
Status checkItem(const ConfigItem& item, const std::function<bool(std::string_view)>& hasService);

}
