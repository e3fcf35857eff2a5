#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Result.h"

#include <span>
#include <string_view>

namespace teaselturn {

/// Builds a bundle member by member. Every reference is by id; build() checks them.
class BundleBuilder {
public:
    BundleBuilder& withVersion(BundleVersion version);
    BundleBuilder& addRegion(RegionId id, std::string_view name);
    BundleBuilder& addZone(ZoneId id, std::string_view name, RegionId region);
    BundleBuilder& addEntry(NodeId id, ZoneId zone, const Endpoint& peer);
    BundleBuilder& addMember(NodeId id, ZoneId zone, const Endpoint& peer);
    BundleBuilder& addService(const ServiceSpec& service);
    BundleBuilder& addOperator(std::string_view name, std::span<const std::uint8_t, 32> publicKey);
    /// @param threshold Number of operators that must sign the next bundle; 1 where it is not set.
    BundleBuilder& withThreshold(std::uint32_t threshold);
    /// @param order Every region in the order of the rollout; all at once where it is not set.
    BundleBuilder& withRollout(std::span<const RegionId> order);
    BundleBuilder& retireZone(ZoneId zone);

    /// @return The bundle, or what validateBundle found.
    Result<Bundle> build() const;

private:
    Bundle bundle;
};

}
