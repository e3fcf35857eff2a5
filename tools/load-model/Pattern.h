#pragma once

#include "teaselturn/Registry.h"
#include "teaselturn/Types.h"

#include <span>
#include <string_view>
#include <vector>

namespace teaselturn::model {

/// What disturbs a run, within a window of it.
enum class DisturbanceKind : std::uint8_t {
    /// Arrivals come `factor` times as often.
    Burst,
    /// A `share` of the requests is for `keys` keys that lie side by side.
    HotRange,
    /// A `share` of the callers return at once after a refusal, `factor` times.
    ImpatientCallers,
    /// A `share` of the upstreams work `factor` times as long.
    SlowUpstreams,
    /// Upstreams refuse a `share` of what arrives, at random.
    Shedding,
    /// A `share` of the upstreams leave one after the other; each is replaced first.
    Replacement,
};

struct Disturbance {
    DisturbanceKind kind {};
    std::chrono::milliseconds from {};
    std::chrono::milliseconds until {};
    double share {};
    double factor { 1 };
    std::uint32_t keys {};
};

/// A load that a policy has to cope with: servers, callers and what goes wrong.
struct Pattern {
    std::string_view name;
    /// One line for the tables.
    std::string_view summary;
    /// True where each key has one owner.
    bool isSharded {};
    std::uint32_t entryVms { 9 };
    std::uint32_t upstreams { 17 };
    /// Requests that an upstream runs at a time.
    std::uint32_t slots { 3 };
    /// Requests that wait at an upstream; one more is refused.
    std::uint32_t queueLength { 12 };
    double requestsPerSecond { 480 };
    /// Mean work of a request at an upstream of usual speed.
    std::chrono::milliseconds work { 80 };
    std::chrono::milliseconds targetLatency { 400 };
    std::chrono::milliseconds deadline { 1'000 };
    /// How long upstreams are slow after their start, and how much.
    std::chrono::milliseconds coldTime {};
    double coldFactor { 1 };
    /// Speed of an entry VM's network link in each direction; zero where it sets no bound.
    std::size_t linkBytesPerSecond {};
    std::size_t answerBytes { 1'500 };
    std::chrono::milliseconds duration { 12'000 };
    std::vector<Disturbance> disturbances;
};

/// @return The load patterns, in the order of the tables.
std::span<const Pattern> patterns();

/// @return The pattern, or null.
const Pattern* findPattern(std::string_view name);

}
