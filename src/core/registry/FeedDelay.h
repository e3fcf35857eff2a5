#pragma once

#include "teaselturn/Types.h"

#include <chrono>

namespace teaselturn {

/// Recognizes a copy of the registry that is out of date because requests fill the link of the entry VM: a full link drops
/// the feed's datagrams. The entry VM then leaves more of the link to the feed. Deterministic; not thread-safe.
class FeedDelay {
public:
    /// The feed is delayed once the copy may lack commits of this time; most replies that are lost are repeated in time without
    /// help. A change has to be in effect 2.5 s after its acknowledgement, which leaves 0.7 s to drain the link and fetch it.
    static constexpr std::chrono::milliseconds maxAge { 1'800 };
    /// If the feed has not returned by then, the link is not the cause: no member can be reached.
    static constexpr std::chrono::milliseconds maxDelayedTime { 2'500 };
    /// Members without contact to a leader are the cause if one of them replied within this time. Members are probed every
    /// 100 ms while a reply is late.
    static constexpr std::chrono::milliseconds unavailableTime { 500 };

    /// @param lastCurrentAt Time at which the copy was last known to be current.
    /// @param lastUnavailableAt Time of the last reply of a member that has no contact to a leader.
    /// @return True if isDelayed() changed.
    bool update(Instant now, Instant lastCurrentAt, Instant lastUnavailableAt) noexcept
    {
        const auto age = now - lastCurrentAt;
        const bool before = this->delayed;
        this->delayed = age > maxAge && age <= maxAge + maxDelayedTime && now - lastUnavailableAt > unavailableTime;
        return this->delayed != before;
    }

    bool isDelayed() const noexcept { return this->delayed; }

private:
    bool delayed {};
};

}
