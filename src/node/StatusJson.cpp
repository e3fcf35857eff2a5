#include "node/StatusJson.h"

#include "adapters/crypto/Hex.h"
#include "adapters/settings/BundleReader.h"
#include "core/routing/RouteTable.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace teaselturn {

namespace {

    using nlohmann::json;

    json versionOrNull(const SignedBundle* bundle)
    {
        return bundle == nullptr ? json {} : json(bundle->bundle.version.value);
    }

    json describeBundles(const OwnershipState& state, RegionId region)
    {
        const auto* inForce = state.bundleInForce(region);
        return { { "accepted", versionOrNull(state.acceptedBundle()) }, { "inForce", versionOrNull(inForce) },
            { "digest", inForce == nullptr ? json {} : json(encodeHex(inForce->digest)) } };
    }

    json describeSlots(const OwnershipState& state)
    {
        std::size_t total = state.hotKeyCount();
        if (const auto* accepted = state.acceptedBundle()) {
            for (const auto& service : accepted->bundle.services) {
                total += state.partitions(service.id).size();
            }
        }
        return { { "total", total }, { "unowned", state.freeSlots().size() } };
    }

    std::size_t countUpstreams(const OwnershipState& state)
    {
        std::size_t count = 0;
        state.forEachUpstream([&count](const UpstreamRecord&) { ++count; });
        return count;
    }

    std::string zoneName(const OwnershipState& state, ZoneId zone)
    {
        const auto* accepted = state.acceptedBundle();
        if (accepted == nullptr) {
            return {};
        }
        const auto found = std::ranges::find(accepted->bundle.zones, zone, &ZoneSpec::id);
        return found == accepted->bundle.zones.end() ? std::string {} : found->name;
    }

    json describeOwner(const OwnershipState& state, UpstreamId owner)
    {
        const auto* record = state.findUpstream(owner);
        if (record == nullptr) {
            return {};
        }
        const auto& attachment = record->attachment;
        return { { "name", attachment.name }, { "id", record->id.value }, { "session", record->session.value },
            { "address", attachment.endpoint.address + ":" + std::to_string(attachment.endpoint.port) },
            { "zone", zoneName(state, attachment.zone) }, { "steward", attachment.leaseManager.value } };
    }

    json describeDelegation(const NodeStatus& nodeStatus)
    {
        if (!nodeStatus.entry) {
            return {};
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(nodeStatus.entry->delegationLeft).count();
        return { { "valid", left > 0 }, { "remainingMs", std::max<std::int64_t>(0, left) } };
    }

}

std::string writeStatus(const NodeStatus& nodeStatus, const OwnershipState& state, RegionId region)
{
    json roles = json::array();
    if (nodeStatus.entry) {
        roles.push_back("entry");
    }
    if (nodeStatus.ledger) {
        roles.push_back("ledger");
    }
    json members = json::array();
    for (const auto& member : state.members()) {
        members.push_back({ { "node", member.node.value }, { "voter", member.voter } });
    }
    const auto leader = nodeStatus.ledger ? nodeStatus.ledger->leader : nodeStatus.entry ? nodeStatus.entry->leader
                                                                                         : NodeId {};
    const json status {
        { "node", nodeStatus.node.value },
        { "zone", nodeStatus.zone },
        { "region", nodeStatus.region },
        { "roles", roles },
        { "boot", nodeStatus.boot.value },
        { "leader", leader == NodeId {} ? json {} : json(leader.value) },
        { "term", nodeStatus.ledger ? nodeStatus.ledger->term.value : 0 },
        { "commitIndex", std::max(nodeStatus.ledger ? nodeStatus.ledger->commitIndex.value : 0, state.appliedIndex().value) },
        { "appliedIndex", state.appliedIndex().value },
        { "bundle", describeBundles(state, region) },
        { "rolloutStage", state.rolloutStage() },
        { "delegation", describeDelegation(nodeStatus) },
        { "behind", nodeStatus.entry && nodeStatus.entry->isBehind },
        { "upstreams", countUpstreams(state) },
        { "slots", describeSlots(state) },
        { "disk", nodeStatus.ledger ? json(formatDiskId(nodeStatus.ledger->disk)) : json {} },
        { "members", members },
    };
    return status.dump();
}

Result<std::string> writeOwner(const OwnershipState& state, RegionId region, std::string_view service, std::string_view key)
{
    const auto* inForce = state.bundleInForce(region);
    const auto* services = inForce == nullptr ? nullptr : &inForce->bundle.services;
    const auto spec = services == nullptr ? std::vector<ServiceSpec>::const_iterator {} : std::ranges::find(*services, service, &ServiceSpec::name);
    if (services == nullptr || spec == services->end() || state.partitions(spec->id).empty()) {
        return { ResultCode::RequestServiceUnknown, std::string { service } };
    }
    const auto partitions = state.partitions(spec->id);
    SlotId slot { spec->id, static_cast<std::uint32_t>(hashKey(key) % partitions.size()) };
    const auto* record = &partitions[slot.index];
    if (const auto* hotKey = state.findHotKey(spec->id, key)) {
        slot = hotKey->slot;
        record = &hotKey->record;
    }
    const json owner { { "service", service }, { "key", key }, { "slot", slot.index }, { "fence", record->fence.value }, { "owner", describeOwner(state, record->owner) } };
    return owner.dump(-1, ' ', false, json::error_handler_t::replace);
}

RegionId findRegion(const OwnershipState& state, std::string_view name)
{
    const auto* accepted = state.acceptedBundle();
    if (accepted == nullptr) {
        return {};
    }
    const auto found = std::ranges::find(accepted->bundle.regions, name, &RegionSpec::name);
    return found == accepted->bundle.regions.end() ? RegionId {} : found->id;
}

}
