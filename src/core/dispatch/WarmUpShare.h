#pragma once

#include "core/dispatch/DispatchTypes.h"

#include <array>
#include <cstdint>

namespace teaselturn {

/// This entry VM's share of the requests that a cold upstream tolerates. All entry VMs decide independently; their shares are
/// such that the sum over them exceeds the bound of one second with a probability of at most maxExceedance. Not
/// thread-safe.
class WarmUpShare {
public:
    /// Upper limit of the probability that all entry VMs together exceed the bound in a given second, if each has a
    /// request waiting at all times.
    static constexpr double maxExceedance = 1e-6;
    /// Number of entry VMs that is assumed until the first count arrives; the largest that is supported.
    static constexpr std::uint32_t assumedEntryCount = 200;

    /// @param options Must outlive this object.
    explicit WarmUpShare(const DispatchOptions& options) noexcept
        : options(options)
    {
    }

    /// Records a count of entry VMs from the leader. The highest of the latest counts applies, because a new leader counts
    /// only the entry VMs that have reported to it so far.
    void recordEntryCount(std::uint32_t count) noexcept;
    std::uint32_t entryCount() const noexcept;

    /// @param service A service with a warm-up.
    /// @return Requests per second that this entry VM may send to a cold upstream of the service.
    double sendsPerSecond(const ServiceItem& service) const;

private:
    /// Counts arrive twice a second, and a new leader has heard from all entry VMs after half a second.
    static constexpr std::size_t countsKept = 8;

    const DispatchOptions& options;
    std::array<std::uint32_t, countsKept> counts {};
    std::size_t recorded {};
};

}
