#pragma once

#include "teaselturn/Registry.h"
#include "teaselturn/ResultCode.h"

#include <string>
#include <vector>

/// Heartbeats of registered upstreams and the replies to them.
namespace teaselturn {

/// Keys that an upstream holds or still has unfinished requests for.
struct HeldKeys {
    KeyNumber first {};
    KeyNumber last {};
    Fence fence;

    friend bool operator==(const HeldKeys&, const HeldKeys&) = default;
};

/// Keys that an upstream released.
struct ReleasedKeys {
    KeyNumber first {};
    KeyNumber last {};
    /// Opaque token with which the next owner takes the keys over without a cold start.
    std::string handover;

    friend bool operator==(const ReleasedKeys&, const ReleasedKeys&) = default;
};

/// A heartbeat of an upstream: its announcement and the state of its keys.
struct KeyHeartbeat {
    RegisterUpstream announcement;
    /// Increases with each heartbeat of one incarnation, so that delayed heartbeats are recognised.
    std::uint64_t sequence {};
    std::vector<HeldKeys> held;
    std::vector<ReleasedKeys> released;
    /// Time until the upstream is warm, as it states. Zero if it is warm.
    Duration warmUpLeft {};
    /// Whether the heartbeat lists its keys, held and released, as all heartbeats for a sharded service do.
    bool listsKeys { true };

    friend bool operator==(const KeyHeartbeat&, const KeyHeartbeat&) = default;
};

/// Reply to a heartbeat.
struct KeyHeartbeatReply {
    /// True if the reply renews the upstream's leases and lists its grants; false if it leaves them as they are.
    bool hasGrants {};
    /// Every key range that the upstream may hold. It releases all others.
    std::vector<KeyRange> grants;
    /// Length of the lease. The upstream counts it from the time at which it sent the heartbeat.
    Duration lease {};

    friend bool operator==(const KeyHeartbeatReply&, const KeyHeartbeatReply&) = default;
};

/// @return True if the two key ranges, both inclusive, have a key in common.
constexpr bool overlaps(std::uint32_t first, std::uint32_t last, std::uint32_t otherFirst, std::uint32_t otherLast) noexcept
{
    return first <= otherLast && otherFirst <= last;
}

}
