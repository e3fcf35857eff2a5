#include "core/registry/ItemRules.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace teaselturn {

namespace {

    Status invalid(const ConfigItem& item, std::string_view reason)
    {
        return { ResultCode::ItemsInvalid, item.name + ": " + std::string { reason } };
    }

    Status checkRoute(const ConfigItem& item, const RouteItem& route)
    {
        if (route.host.empty()) {
            return invalid(item, "the host is empty");
        }
        if (!route.pathPrefix.starts_with('/')) {
            return invalid(item, "the path prefix does not begin with a slash");
        }
        if (route.timeout <= Duration::zero()) {
            return invalid(item, "the timeout is not positive");
        }
        if (route.targetLatency >= route.timeout + maxTargetAboveTimeout) {
            return invalid(item, "the target latency is far above the timeout");
        }
        if (route.shares.empty()) {
            return invalid(item, "no service is named");
        }
        const auto hasWeight = std::ranges::any_of(route.shares, [](const TrafficShare& share) { return share.weight > 0; });
        return hasWeight ? success() : invalid(item, "every weight is zero");
    }

}

Status checkItem(const ConfigItem& item)
{
    if (item.name.empty()) {
        return invalid(item, "an item has no name");
    }
    const auto* route = std::get_if<RouteItem>(&item.content);
    return route != nullptr ? checkRoute(item, *route) : success();
}

}
