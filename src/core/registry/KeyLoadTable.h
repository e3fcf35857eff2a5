#pragma once

#include "teaselturn/Message.h"
#include "teaselturn/Registry.h"

#include <span>
#include <vector>

namespace teaselturn {

/// Exponentially decaying load of every key of one service, as reported by entry VMs. Not thread-safe.
class KeyLoadTable {
public:
    KeyLoadTable()
        : requests(keyNumberCount)
    {
    }

    /// Adds reported requests, spread evenly over the keys of each range. Ignores ranges that end before they begin.
    void add(std::span<const KeyLoad> loads);

    /// Decays all loads.
    /// @param elapsed Time since the last call.
    void decay(Duration elapsed);

    /// @return Weight of each key: about its number of requests in the last decayTime.
    std::span<const float> weights() const noexcept { return this->requests; }

    /// Time constant of the decay: load falls to 1/e, about a third. Hot keys change within seconds, and half a second
    /// of load of one upstream is a handful of requests, too few for a decision.
    static constexpr std::chrono::seconds decayTime { 2 };

private:
    std::vector<float> requests;
};

}
