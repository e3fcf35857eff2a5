#pragma once

#include "teaselturn/Registry.h"
#include "teaselturn/Result.h"

#include <functional>
#include <string_view>

namespace teaselturn {

/// A route's target latency must be below its timeout plus this.
inline constexpr std::chrono::seconds maxTargetAboveTimeout { 60 };

/// Checks one item by itself and against the services that exist once its change is applied.
/// @param hasService Returns true if a service of that name will exist.
/// @return Success, or ItemsInvalid with the reason.
Status checkItem(const ConfigItem& item, const std::function<bool(std::string_view)>& hasService);

}
