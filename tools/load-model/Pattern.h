#pragma once

#include "teaselturn/Registry.h"
#include "teaselturn/Types.h"

#include <span>
#include <string_view>
#include <vector>

namespace teaselturn::model {

/// The kinds of disturbance. Each applies during a time window of the run.
enum class DisturbanceKind : std::uint8_t {
    /// The arrival rate is multiplied by `factor`.
    Burst,
    /// A `share` of the requests is for a range of `keys` adjacent keys.
    HotRange,
    /// A `share` of the callers retry immediately after a refusal, up to `factor` times.
    ImpatientCallers,
    /// The service time of a `share` of the upstreams is multiplied by `factor`.
    SlowUpstreams,
    /// Upstreams refuse a random `share` of the requests.
    Shedding,
    /// A `share` of the upstreams leave one after the other; the replacement of each starts before it drains.
    Replacement,
    /// At any moment a `share` of the upstreams takes `factor` times as long, each for 400 ms at a time.
    MomentarySlowness,
    /// A `share` of the upstreams receive no requests, and never respond to those sent to them.
    Partition,
};

/// How the work of a request varies around its mean.
enum class WorkDistribution : std::uint8_t {
    /// Rarely much shorter than the mean, sometimes twice as long.
    Gamma,
    Constant,
    /// Uniform within `Pattern::workSpread` of the mean, as a fraction of it.
    Uniform,
    /// As Gamma, but 3 requests in 100 take seven times as long.
    LongTail,
};

/// A part of the requests of a pattern that has a route of its own.
struct RouteLoad {
    std::string_view name;
    /// Fraction of the pattern's requests.
    double share {};
    RequestKind kind { RequestKind::Idempotent };
    std::uint32_t priority { 1 };
    std::chrono::milliseconds work {};
    std::chrono::milliseconds targetLatency {};
    std::chrono::milliseconds deadline {};
    /// Worth of a response within the target latency; a later one has 0.3 of it.
    double value { 1 };
};

struct Disturbance {
    DisturbanceKind kind {};
    std::chrono::milliseconds from {};
    std::chrono::milliseconds until {};
    double share {};
    double factor { 1 };
    std::uint32_t keys {};
};

/// A load scenario: upstreams, callers and disturbances.
struct Pattern {
    std::string_view name;
    /// One-line description.
    std::string_view summary;
    /// True if each key is owned by one upstream.
    bool isSharded {};
    std::uint32_t entryVms { 9 };
    /// Arrival rates of the entry VMs range evenly from (1 - entrySpread) to (1 + entrySpread) times their mean.
    double entrySpread {};
    std::uint32_t upstreams { 17 };
    /// Requests that an upstream runs concurrently.
    std::uint32_t slots { 3 };
    /// Lasting speeds, assigned to the upstreams in turn. If empty, each upstream's speed is drawn from minSpeed to maxSpeed.
    std::vector<double> speeds;
    /// True if upstreams state their load in responses.
    bool reportsLoad {};
    /// Queue capacity of an upstream; it refuses requests beyond it.
    std::uint32_t queueLength { 12 };
    double requestsPerSecond { 480 };
    /// Mean service time of a request at an upstream of speed 1.
    std::chrono::milliseconds work { 80 };
    std::chrono::milliseconds targetLatency { 400 };
    std::chrono::milliseconds deadline { 1'000 };
    /// Time after its start in which an upstream is cold; its service times are multiplied by coldFactor then.
    std::chrono::milliseconds coldTime {};
    double coldFactor { 1 };
    /// Bandwidth of an entry VM's network link in each direction; 0 means unlimited.
    std::size_t linkBytesPerSecond {};
    std::size_t responseBytes { 1'500 };
    std::chrono::milliseconds duration { 12'000 };
    std::vector<Disturbance> disturbances;
    WorkDistribution workDistribution { WorkDistribution::Gamma };
    double workSpread {};
    /// Bounds of the upstreams' lasting speeds, used if `speeds` is empty.
    double minSpeed { 0.75 };
    double maxSpeed { 1.25 };
    /// Relative increase of the service time as the slots fill up, approached when all are busy.
    double saturationSlowdown { 0.4 };
    /// True if upstreams never respond to a request that they cannot queue, instead of refusing it.
    bool isSilentWhenFull {};
    RequestKind kind { RequestKind::Idempotent };
    /// The arrivals at each of four groups of entry VMs vary by this fraction, in waves of `wavePeriod`. The peak reaches
    /// each group an eighth of the period after the one before.
    double waveShare {};
    std::chrono::milliseconds wavePeriod { 17'000 };
    /// True if callers keep the deadline of their first attempt, and wait at most a third of the time left before a retry.
    /// Otherwise each attempt has a deadline of its own.
    bool keepsDeadline {};
    /// Every fourth entry VM has a link of this multiple of `linkBytesPerSecond`.
    double largeLinkFactor { 1 };
    /// If not empty, replaces the pattern's own work, target latency, deadline and kind.
    std::vector<RouteLoad> routes;
};

/// @return All load patterns, in the order in which they are reported.
std::span<const Pattern> patterns();

/// @return The pattern of that name, or null.
const Pattern* findPattern(std::string_view name);

}
