#pragma once

#include "core/dispatch/DispatchTables.h"

namespace teaselturn {

/// This entry VM's share of the request slots of the services without keys. Admission, queue and placement read it, so that
/// they agree on how much can be sent.
class CapacityEstimate {
public:
    /// @param upstreams Must outlive this object.
    explicit CapacityEstimate(const UpstreamTable& upstreams) noexcept
        : upstreams(upstreams)
    {
    }

    /// @param count Entry VMs that share upstreams; at least 1.
    void setEntryCount(std::uint32_t count) noexcept
    {
        this->entryVmCount = std::max(1U, count);
        this->isEntryCountKnown = true;
    }
    bool knowsEntryCount() const noexcept { return this->isEntryCountKnown; }
    std::uint32_t entryCount() const noexcept { return this->entryVmCount; }

    /// @return This entry VM's share of the request slots of a service that is not sharded.
    double slotShare(const DispatchService& service) const
    {
        double slots = 0;
        for (const auto& key : service.upstreams) {
            const auto* upstream = this->upstreams.find(key);
            slots += upstream != nullptr && upstream->state == UpstreamState::Ready ? std::max(1U, upstream->announcement.requestSlots) : 0;
        }
        return std::max(1.0, slots * this->share());
    }

    /// @return This entry VM's share of one upstream's request slots; zero while the number of entry VMs is unknown, so that
    /// many that start together do not each take all slots.
    double slotShare(const RegisterUpstream& announcement) const noexcept { return this->isEntryCountKnown ? std::max(1U, announcement.requestSlots) * this->share() : 0; }

    /// @return Limit of this entry VM's requests in flight to a service that is not sharded.
    double inFlightLimit(const DispatchService& service) const { return std::max(2.0, this->slotShare(service) * inFlightPerSlot); }

private:
    /// Requests in flight for each slot of a service that is not sharded, summed over all entry VMs. One request that
    /// waits at the upstream keeps the slot busy between two requests; more only fill the upstream's queue.
    static constexpr double inFlightPerSlot = 2.0;
    /// Load differs between entry VMs, so each may use more than an equal share of the slots by this factor.
    static constexpr double unevenShareFactor = 1.5;

    double share() const noexcept { return std::min(1.0, unevenShareFactor / this->entryVmCount); }

    const UpstreamTable& upstreams;
    std::uint32_t entryVmCount { 1 };
    bool isEntryCountKnown {};
};

}
