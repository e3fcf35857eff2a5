#include "core/bundle/BundleRules.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace teaselturn {

namespace {

    using Finding = std::optional<Failure>;

    std::string elementPath(std::string_view array, std::size_t index, std::string_view member = {})
    {
        auto path = std::string { array } + "[" + std::to_string(index) + "]";
        return member.empty() ? path : path + "." + std::string { member };
    }

    Failure invalid(const std::string& path, std::string_view reason)
    {
        return { make_error_code(ResultCode::BundleInvalid), path + ": " + std::string { reason } };
    }

    Finding checkCount(std::string_view path, std::size_t count, std::size_t minimum, std::size_t maximum)
    {
        if (count >= minimum && count <= maximum) {
            return std::nullopt;
        }
        return invalid(std::string { path }, "has " + std::to_string(count) + " elements; allowed: " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }

    Finding checkRange(const std::string& path, std::uint64_t value, std::uint64_t minimum, std::uint64_t maximum)
    {
        if (value >= minimum && value <= maximum) {
            return std::nullopt;
        }
        return invalid(path, std::to_string(value) + " is out of range; allowed: " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }

    /// Checks that ids are nonzero, names are valid, and both are unique.
    template <typename Spec>
    Finding checkIdsAndNames(std::string_view array, const std::vector<Spec>& specs)
    {
        std::set<std::uint64_t> ids;
        std::set<std::string_view> names;
        for (std::size_t i = 0; i < specs.size(); ++i) {
            if (specs[i].id.value == 0 || !ids.insert(specs[i].id.value).second) {
                return invalid(elementPath(array, i, "id"), specs[i].id.value == 0 ? "0 is not an id" : "the id occurs twice");
            }
            if (!isBundleName(specs[i].name)) {
                return invalid(elementPath(array, i, "name"), "a name has " + std::string { bundleNameRule });
            }
            if (!names.insert(specs[i].name).second) {
                return invalid(elementPath(array, i, "name"), "the name occurs twice");
            }
        }
        return std::nullopt;
    }

    template <typename Spec, typename Id>
    bool contains(const std::vector<Spec>& specs, Id id)
    {
        return std::ranges::find(specs, id, &Spec::id) != specs.end();
    }

    Finding checkRegionsAndZones(const Bundle& bundle)
    {
        for (auto finding : { checkCount("regions", bundle.regions.size(), 1, limits::maxRegions), checkIdsAndNames("regions", bundle.regions),
                 checkCount("zones", bundle.zones.size(), 1, limits::maxZones), checkIdsAndNames("zones", bundle.zones) }) {
            if (finding) {
                return finding;
            }
        }
        for (std::size_t i = 0; i < bundle.zones.size(); ++i) {
            if (!contains(bundle.regions, bundle.zones[i].region)) {
                return invalid(elementPath("zones", i, "region"), "no such region");
            }
        }
        return std::nullopt;
    }

    /// Compares the fields of a VM that both lists, entries and members, contain. Only members have a disk identity.
    bool isSameNode(const NodeSpec& a, const NodeSpec& b)
    {
        return a.zone == b.zone && a.peer == b.peer;
    }

    /// Nodes checked so far. A VM that is both an entry VM and a member occurs in both lists.
    struct CheckedNodes {
        absl::flat_hash_set<DiskId> disks;
        absl::flat_hash_map<NodeId, const NodeSpec*> byId;
        std::map<std::pair<std::string_view, std::uint16_t>, NodeId> byPeer;
    };

    Finding checkNodes(std::string_view array, const Bundle& bundle, const std::vector<NodeSpec>& nodes, CheckedNodes& checked)
    {
        absl::flat_hash_set<NodeId> ids;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const auto& node = nodes[i];
            if (node.id.value == 0 || !ids.insert(node.id).second) {
                return invalid(elementPath(array, i, "id"), node.id.value == 0 ? "0 is not an id" : "the id occurs twice");
            }
            if (!contains(bundle.zones, node.zone)) {
                return invalid(elementPath(array, i, "zone"), "no such zone");
            }
            if (node.disk != DiskId {} && array == "entries") {
                return invalid(elementPath(array, i, "disk"), "only members have a disk identity");
            }
            if (node.peer.address.empty() || node.peer.port == 0) {
                return invalid(elementPath(array, i, "peer"), "an address and a port other than 0 are required");
            }
            if (node.disk != DiskId {} && !checked.disks.insert(node.disk).second) {
                return invalid(elementPath(array, i, "disk"), "another node has the same disk identity");
            }
            if (const auto [same, isNew] = checked.byId.emplace(node.id, &node); !isNew && !isSameNode(*same->second, node)) {
                return invalid(elementPath(array, i), "differs from the entry with the same id");
            }
            if (const auto [same, isNew] = checked.byPeer.emplace(std::pair { std::string_view { node.peer.address }, node.peer.port }, node.id); !isNew && same->second != node.id) {
                return invalid(elementPath(array, i, "peer"), "another node has the same address and port");
            }
        }
        return std::nullopt;
    }

    Finding checkService(const ServiceSpec& service, std::size_t index)
    {
        const auto path = [index](std::string_view member) { return elementPath("services", index, member); };
        for (auto finding : { checkRange(path("partitions"), service.partitions, 1, limits::maxPartitions),
                 checkRange(path("objective"), service.objectivePerMillion, limits::minObjectivePerMillion, limits::maxObjectivePerMillion),
                 checkRange(path("objectiveLatencyMs"), static_cast<std::uint64_t>(service.objectiveLatency.count()), 1, static_cast<std::uint64_t>(limits::maxDeadline.count())),
                 checkRange(path("movesPerMinute"), service.movesPerMinute, 0, limits::maxMovesPerMinute),
                 checkRange(path("retryBudgetPercent"), service.retryBudgetPercent, 0, limits::maxRetryBudgetPercent) }) {
            if (finding) {
                return finding;
            }
        }
        if (service.zoneRule != ZoneRule::Move && service.zoneRule != ZoneRule::Keep) {
            return invalid(path("zoneRule"), "no such rule");
        }
        return std::nullopt;
    }

    Finding checkServices(const Bundle& bundle)
    {
        for (auto finding : { checkCount("services", bundle.services.size(), 0, limits::maxServices), checkIdsAndNames("services", bundle.services) }) {
            if (finding) {
                return finding;
            }
        }
        std::uint64_t partitions = 0;
        for (std::size_t i = 0; i < bundle.services.size(); ++i) {
            if (auto finding = checkService(bundle.services[i], i)) {
                return finding;
            }
            partitions += bundle.services[i].partitions;
        }
        return checkRange("services", partitions, 0, limits::maxPartitions);
    }

    Finding checkOperators(const Bundle& bundle)
    {
        if (auto finding = checkCount("operators", bundle.operators.size(), 1, limits::maxOperators)) {
            return finding;
        }
        std::set<std::string_view> names;
        std::set<std::array<std::uint8_t, 32>> keys;
        for (std::size_t i = 0; i < bundle.operators.size(); ++i) {
            const auto& [name, publicKey] = bundle.operators[i];
            if (!isBundleName(name) || !names.insert(name).second) {
                return invalid(elementPath("operators", i, "name"), isBundleName(name) ? "the name occurs twice" : "a name has " + std::string { bundleNameRule });
            }
            // The same key under two names would let one operator reach a threshold of two. The all-zero key
            // is a point of small order, for which signatures can be forged.
            if (publicKey == std::array<std::uint8_t, 32> {} || !keys.insert(publicKey).second) {
                return invalid(elementPath("operators", i, "publicKey"), "the key is zero or occurs twice");
            }
        }
        return checkRange("threshold", bundle.threshold, 1, bundle.operators.size());
    }

    Finding checkRollout(const Bundle& bundle)
    {
        absl::flat_hash_set<RegionId> regions;
        for (std::size_t i = 0; i < bundle.rollout.size(); ++i) {
            if (!contains(bundle.regions, bundle.rollout[i]) || !regions.insert(bundle.rollout[i]).second) {
                return invalid(elementPath("rollout", i), "no such region, or the region occurs twice");
            }
        }
        // A region that is missing from the order would never get the bundle.
        if (!bundle.rollout.empty() && regions.size() != bundle.regions.size()) {
            return invalid("rollout", "must be empty or name every region");
        }
        return std::nullopt;
    }

    Finding checkRetiredZones(const Bundle& bundle)
    {
        absl::flat_hash_set<ZoneId> zones;
        for (std::size_t i = 0; i < bundle.retiredZones.size(); ++i) {
            if (!contains(bundle.zones, bundle.retiredZones[i]) || !zones.insert(bundle.retiredZones[i]).second) {
                return invalid(elementPath("retired", i), "no such zone, or the zone occurs twice");
            }
        }
        if (zones.size() == bundle.zones.size()) {
            return invalid("retired", "at least one zone must stay");
        }
        return std::nullopt;
    }

    /// Checks that elements with the same id in both bundles agree according to `same`.
    template <typename Spec, typename Same>
    Finding checkUnchanged(std::string_view array, const std::vector<Spec>& before, const std::vector<Spec>& after, std::string_view reason, Same same)
    {
        for (std::size_t i = 0; i < after.size(); ++i) {
            const auto previous = std::ranges::find(before, after[i].id, &Spec::id);
            if (previous != before.end() && !same(*previous, after[i])) {
                return invalid(elementPath(array, i), reason);
            }
        }
        return std::nullopt;
    }

    Status toStatus(Finding finding)
    {
        return finding ? Status { *std::move(finding) } : success();
    }

}

bool isBundleName(std::string_view name) noexcept
{
    return !name.empty() && name.size() <= limits::maxNameBytes && name.front() != '-'
        && std::ranges::all_of(name, [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; });
}

Status validateBundle(const Bundle& bundle)
{
    if (auto finding = checkRange("version", bundle.version.value, 1, limits::maxBundleVersion)) {
        return *std::move(finding);
    }
    if (auto finding = checkRegionsAndZones(bundle)) {
        return *std::move(finding);
    }
    CheckedNodes checked;
    for (auto finding : { checkCount("entries", bundle.entries.size(), 1, limits::maxEntries), checkNodes("entries", bundle, bundle.entries, checked),
             checkCount("members", bundle.members.size(), 1, limits::maxMembers), checkNodes("members", bundle, bundle.members, checked),
             checkServices(bundle), checkOperators(bundle), checkRollout(bundle) }) {
        if (finding) {
            return *std::move(finding);
        }
    }
    return toStatus(checkRetiredZones(bundle));
}

Status validateSuccessor(const Bundle& inForce, const Bundle& next)
{
    if (next.version.value <= inForce.version.value) {
        return { ResultCode::BundleOutdated, "version: " + std::to_string(next.version.value) + " is not higher than " + std::to_string(inForce.version.value) };
    }
    return validateSameIds(inForce, next);
}

Status validateSameIds(const Bundle& inForce, const Bundle& next)
{
    const auto sameZone = [](const NodeSpec& a, const NodeSpec& b) { return a.zone == b.zone; };
    for (auto finding : {
             checkUnchanged("regions", inForce.regions, next.regions, "the id belongs to a region with another name", [](const auto&a, const auto&b) { return a.name == b.name; }),
             checkUnchanged("zones", inForce.zones, next.zones, "the id belongs to a zone with another name or region", [](const auto&a, const auto&b) { return a == b; }),
             checkUnchanged("entries", inForce.entries, next.entries, "the id belongs to an entry VM in another zone", sameZone),
             checkUnchanged("members", inForce.members, next.members, "the id belongs to a member in another zone", sameZone),
             checkUnchanged("services", inForce.services, next.services, "the id belongs to a service with another name", [](const auto&a, const auto&b) { return a.name == b.name; }),
             checkUnchanged("services", inForce.services, next.services, "the number of partitions of a service may not change", [](const auto&a, const auto&b) { return a.partitions == b.partitions; }),
         }) {
        if (finding) {
            return *std::move(finding);
        }
    }
    return success();
}

}
