#include "adapters/settings/BundleJson.h"

#include "adapters/crypto/Digest.h"
#include "adapters/crypto/Hex.h"
#include "adapters/settings/BundleReader.h"
#include "adapters/settings/StrictJson.h"
#include "core/bundle/BundleRules.h"

namespace teaselturn {

namespace {

    using nlohmann::json;

    void readSignature(const json& element, const std::string& path, ProblemList& problems, std::vector<BundleSignature>& signatures)
    {
        ObjectReader reader { element, path, problems };
        auto& signature = signatures.emplace_back();
        signature.signer = reader.text("signer", Presence::Required).value_or("");
        reader.hex("signature", Presence::Required, signature.signature);
        reader.reportUnknownMembers();
    }

    /// Splits the signed form into the bundle's document and the signatures.
    /// @return The bundle's document, or null if it is missing.
    const json* readEnvelope(const json& document, ProblemList& problems, std::vector<BundleSignature>& signatures)
    {
        ObjectReader reader { document, {}, problems };
        const auto bundle = reader.object("bundle", Presence::Required);
        reader.forEach("signatures", Presence::Required, [&](const json& element, const std::string& path) { readSignature(element, path, problems, signatures); });
        reader.reportUnknownMembers();
        if (signatures.size() > limits::maxOperators) {
            problems.add(ProblemKind::InvalidValue, "signatures", "an array of " + std::to_string(signatures.size()), "at most " + std::to_string(limits::maxOperators) + " signatures");
        }
        return bundle ? &document["bundle"] : nullptr;
    }

    /// Reads and validates the bundle of a document and derives its canonical bytes and digest.
    void readAndSeal(const json& document, const std::string& path, ProblemList& problems, SignedBundle& result)
    {
        result.bundle = readBundleDocument(document, path, problems);
        if (problems.empty()) {
            if (const auto status = validateBundle(result.bundle); !status) {
                problems.add(ProblemKind::InvalidValue, path, status.failure().detail, {});
            }
        }
        result.canonicalBytes = document.dump();
        result.digest = sha256(result.canonicalBytes);
    }

    Checked<SignedBundle> toChecked(ProblemList&& problems, SignedBundle&& result)
    {
        return problems.empty() ? Checked<SignedBundle> { std::move(result), {} } : Checked<SignedBundle> { {}, problems.all() };
    }

    bool rejectTooLarge(std::string_view text, ProblemList& problems)
    {
        if (text.size() > limits::maxBundleBytes) {
            problems.add(ProblemKind::TooLarge, {}, std::to_string(text.size()) + " bytes", "at most " + std::to_string(limits::maxBundleBytes) + " bytes");
        }
        return !problems.empty();
    }

    ResultCode bundleResultCode(ProblemKind kind)
    {
        switch (kind) {
        case ProblemKind::TooLarge:
            return ResultCode::BundleTooLarge;
        case ProblemKind::Syntax:
        case ProblemKind::Unreadable:
            return ResultCode::BundleSyntax;
        default:
            return ResultCode::BundleInvalid;
        }
    }

    Failure toFailure(const std::vector<Problem>& problems)
    {
        return { make_error_code(bundleResultCode(problems.front().kind)), describeProblems(problems, {}) };
    }

    json writeNode(const Bundle& bundle, const NodeSpec& node)
    {
        const auto zone = std::ranges::find(bundle.zones, node.zone, &ZoneSpec::id);
        json document { { "id", node.id.value }, { "zone", zone->name }, { "peer", { { "address", node.peer.address }, { "port", node.peer.port } } } };
        if (node.disk != DiskId {}) {
            document["disk"] = formatDiskId(node.disk);
        }
        return document;
    }

    json writeService(const ServiceSpec& service)
    {
        return {
            { "id", service.id.value },
            { "name", service.name },
            { "partitions", service.partitions },
            { "zoneRule", service.zoneRule == ZoneRule::Keep ? "keep" : "move" },
            { "priority", service.priority },
            { "objective", formatObjective(service.objectivePerMillion) },
            { "objectiveLatencyMs", service.objectiveLatency.count() },
            { "movesPerMinute", service.movesPerMinute },
            { "retryBudgetPercent", service.retryBudgetPercent },
        };
    }

    const std::string& regionName(const Bundle& bundle, RegionId id)
    {
        return std::ranges::find(bundle.regions, id, &RegionSpec::id)->name;
    }

    /// Converts each element with write() and returns the results as a JSON array.
    template <typename Elements, typename Write>
    json writeArray(const Elements& elements, Write write)
    {
        auto array = json::array();
        for (const auto& element : elements) {
            array.push_back(write(element));
        }
        return array;
    }

    json writeBundle(const Bundle& bundle)
    {
        const auto node = [&bundle](const NodeSpec& spec) { return writeNode(bundle, spec); };
        json document { { "version", bundle.version.value }, { "threshold", bundle.threshold } };
        document["regions"] = writeArray(bundle.regions, [](const RegionSpec& region) { return json { { "id", region.id.value }, { "name", region.name } }; });
        document["zones"] = writeArray(bundle.zones, [&bundle](const ZoneSpec& zone) {
            return json { { "id", zone.id.value }, { "name", zone.name }, { "region", regionName(bundle, zone.region) } };
        });
        document["entries"] = writeArray(bundle.entries, node);
        document["members"] = writeArray(bundle.members, node);
        document["services"] = writeArray(bundle.services, writeService);
        document["operators"] = writeArray(bundle.operators, [](const OperatorKey& key) { return json { { "name", key.name }, { "publicKey", encodeHex(key.publicKey) } }; });
        document["rollout"] = writeArray(bundle.rollout, [&bundle](RegionId id) { return regionName(bundle, id); });
        document["retired"] = writeArray(bundle.retiredZones, [&bundle](ZoneId id) { return std::ranges::find(bundle.zones, id, &ZoneSpec::id)->name; });
        return document;
    }

}

Checked<SignedBundle> readSignedBundle(std::string_view text)
{
    ProblemList problems;
    SignedBundle result;
    const auto document = rejectTooLarge(text, problems) ? std::nullopt : parseStrictJson(text, Comments::Refused, problems);
    if (document) {
        if (const auto* bundle = readEnvelope(*document, problems, result.signatures)) {
            readAndSeal(*bundle, "bundle", problems, result);
        }
    }
    return toChecked(std::move(problems), std::move(result));
}

Checked<SignedBundle> readBundle(std::string_view text)
{
    ProblemList problems;
    SignedBundle result;
    const auto document = rejectTooLarge(text, problems) ? std::nullopt : parseStrictJson(text, Comments::Ignored, problems);
    if (document && document->is_object() && document->contains("bundle")) {
        return readSignedBundle(text);
    }
    if (document) {
        readAndSeal(*document, {}, problems, result);
    }
    return toChecked(std::move(problems), std::move(result));
}

Result<Bundle> parseCanonicalBundle(std::string_view bytes)
{
    ProblemList problems;
    SignedBundle result;
    const auto document = rejectTooLarge(bytes, problems) ? std::nullopt : parseStrictJson(bytes, Comments::Refused, problems);
    if (document) {
        readAndSeal(*document, {}, problems, result);
    }
    if (!problems.empty()) {
        return toFailure(problems.all());
    }
    if (result.canonicalBytes != bytes) {
        return { ResultCode::BundleInvalid, "the bytes are not the canonical form" };
    }
    return std::move(result.bundle);
}

Result<SignedBundle> parseSignedBundle(std::string_view text)
{
    auto checked = readSignedBundle(text);
    return checked.value ? Result<SignedBundle> { *std::move(checked.value) } : Result<SignedBundle> { toFailure(checked.problems) };
}

std::string writeCanonicalBundle(const Bundle& bundle)
{
    return writeBundle(bundle).dump();
}

std::string writeSignedBundle(const SignedBundle& bundle)
{
    const auto signatures = writeArray(bundle.signatures, [](const BundleSignature& signature) {
        return json { { "signer", signature.signer }, { "signature", encodeHex(signature.signature) } };
    });
    // Embeds the canonical bytes unchanged, so that the signed form contains exactly the bytes that were signed.
    return R"({"bundle":)" + bundle.canonicalBytes + R"(,"signatures":)" + signatures.dump() + "}";
}

SignedBundle sealBundle(const Bundle& bundle)
{
    auto bytes = writeCanonicalBundle(bundle);
    const auto digest = sha256(bytes);
    return { bundle, std::move(bytes), digest, {} };
}

}
