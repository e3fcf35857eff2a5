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
    /// Lasting speeds, assigned to the upstreams in turn. If empty, each upstream's speed is drawn from 0.75 to 1.25.
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
};

/// @return All load patterns, in the order in which they are reported.
std::span<const Pattern> patterns();

/// @return The pattern of that name, or null.
const Pattern* findPattern(std::string_view name);

}
