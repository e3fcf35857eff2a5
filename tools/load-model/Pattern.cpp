#include "load-model/Pattern.h"

#include <algorithm>

namespace teaselturn::model {

using std::chrono::milliseconds;

std::span<const Pattern> patterns()
{
    // 63 entry VMs with 10 to 30 requests a second each: every one of them sees a small part of an upstream's load.
    const auto many = [](std::string_view name, std::string_view summary, bool reportsLoad, std::vector<Disturbance> disturbances) {
        return Pattern { .name = name, .summary = summary, .entryVms = 63, .entrySpread = 0.5, .upstreams = 76, .speeds = { 0.5, 1, 1, 1.5 }, .reportsLoad = reportsLoad, .requestsPerSecond = 1'260, .disturbances = std::move(disturbances) };
    };
    const auto uneven = [](std::string_view name, std::string_view summary) {
        return Pattern { .name = name, .summary = summary, .isSharded = true, .entryVms = 63, .entrySpread = 0.5, .upstreams = 40, .speeds = { 0.5, 1, 1, 1.5 }, .reportsLoad = true, .requestsPerSecond = 800 };
    };
    const Disturbance momentary { DisturbanceKind::MomentarySlowness, milliseconds { 0 }, milliseconds { 12'000 }, 0.2, 3 };
    const Disturbance lasting { DisturbanceKind::SlowUpstreams, milliseconds { 4'000 }, milliseconds { 12'000 }, 0.2, 3 };
    const Disturbance burst { DisturbanceKind::Burst, milliseconds { 4'000 }, milliseconds { 6'000 }, 0, 2 };
    static const std::vector<Pattern> all {
        { .name = "burst", .summary = "twice the arrivals for two seconds, above capacity", .disturbances = { { DisturbanceKind::Burst, milliseconds { 4'000 }, milliseconds { 6'000 }, 0, 2 } } },
        { .name = "hot-range", .summary = "a third of the requests turns to 200 neighbouring keys, twice", .isSharded = true, .disturbances = { { DisturbanceKind::HotRange, milliseconds { 3'000 }, milliseconds { 7'000 }, 0.36, 1, 200 }, { DisturbanceKind::HotRange, milliseconds { 8'000 }, milliseconds { 12'000 }, 0.3, 1, 60 } } },
        { .name = "hot-key", .summary = "a fifth of the requests turns to one key", .isSharded = true, .disturbances = { { DisturbanceKind::HotRange, milliseconds { 3'000 }, milliseconds { 8'000 }, 0.2, 1, 1 } } },
        { .name = "retry-abuse", .summary = "callers return at once and often during a burst", .disturbances = { { DisturbanceKind::Burst, milliseconds { 4'000 }, milliseconds { 8'000 }, 0, 1.6 }, { DisturbanceKind::ImpatientCallers, milliseconds { 4'000 }, milliseconds { 8'000 }, 0.5, 4 } } },
        { .name = "slow-third", .summary = "a third of the upstreams works four times as long", .requestsPerSecond = 380, .disturbances = { { DisturbanceKind::SlowUpstreams, milliseconds { 3'000 }, milliseconds { 9'000 }, 0.33, 4 } } },
        { .name = "slow-owners", .summary = "a third of the owners of keys works twice as long", .isSharded = true, .requestsPerSecond = 380, .disturbances = { { DisturbanceKind::SlowUpstreams, milliseconds { 3'000 }, milliseconds { 9'000 }, 0.33, 2 } } },
        { .name = "shedding", .summary = "upstreams refuse a third of what arrives", .requestsPerSecond = 380, .disturbances = { { DisturbanceKind::Shedding, milliseconds { 3'000 }, milliseconds { 9'000 }, 0.33 } } },
        { .name = "release", .summary = "half of the owners of keys are replaced, one at a time", .isSharded = true, .requestsPerSecond = 380, .disturbances = { { DisturbanceKind::Replacement, milliseconds { 3'000 }, milliseconds { 9'000 }, 0.5 } } },
        { .name = "cold-fleet", .summary = "all upstreams start cold under full load", .coldTime = milliseconds { 4'000 }, .coldFactor = 2 },
        { .name = "narrow-link", .summary = "answers of 12 kB over links of 2 Mbit/s, in a burst", .requestsPerSecond = 150, .linkBytesPerSecond = 250'000, .responseBytes = 12'000, .disturbances = { { DisturbanceKind::Burst, milliseconds { 4'000 }, milliseconds { 7'000 }, 0, 1.8 } } },
        many("many-calm", "many entry VMs, uneven upstreams that report their load", true, {}),
        many("many-calm-silent", "many entry VMs, uneven upstreams without load reports", false, {}),
        many("many-momentary", "a fifth of the upstreams slow for 400 ms at a time, with load reports", true, { momentary }),
        many("many-momentary-silent", "a fifth of the upstreams slow for 400 ms at a time, without load reports", false, { momentary }),
        many("many-lasting", "a fifth of the upstreams turns slow for good, with load reports", true, { lasting }),
        many("many-lasting-silent", "a fifth of the upstreams turns slow for good, without load reports", false, { lasting }),
        many("many-burst", "twice the arrivals for two seconds beside momentary slowness, with load reports", true, { momentary, burst }),
        uneven("uneven-owners", "owners of keys with lasting speeds of 0.5 to 1.5"),
    };
    return all;
}

const Pattern* findPattern(std::string_view name)
{
    const auto found = std::ranges::find(patterns(), name, &Pattern::name);
    return found == patterns().end() ? nullptr : &*found;
}

}
