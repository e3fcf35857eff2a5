#pragma once

#include "core/dispatch/DispatchTables.h"

namespace teaselturn {

/// This entry VM's share of the request slots of the services without keys. Admission, queue and placement read it, so that
/// they agree on how much can be sent. Only the upstreams that a request may use count for it.
class CapacityEstimate {
public:
    /// Load differs between entry VMs, so each may use more than an equal share of the slots by this factor.
    static constexpr double unevenShareFactor = 1.5;

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

    /// @param regions Regions that may serve the request.
    /// @return This entry VM's share of the request slots of a service that is not sharded.
    double slotShare(Instant now, const DispatchService& service, RegionSet regions) const
    {
        double slots = 0;
        for (const auto& key : service.upstreams) {
            const auto* upstream = this->upstreams.find(key);
            if (upstream != nullptr && upstream->state == UpstreamState::Ready && isUsable(*upstream, regions)) {
                slots += std::max(1U, upstream->announcement.requestSlots) * (upstream->returnRamp ? upstream->returnRamp->share(now) : 1.0);
            }
        }
        return std::max(1.0, slots * this->share());
    }

    /// @return Requests of this entry VM in flight in these regions to a service that is not sharded.
    int inFlight(const DispatchService& service, RegionSet regions) const
    {
        int elsewhere = 0;
        for (const auto& key : service.upstreams) {
            const auto* upstream = this->upstreams.find(key);
            elsewhere += upstream != nullptr && !isUsable(*upstream, regions) ? upstream->load.inFlight() : 0;
        }
        return std::max(0, service.inFlight - elsewhere);
    }

    /// @return True if the limit of this entry VM's requests in flight to a service that is not sharded permits another one.
    bool hasRoom(Instant now, const DispatchService& service, RegionSet regions) const
    {
        // Requests that were probably dropped use no slot. If they counted, slots would stay empty until their deadlines.
        const auto dropped = service.suspicion.isSilent(now) ? service.suspicion.overdueCount() : 0;
        return this->inFlight(service, regions) - dropped < std::max(2.0, this->slotShare(now, service, regions) * service.inFlightPerSlot.value());
    }
    /// @return This entry VM's share of one upstream's request slots; zero while the number of entry VMs is unknown, so that
    /// many that start together do not each take all slots.
    double slotShare(const RegisterUpstream& announcement) const noexcept { return this->isEntryCountKnown ? std::max(1U, announcement.requestSlots) * this->share() : 0; }

private:
    static bool isUsable(const DispatchUpstream& upstream, RegionSet regions) noexcept { return !upstream.evacuatedSince && regions.overlaps(upstream.region); }

    double share() const noexcept { return std::min(1.0, unevenShareFactor / this->entryVmCount); }

    const UpstreamTable& upstreams;
    std::uint32_t entryVmCount { 1 };
    bool isEntryCountKnown {};
};

}
