#pragma once

#include "teaselturn/Registry.h"
#include "teaselturn/ResultCode.h"

#include <string>
#include <vector>

/// What upstreams of the registry say of themselves, and what they are told.
namespace teaselturn {

/// Keys that an upstream holds, or still works on.
struct HeldKeys {
    KeyNumber first {};
    KeyNumber last {};
    Fence fence;

    friend bool operator==(const HeldKeys&, const HeldKeys&) = default;
};

/// Keys that an upstream gave up.
struct ReleasedKeys {
    KeyNumber first {};
    KeyNumber last {};
    /// Lets the next owner take the keys over without a cold start.
    std::string handover;

    friend bool operator==(const ReleasedKeys&, const ReleasedKeys&) = default;
};

/// An announcement of an upstream.
struct KeyHeartbeat {
    RegisterUpstream announcement;
    /// Grows with each heartbeat of one start, so that one that was held up is recognised.
    std::uint64_t sequence {};
    std::vector<HeldKeys> held;
    std::vector<ReleasedKeys> released;

    friend bool operator==(const KeyHeartbeat&, const KeyHeartbeat&) = default;
};

/// Answer to a heartbeat.
struct KeyHeartbeatReply {
    /// True where the answer grants keys; without it the upstream's leases are not renewed.
    bool hasGrants {};
    /// Every key range that the upstream may hold. It releases the others.
    std::vector<KeyRange> grants;
    /// Length of the lease, counted by the upstream from when it sent the heartbeat.
    Duration lease {};

    friend bool operator==(const KeyHeartbeatReply&, const KeyHeartbeatReply&) = default;
};

/// @return True where the two spans of keys share a key.
constexpr bool overlaps(std::uint32_t first, std::uint32_t last, std::uint32_t otherFirst, std::uint32_t otherLast) noexcept
{
    return first <= otherLast && otherFirst <= last;
}

}
