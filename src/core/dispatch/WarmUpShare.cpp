#include "core/dispatch/WarmUpShare.h"

#include "core/dispatch/WarmUpLimit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace teaselturn {

namespace {

    /// Chernoff bound of the sum over entry VMs whose sends are due at regular intervals with independent, uniformly
    /// distributed phases: of mean/count sends in a window, each entry VM has the integer part for certain, and one more
    /// with the probability of the fraction.
    /// @return Negative logarithm of the bound on the probability of at least `limit` sends.
    double exceedanceExponent(double mean, double count, double limit)
    {
        const auto certain = std::floor(mean / count);
        const auto chance = mean / count - certain;
        const auto share = (limit - count * certain) / count;
        if (share <= chance) {
            return 0;
        }
        if (share > 1 || chance <= 0) {
            return std::numeric_limits<double>::infinity();
        }
        const auto remainder = share < 1 ? (1 - share) * std::log((1 - share) / (1 - chance)) : 0.0;
        return count * (share * std::log(share / chance) + remainder);
    }

    /// @return The largest mean number of sends in a window with which `bound` is exceeded with a probability of at most
    /// WarmUpShare::maxExceedance.
    double largestMean(double count, double bound)
    {
        const auto limit = std::floor(bound) + 1;
        const auto exponent = -std::log(WarmUpShare::maxExceedance);
        constexpr int steps = 40;
        double low = 0;
        double high = bound;
        for (int i = 0; i < steps; ++i) {
            const auto middle = (low + high) / 2;
            (exceedanceExponent(middle, count, limit) >= exponent ? low : high) = middle;
        }
        return low;
    }

}

void WarmUpShare::recordEntryCount(std::uint32_t count) noexcept
{
    this->counts[this->recorded % countsKept] = count;
    ++this->recorded;
}

std::uint32_t WarmUpShare::entryCount() const noexcept
{
    return this->recorded == 0 ? assumedEntryCount : std::max(1U, *std::ranges::max_element(this->counts));
}

double WarmUpShare::sendsPerSecond(const ServiceItem& service) const
{
    const auto rate = service.warmUpMilliRequestsPerSecond / 1'000.0;
    const auto bound = rate * this->options.warmUpOverage + this->options.warmUpSlack;
    // The sends of one second were due in a window that is longer by the time for which a send stays due.
    const auto window = 1 + std::chrono::duration<double> { WarmUpLimit::slotValidity }.count();
    const auto count = static_cast<double>(this->entryCount());
    return std::min(rate, largestMean(count, bound) / window) / count;
}

}
