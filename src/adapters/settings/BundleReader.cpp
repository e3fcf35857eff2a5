#include "adapters/settings/BundleReader.h"

#include "adapters/crypto/Hex.h"
#include "adapters/settings/IpNumber.h"
#include "core/bundle/BundleRules.h"

#include <algorithm>
#include <array>
#include <limits>

namespace teaselturn {

namespace {

    using nlohmann::json;

    template <typename Id>
    Id readId(ObjectReader& reader)
    {
        using Representation = typename Id::Representation;
        const auto value = reader.integer("id", Presence::Required, 1, std::numeric_limits<Representation>::max());
        return { static_cast<Representation>(value.value_or(0)) };
    }

    std::string readName(ObjectReader& reader, std::string_view member)
    {
        auto name = reader.text(member, Presence::Required).value_or("");
        if (!name.empty() && !isBundleName(name)) {
            reader.problemList().add(ProblemKind::InvalidValue, reader.pathOf(member), describeJson(name), std::string { bundleNameRule });
        }
        return name;
    }

    /// Looks up a zone or region by name.
    /// @return Its id. If there is none, zero, and a problem is added unless the name is empty, because an empty name
    /// has already been reported.
    template <typename Spec>
    decltype(Spec::id) resolve(const std::vector<Spec>& specs, const std::string& name, const std::string& path, ProblemList& problems)
    {
        const auto spec = std::ranges::find(specs, name, &Spec::name);
        if (spec != specs.end()) {
            return spec->id;
        }
        std::string validNames;
        for (const auto& candidate : specs) {
            validNames.append(validNames.empty() ? "" : ", ").append(candidate.name);
        }
        if (!name.empty()) {
            problems.add(ProblemKind::InvalidValue, path, describeJson(name), "one of " + validNames);
        }
        return {};
    }

    template <typename Spec>
    std::vector<decltype(Spec::id)> readNames(ObjectReader& reader, std::string_view member, const std::vector<Spec>& specs)
    {
        std::vector<decltype(Spec::id)> ids;
        reader.forEach(member, Presence::Optional, [&](const json& element, const std::string& path) {
            if (!element.is_string()) {
                reader.problemList().add(ProblemKind::InvalidValue, path, describeJson(element), "a name");
                return;
            }
            ids.push_back(resolve(specs, element.get<std::string>(), path, reader.problemList()));
        });
        return ids;
    }

    void readRegions(ObjectReader& reader, Bundle& bundle)
    {
        reader.forEach("regions", Presence::Required, [&](const json& element, const std::string& path) {
            ObjectReader region { element, path, reader.problemList() };
            bundle.regions.push_back({ readId<RegionId>(region), readName(region, "name") });
            region.reportUnknownMembers();
        });
    }

    void readZones(ObjectReader& reader, Bundle& bundle)
    {
        reader.forEach("zones", Presence::Required, [&](const json& element, const std::string& path) {
            ObjectReader zone { element, path, reader.problemList() };
            const auto id = readId<ZoneId>(zone);
            auto name = readName(zone, "name");
            const auto region = resolve(bundle.regions, readName(zone, "region"), zone.pathOf("region"), reader.problemList());
            bundle.zones.push_back({ id, std::move(name), region });
            zone.reportUnknownMembers();
        });
    }

    /// @param hasDisk Whether the elements may state a disk identity.
    std::vector<NodeSpec> readNodes(ObjectReader& reader, std::string_view member, const Bundle& bundle, bool hasDisk)
    {
        std::vector<NodeSpec> nodes;
        reader.forEach(member, Presence::Required, [&](const json& element, const std::string& path) {
            ObjectReader node { element, path, reader.problemList() };
            const auto id = readId<NodeId>(node);
            const auto zone = resolve(bundle.zones, readName(node, "zone"), node.pathOf("zone"), reader.problemList());
            auto peer = readPeerEndpoint(node, "peer");
            nodes.push_back({ id, zone, std::move(peer), hasDisk ? readDiskId(node) : DiskId {} });
            node.reportUnknownMembers();
        });
        return nodes;
    }

    std::uint32_t readObjective(ObjectReader& reader, std::uint32_t fallback)
    {
        const auto text = reader.text("objective", Presence::Optional);
        if (!text) {
            return fallback;
        }
        const auto perMillion = parseObjective(*text);
        if (!perMillion || *perMillion < limits::minObjectivePerMillion || *perMillion > limits::maxObjectivePerMillion) {
            reader.problemList().add(ProblemKind::InvalidValue, reader.pathOf("objective"), describeJson(*text), R"(a percentage from "50%" to "99.9999%")");
        }
        return perMillion.value_or(fallback);
    }

    void readOptional(ObjectReader& reader, std::string_view name, std::uint64_t minimum, std::uint64_t maximum, auto& target)
    {
        if (const auto value = reader.integer(name, Presence::Optional, minimum, maximum)) {
            target = static_cast<std::decay_t<decltype(target)>>(*value);
        }
    }

    ServiceSpec readService(const json& element, const std::string& path, ProblemList& problems)
    {
        static constexpr std::array<std::string_view, 2> zoneRules { "move", "keep" };
        ObjectReader reader { element, path, problems };
        ServiceSpec service;
        service.id = readId<ServiceId>(reader);
        service.name = readName(reader, "name");
        service.partitions = static_cast<std::uint32_t>(reader.integer("partitions", Presence::Required, 1, limits::maxPartitions).value_or(0));
        if (const auto rule = reader.choice("zoneRule", Presence::Optional, zoneRules)) {
            service.zoneRule = *rule == 0 ? ZoneRule::Move : ZoneRule::Keep;
        }
        readOptional(reader, "priority", 0, std::numeric_limits<std::uint8_t>::max(), service.priority);
        service.objectivePerMillion = readObjective(reader, service.objectivePerMillion);
        auto latency = static_cast<std::uint64_t>(service.objectiveLatency.count());
        readOptional(reader, "objectiveLatencyMs", 1, static_cast<std::uint64_t>(limits::maxDeadline.count()), latency);
        service.objectiveLatency = std::chrono::milliseconds { latency };
        readOptional(reader, "movesPerMinute", 0, limits::maxMovesPerMinute, service.movesPerMinute);
        readOptional(reader, "retryBudgetPercent", 0, limits::maxRetryBudgetPercent, service.retryBudgetPercent);
        reader.reportUnknownMembers();
        return service;
    }

}

Bundle readBundleDocument(const json& document, const std::string& path, ProblemList& problems)
{
    ObjectReader reader { document, path, problems };
    Bundle bundle;
    bundle.version.value = reader.integer("version", Presence::Required, 1, limits::maxBundleVersion).value_or(0);
    readRegions(reader, bundle);
    readZones(reader, bundle);
    bundle.entries = readNodes(reader, "entries", bundle, false);
    bundle.members = readNodes(reader, "members", bundle, true);
    reader.forEach("services", Presence::Required, [&](const json& element, const std::string& elementPath) { bundle.services.push_back(readService(element, elementPath, problems)); });
    reader.forEach("operators", Presence::Required, [&](const json& element, const std::string& elementPath) { bundle.operators.push_back(readOperatorKey(element, elementPath, problems)); });
    bundle.threshold = static_cast<std::uint32_t>(reader.integer("threshold", Presence::Required, 1, limits::maxOperators).value_or(0));
    bundle.rollout = readNames(reader, "rollout", bundle.regions);
    bundle.retiredZones = readNames(reader, "retired", bundle.zones);
    reader.reportUnknownMembers();
    return bundle;
}

std::optional<std::uint32_t> parseObjective(std::string_view text)
{
    static constexpr std::uint32_t unitsPerPercent = 10'000;
    if (!text.ends_with('%')) {
        return std::nullopt;
    }
    text.remove_suffix(1);
    const auto point = std::min(text.find('.'), text.size());
    const auto whole = text.substr(0, point);
    const auto decimals = point < text.size() ? text.substr(point + 1) : std::string_view { "0" };
    if (whole.empty() || whole.size() > 3 || decimals.empty() || decimals.size() > 4) {
        return std::nullopt;
    }
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    if (!std::ranges::all_of(whole, isDigit) || !std::ranges::all_of(decimals, isDigit)) {
        return std::nullopt;
    }
    std::uint32_t perMillion = 0;
    for (const auto c : whole) {
        perMillion = perMillion * 10 + static_cast<std::uint32_t>(c - '0') * unitsPerPercent;
    }
    auto unit = unitsPerPercent;
    for (const auto c : decimals) {
        unit /= 10;
        perMillion += static_cast<std::uint32_t>(c - '0') * unit;
    }
    return perMillion;
}

std::string formatObjective(std::uint32_t perMillion)
{
    auto text = std::to_string(perMillion / 10'000);
    auto decimals = std::to_string(10'000 + perMillion % 10'000).substr(1);
    decimals.resize(decimals.find_last_not_of('0') + 1);
    return decimals.empty() ? text + "%" : text + "." + decimals + "%";
}

OperatorKey readOperatorKey(const json& element, const std::string& path, ProblemList& problems)
{
    ObjectReader reader { element, path, problems };
    OperatorKey key;
    key.name = readName(reader, "name");
    reader.hex("publicKey", Presence::Required, key.publicKey);
    reader.reportUnknownMembers();
    return key;
}

DiskId readDiskId(ObjectReader& reader)
{
    std::array<std::uint8_t, sizeof(DiskId::Representation)> bytes {};
    if (!reader.hex("disk", Presence::Optional, bytes)) {
        return {};
    }
    DiskId disk;
    for (const auto byte : bytes) {
        disk.value = disk.value << 8U | byte;
    }
    if (disk == DiskId {}) {
        reader.problemList().add(ProblemKind::InvalidValue, reader.pathOf("disk"), "zero", "no such member if the identity is unknown");
    }
    return disk;
}

std::string formatDiskId(DiskId disk)
{
    std::array<std::uint8_t, sizeof(DiskId::Representation)> bytes {};
    for (auto byte = bytes.rbegin(); byte != bytes.rend(); ++byte) {
        *byte = static_cast<std::uint8_t>(disk.value);
        disk.value >>= 8U;
    }
    return encodeHex(bytes);
}

Endpoint readPeerEndpoint(ObjectReader& reader, std::string_view name)
{
    Endpoint endpoint;
    if (auto peer = reader.object(name, Presence::Required)) {
        endpoint.address = peer->text("address", Presence::Required).value_or("");
        endpoint.port = static_cast<std::uint16_t>(peer->integer("port", Presence::Required, 1, std::numeric_limits<std::uint16_t>::max()).value_or(0));
        if (!endpoint.address.empty() && (!isIpNumber(endpoint.address) || isUnspecifiedIpNumber(endpoint.address))) {
            peer->problemList().add(ProblemKind::InvalidValue, peer->pathOf("address"), describeJson(endpoint.address), std::string { ipNumberRule });
        }
        peer->reportUnknownMembers();
    }
    return endpoint;
}

}
