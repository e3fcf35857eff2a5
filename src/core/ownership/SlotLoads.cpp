#include "core/ownership/SlotLoads.h"

#include <cmath>

namespace teaselturn {

void SlotLoads::clear()
{
    this->loads.clear();
    this->lastUpdatedAt = {};
}

void SlotLoads::add(std::span<const SlotLoad> summary)
{
    for (const auto& load : summary) {
        if (const auto found = this->loads.find(load.slot); found != this->loads.end()) {
            found->second.added += load.requests;
        } else if (this->loads.size() < maxLoads) {
            this->loads[load.slot].added = load.requests;
        }
    }
}

void SlotLoads::updateRates(Instant now)
{
    if (this->lastUpdatedAt == Instant {}) {
        this->lastUpdatedAt = now;
    }
    if (now < this->lastUpdatedAt + updateInterval) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - this->lastUpdatedAt;
    const auto weight = 1 - std::exp(-elapsed / std::chrono::duration<double> { smoothing });
    this->lastUpdatedAt = now;
    constexpr double negligible = 0.001; // About one request in 17 minutes.
    absl::erase_if(this->loads, [&](auto& item) {
        auto& load = item.second;
        load.rate += weight * (static_cast<double>(load.added) / elapsed.count() - load.rate);
        load.added = 0;
        return load.rate < negligible;
    });
}

double SlotLoads::rate(SlotId slot) const noexcept
{
    const auto found = this->loads.find(slot);
    return found == this->loads.end() ? 0 : found->second.rate;
}

}
