#pragma once

#include "teaselturn/Message.h"
#include "teaselturn/Registry.h"

#include <span>
#include <vector>

namespace teaselturn {

/// Load of every key of one service as entry VMs report it, with older load fading away. Not thread-safe.
class KeyLoadTable {
public:
    KeyLoadTable()
        : requests(keyNumberCount)
    {
    }

    void add(std::span<const KeyLoad> loads);

    /// Lets the load fade.
    /// @param elapsed Time since the last call.
    void fade(Duration elapsed);

    /// @return Weight of each key: its requests in about the last fadeTime.
    std::span<const float> weights() const noexcept { return this->requests; }

    /// Time in which load fades to a third. Hot keys change within seconds, and half a second of load of one upstream is
    /// a handful of requests, which is too few to judge by.
    static constexpr std::chrono::seconds fadeTime { 2 };

private:
    std::vector<float> requests;
};

}
