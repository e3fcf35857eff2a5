#include "load-model/Pattern.h"

#include <algorithm>

namespace teaselturn::model {

using std::chrono::milliseconds;

namespace {

    Pattern smallLoad(std::string_view name, std::string_view summary, WorkDistribution distribution, milliseconds work, double spread, double load)
    {
        Pattern pattern { .name = name, .summary = summary, .entryVms = 2, .upstreams = 3, .slots = 16, .queueLength = 16 };
        pattern.work = work;
        pattern.targetLatency = std::chrono::duration_cast<milliseconds>(work * (1 + spread) * 1.2);
        pattern.deadline = 5 * work;
        pattern.workDistribution = distribution;
        pattern.workSpread = spread;
        pattern.minSpeed = 1;
        pattern.maxSpeed = 1;
        pattern.saturationSlowdown = 0;
        pattern.keepsDeadline = true;
        pattern.requestsPerSecond = load * pattern.upstreams * pattern.slots / std::chrono::duration<double> { work }.count();
        return pattern;
    }

    Pattern missedTarget(std::string_view name, std::string_view summary)
    {
        auto pattern = smallLoad(name, summary, WorkDistribution::Constant, milliseconds { 1'500 }, 0, 0.8);
        pattern.targetLatency = milliseconds { 1'000 };
        return pattern;
    }

    /// 68 entry VMs and 96 upstreams; capacity is about 1,300 requests a second.
    Pattern silentLoad(std::string_view name, std::string_view summary, double requestsPerSecond, RequestKind kind, std::vector<Disturbance> disturbances)
    {
        Pattern pattern { .name = name, .summary = summary, .entryVms = 68, .upstreams = 96, .slots = 4, .queueLength = 16, .requestsPerSecond = requestsPerSecond };
        pattern.work = milliseconds { 270 };
        pattern.targetLatency = milliseconds { 1'000 };
        pattern.deadline = milliseconds { 4'000 };
        pattern.duration = milliseconds { 16'000 };
        pattern.disturbances = std::move(disturbances);
        pattern.workDistribution = WorkDistribution::LongTail;
        pattern.minSpeed = 0.5;
        pattern.maxSpeed = 1.7;
        pattern.saturationSlowdown = 0.1;
        pattern.isSilentWhenFull = true;
        pattern.kind = kind;
        pattern.keepsDeadline = true;
        return pattern;
    }

    /// Upstreams whose queue holds as many requests as their slots.
    Pattern shortQueue(Pattern pattern)
    {
        pattern.queueLength = pattern.slots;
        return pattern;
    }

    Pattern silentOwners(std::string_view name, std::string_view summary, std::vector<Disturbance> disturbances, RequestKind kind = RequestKind::Idempotent)
    {
        auto pattern = silentLoad(name, summary, 900, kind, std::move(disturbances));
        pattern.isSharded = true;
        pattern.upstreams = 141;
        return pattern;
    }

    /// @param peak Offered load at the peak of the waves, as a fraction of capacity.
    Pattern waves(std::string_view name, std::string_view summary, double peak)
    {
        Pattern pattern { .name = name, .summary = summary, .entryVms = 16, .upstreams = 24, .slots = 4, .queueLength = 16 };
        pattern.routes = {
            { "lookups", 0.4, RequestKind::Idempotent, 2, milliseconds { 270 }, milliseconds { 1'000 }, milliseconds { 4'000 }, 1 },
            { "orders", 0.25, RequestKind::AtMostOnce, 1, milliseconds { 360 }, milliseconds { 1'200 }, milliseconds { 5'000 }, 2 },
            { "entries", 0.2, RequestKind::AtMostOnce, 0, milliseconds { 200 }, milliseconds { 1'000 }, milliseconds { 3'000 }, 3 },
            { "searches", 0.15, RequestKind::Idempotent, 1, milliseconds { 110 }, milliseconds { 600 }, milliseconds { 2'000 }, 2 },
        };
        constexpr double meanWork = 0.4 * 0.27 + 0.25 * 0.36 + 0.2 * 0.2 + 0.15 * 0.11;
        // The peaks of the groups do not coincide, which leaves 0.653 of the amplitude in the sum.
        constexpr double peakFactor = 1 + 0.55 * 0.653;
        constexpr double saturationSlowdown = 0.1;
        pattern.requestsPerSecond = peak / peakFactor * pattern.upstreams * pattern.slots / (meanWork * (1 + saturationSlowdown));
        pattern.waveShare = 0.55;
        pattern.linkBytesPerSecond = 187'500;
        pattern.largeLinkFactor = 3;
        pattern.responseBytes = 3'000;
        pattern.duration = milliseconds { 34'000 };
        pattern.workDistribution = WorkDistribution::LongTail;
        pattern.minSpeed = 0.5;
        pattern.maxSpeed = 1.7;
        pattern.saturationSlowdown = saturationSlowdown;
        pattern.isSilentWhenFull = true;
        pattern.keepsDeadline = true;
        return pattern;
    }

}

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
        // Few entry VMs and upstreams at a fixed load from the first request on.
        smallLoad("constant-work-40", "constant work of 1.5 s at 0.4 of capacity", WorkDistribution::Constant, milliseconds { 1'500 }, 0, 0.4),
        smallLoad("constant-work-80", "constant work of 1.5 s at 0.8 of capacity", WorkDistribution::Constant, milliseconds { 1'500 }, 0, 0.8),
        smallLoad("varied-work-40", "work of 0.5 to 2.5 s at 0.4 of capacity", WorkDistribution::Uniform, milliseconds { 1'500 }, 2.0 / 3, 0.4),
        smallLoad("varied-work-80", "work of 0.5 to 2.5 s at 0.8 of capacity", WorkDistribution::Uniform, milliseconds { 1'500 }, 2.0 / 3, 0.8),
        smallLoad("short-work-40", "work of 0.05 to 0.25 s at 0.4 of capacity", WorkDistribution::Uniform, milliseconds { 150 }, 2.0 / 3, 0.4),
        smallLoad("short-work-80", "work of 0.05 to 0.25 s at 0.8 of capacity", WorkDistribution::Uniform, milliseconds { 150 }, 2.0 / 3, 0.8),
        missedTarget("missed-target-80", "work of 1.5 s with a target latency of 1 s at 0.8 of capacity"),
        // Upstreams that never respond to what they cannot queue.
        silentLoad("silent-full", "arrivals above capacity for four seconds at silent upstreams", 1'150, RequestKind::Idempotent, { { DisturbanceKind::Burst, milliseconds { 6'000 }, milliseconds { 10'000 }, 0, 1.5 } }),
        silentLoad("silent-full-once", "the same with requests that run at most once", 1'150, RequestKind::AtMostOnce, { { DisturbanceKind::Burst, milliseconds { 6'000 }, milliseconds { 10'000 }, 0, 1.5 } }),
        silentLoad("silent-slow", "a third of silent upstreams works four times as long, none is full", 500, RequestKind::Idempotent, { { DisturbanceKind::SlowUpstreams, milliseconds { 4'000 }, milliseconds { 12'000 }, 0.33, 4 } }),
        silentLoad("silent-partition", "a tenth of the upstreams is unreachable", 700, RequestKind::Idempotent, { { DisturbanceKind::Partition, milliseconds { 4'000 }, milliseconds { 12'000 }, 0.1 } }),
        silentLoad("silent-slow-full", "a third of silent upstreams works four times as long under full load", 1'150, RequestKind::Idempotent, { { DisturbanceKind::SlowUpstreams, milliseconds { 4'000 }, milliseconds { 12'000 }, 0.33, 4 } }),
        silentLoad("silent-shedding", "upstreams never respond to an eighth of what arrives", 700, RequestKind::Idempotent, { { DisturbanceKind::Shedding, milliseconds { 2'000 }, milliseconds { 16'000 }, 0.125 } }),
        silentOwners("silent-owners-shedding", "owners never respond to an eighth of what arrives", { { DisturbanceKind::Shedding, milliseconds { 2'000 }, milliseconds { 16'000 }, 0.125 } }),
        silentOwners("silent-owners", "hot keys at silent owners", { { DisturbanceKind::HotRange, milliseconds { 4'000 }, milliseconds { 12'000 }, 0.25, 1, 40 } }),
        silentOwners("silent-owners-partition", "a tenth of silent owners is unreachable", { { DisturbanceKind::Partition, milliseconds { 4'000 }, milliseconds { 12'000 }, 0.1 } }),
        shortQueue(silentLoad("silent-short-once", "arrivals above capacity at silent upstreams with a queue of four", 1'150, RequestKind::AtMostOnce, { { DisturbanceKind::Burst, milliseconds { 6'000 }, milliseconds { 10'000 }, 0, 1.5 } })),
        shortQueue(silentOwners("silent-owners-short-once", "hot keys at silent owners with a queue of four, at most once", { { DisturbanceKind::HotRange, milliseconds { 4'000 }, milliseconds { 12'000 }, 0.25, 1, 40 } }, RequestKind::AtMostOnce)),
        // Demand in waves over four routes of one service, at entry VMs of two sizes.
        waves("waves-80", "waves of 55 %, 0.8 of capacity at the peak", 0.8),
        waves("waves-110", "waves of 55 %, 1.1 of capacity at the peak", 1.1),
        waves("waves-140", "waves of 55 %, 1.4 of capacity at the peak", 1.4),
    };
    return all;
}

const Pattern* findPattern(std::string_view name)
{
    const auto found = std::ranges::find(patterns(), name, &Pattern::name);
    return found == patterns().end() ? nullptr : &*found;
}

}
