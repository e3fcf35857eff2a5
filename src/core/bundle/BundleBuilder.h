#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Result.h"

#include <span>
#include <string_view>

namespace teaselturn {

/// Builds a bundle from its elements, which refer to each other by id. build() checks the result.
class BundleBuilder {
public:
    BundleBuilder& withVersion(BundleVersion version);
    BundleBuilder& addRegion(RegionId id, std::string_view name);
    BundleBuilder& addZone(ZoneId id, std::string_view name, RegionId region);
    BundleBuilder& addEntry(NodeId id, ZoneId zone, const Endpoint& peer);
    BundleBuilder& addMember(NodeId id, ZoneId zone, const Endpoint& peer);
    BundleBuilder& addService(const ServiceSpec& service);
    BundleBuilder& addOperator(std::string_view name, std::span<const std::uint8_t, 32> publicKey);
    /// @param threshold Number of operators that must sign the next bundle; 1 by default.
    BundleBuilder& withThreshold(std::uint32_t threshold);
    /// @param order All regions in the order of the rollout. By default the bundle reaches all regions at once.
    BundleBuilder& withRollout(std::span<const RegionId> order);
    BundleBuilder& retireZone(ZoneId zone);

    /// @return The bundle, or the failure of validateBundle().
    Result<Bundle> build() const;

private:
    Bundle bundle;
};

}
