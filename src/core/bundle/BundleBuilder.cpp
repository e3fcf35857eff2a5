#include "core/bundle/BundleBuilder.h"

#include "core/bundle/BundleRules.h"

#include <algorithm>

namespace teaselturn {

BundleBuilder& BundleBuilder::withVersion(BundleVersion version)
{
    this->bundle.version = version;
    return *this;
}

BundleBuilder& BundleBuilder::addRegion(RegionId id, std::string_view name)
{
    this->bundle.regions.push_back({ id, std::string { name } });
    return *this;
}

BundleBuilder& BundleBuilder::addZone(ZoneId id, std::string_view name, RegionId region)
{
    this->bundle.zones.push_back({ id, std::string { name }, region });
    return *this;
}

BundleBuilder& BundleBuilder::addEntry(NodeId id, ZoneId zone, const Endpoint& peer)
{
    this->bundle.entries.push_back({ id, zone, peer });
    return *this;
}

BundleBuilder& BundleBuilder::addMember(NodeId id, ZoneId zone, const Endpoint& peer)
{
    this->bundle.members.push_back({ id, zone, peer });
    return *this;
}

BundleBuilder& BundleBuilder::addService(const ServiceSpec& service)
{
    this->bundle.services.push_back(service);
    return *this;
}

BundleBuilder& BundleBuilder::addOperator(std::string_view name, std::span<const std::uint8_t, 32> publicKey)
{
    auto& added = this->bundle.operators.emplace_back();
    added.name = name;
    std::ranges::copy(publicKey, added.publicKey.begin());
    return *this;
}

BundleBuilder& BundleBuilder::withThreshold(std::uint32_t threshold)
{
    this->bundle.threshold = threshold;
    return *this;
}

BundleBuilder& BundleBuilder::withRollout(std::span<const RegionId> order)
{
    this->bundle.rollout.assign(order.begin(), order.end());
    return *this;
}

BundleBuilder& BundleBuilder::retireZone(ZoneId zone)
{
    this->bundle.retiredZones.push_back(zone);
    return *this;
}

Result<Bundle> BundleBuilder::build() const
{
    const auto status = validateBundle(this->bundle);
    return status ? Result<Bundle> { this->bundle } : Result<Bundle> { status.failure() };
}

}
