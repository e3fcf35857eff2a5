#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace teaselturn {

/// Limits the requests without keys to an upstream whose zone is no longer evacuated. Answers many upstreams that become
/// usable in the same moment, idle and perhaps cold: without the limit all entry VMs would send them everything at once.
/// The permitted rate rises linearly to the upstream's capacity. Deterministic; not thread-safe.
class ReturnRamp {
public:
    static constexpr std::chrono::seconds duration { 6 };

    /// @param requestsPerSecond Rate of this entry VM that is permitted at the end.
    /// @param offset In [0, 1); delays the first request. It differs between entry VMs, which would otherwise send their
    /// first requests at the same moment.
    ReturnRamp(Instant start, double requestsPerSecond, double offset) noexcept
        : start(start)
        , requestsPerSecond(requestsPerSecond)
        , offset(offset)
    {
    }

    Instant end() const noexcept { return this->start + duration; }

    /// @return Permitted part of the final rate, from 0 to 1.
    double share(Instant now) const noexcept
    {
        return std::clamp(std::chrono::duration<double> { now - this->start } / std::chrono::duration<double> { duration }, 0.0, 1.0);
    }

    /// @return True if one more request may be sent now.
    bool mayTake(Instant now) const noexcept
    {
        if (now >= this->end()) {
            return true;
        }
        // The integral of the rate since the start.
        const auto seconds = std::chrono::duration<double> { now - this->start }.count();
        const auto permitted = this->requestsPerSecond * this->share(now) * seconds / 2;
        return permitted > this->sent + this->offset;
    }

    void recordSent() noexcept { ++this->sent; }

private:
    Instant start;
    double requestsPerSecond;
    double offset;
    std::uint32_t sent {};
};

}
