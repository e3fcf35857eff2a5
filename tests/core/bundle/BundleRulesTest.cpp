#include "core/bundle/BundleRules.h"
#include "core/bundle/BundleBuilder.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace teaselturn;

namespace {

std::array<std::uint8_t, 32> makeKey(std::uint8_t seed)
{
    std::array<std::uint8_t, 32> key {};
    key.fill(seed);
    return key;
}

BundleBuilder makeBuilder()
{
    BundleBuilder builder;
    builder.withVersion({ 5 })
        .addRegion({ 1 }, "wcape")
        .addRegion({ 2 }, "ecape")
        .addZone({ 1 }, "wc-paarl", { 1 })
        .addZone({ 2 }, "ec-makhanda", { 2 })
        .addEntry({ 1 }, { 1 }, { "127.0.0.1", 9001 })
        .addMember({ 1 }, { 1 }, { "127.0.0.1", 9001 })
        .addMember({ 2 }, { 2 }, { "127.0.0.1", 9002 })
        .addService({ .id = { 1 }, .name = "tills", .partitions = 64 })
        .addOperator("thandi", makeKey(1))
        .addOperator("lerato", makeKey(2))
        .withThreshold(2);
    return builder;
}

Bundle makeBundle()
{
    auto bundle = makeBuilder().build();
    REQUIRE(bundle);
    return *bundle;
}

struct InvalidChange {
    std::string path;
    std::function<void(Bundle&)> apply;
};

const std::vector<InvalidChange> invalidChanges {
    { "version", [](Bundle& b) { b.version = {}; } },
    { "version", [](Bundle& b) { b.version = { std::uint64_t { 1 } << 53U }; } },
    { "regions", [](Bundle& b) { b.regions.clear(); } },
    { "regions[1].id", [](Bundle& b) { b.regions[1].id = { 1 }; } },
    { "regions[1].name", [](Bundle& b) { b.regions[1].name = "wcape"; } },
    { "zones[0].name", [](Bundle& b) { b.zones[0].name = "-paarl"; } },
    { "zones[1].region", [](Bundle& b) { b.zones[1].region = { 9 }; } },
    { "entries", [](Bundle& b) { b.entries.clear(); } },
    { "entries[0].zone", [](Bundle& b) { b.entries[0].zone = { 9 }; } },
    { "entries[0].peer", [](Bundle& b) { b.entries[0].peer.port = 0; } },
    { "members", [](Bundle& b) { b.members.clear(); } },
    { "members[1].id", [](Bundle& b) { b.members[1].id = { 1 }; } },
    { "members[0]", [](Bundle& b) { b.members[0].peer.port = 9003; } },
    { "members[1].peer", [](Bundle& b) { b.members[1].peer.port = 9001; } },
    { "members[1].disk", [](Bundle& b) { b.members[0].disk = b.members[1].disk = { 5 }; } },
    { "entries[0].disk", [](Bundle& b) { b.entries[0].disk = { 5 }; } },
    { "services[0].id", [](Bundle& b) { b.services[0].id = {}; } },
    { "services[0].partitions", [](Bundle& b) { b.services[0].partitions = 0; } },
    { "services[0].objective", [](Bundle& b) { b.services[0].objectivePerMillion = 1'000'000; } },
    { "services[0].objectiveLatencyMs", [](Bundle& b) { b.services[0].objectiveLatency = std::chrono::milliseconds { -1 }; } },
    { "services[0].retryBudgetPercent", [](Bundle& b) { b.services[0].retryBudgetPercent = 101; } },
    { "services[0].zoneRule", [](Bundle& b) { b.services[0].zoneRule = static_cast<ZoneRule>(7); } },
    { "services", [](Bundle& b) { b.services.push_back({ .id = { 2 }, .name = "dispatch", .partitions = limits::maxPartitions }); } },
    { "operators", [](Bundle& b) { b.operators.clear(); } },
    { "operators[1].name", [](Bundle& b) { b.operators[1].name = "thandi"; } },
    { "operators[1].publicKey", [](Bundle& b) { b.operators[1].publicKey = makeKey(1); } },
    { "operators[0].publicKey", [](Bundle& b) { b.operators[0].publicKey = {}; } },
    { "threshold", [](Bundle& b) { b.threshold = 3; } },
    { "threshold", [](Bundle& b) { b.threshold = 0; } },
    { "rollout", [](Bundle& b) { b.rollout = { { 1 } }; } },
    { "rollout[1]", [](Bundle& b) { b.rollout = { { 1 }, { 1 } }; } },
    { "retired[0]", [](Bundle& b) { b.retiredZones = { { 9 } }; } },
    { "retired", [](Bundle& b) { b.retiredZones = { { 1 }, { 2 } }; } },
};

/// Verifier for which a signature is valid if it starts with the public key.
struct FakeVerifier {
    bool verify(std::span<const std::uint8_t, 32> publicKey, std::string_view /*bytes*/, std::span<const std::uint8_t, 64> signature) const
    {
        return std::ranges::equal(publicKey, signature.first<32>());
    }

    BundleDigest digest(std::string_view bytes) const
    {
        BundleDigest digest {};
        digest[0] = static_cast<std::uint8_t>(bytes.size());
        return digest;
    }
};

BundleSignature makeSignature(const std::string& signer, std::uint8_t seed)
{
    BundleSignature signature { signer, {} };
    signature.signature.fill(seed);
    return signature;
}

SignedBundle makeSignedBundle(std::vector<BundleSignature> signatures)
{
    SignedBundle bundle { makeBundle(), "four", {}, std::move(signatures) };
    bundle.digest[0] = 4;
    return bundle;
}

}

TEST_CASE("each invalid value in a bundle is reported with its path")
{
    // Guards against accepting a bundle that cannot be applied.
    for (const auto& change : invalidChanges) {
        auto bundle = makeBundle();
        change.apply(bundle);
        const auto status = validateBundle(bundle);
        INFO(change.path);
        REQUIRE_FALSE(status);
        CHECK(status.error() == ResultCode::BundleInvalid);
        CHECK(status.failure().detail.starts_with(change.path + ": "));
    }
}

TEST_CASE("a bundle may have a rollout order, retired zones and no service")
{
    auto bundle = makeBundle();
    bundle.rollout = { { 2 }, { 1 } };
    bundle.retiredZones = { { 2 } };
    bundle.services.clear();
    CHECK(validateBundle(bundle));
}

TEST_CASE("a successor may not change what an id refers to")
{
    const auto inForce = makeBundle();
    auto next = inForce;
    CHECK(validateSuccessor(inForce, next).error() == ResultCode::BundleOutdated);
    next.version = { 6 };
    next.operators.pop_back();
    next.threshold = 1;
    CHECK(validateSuccessor(inForce, next));

    const std::vector<InvalidChange> changes {
        { "regions[0]", [](Bundle& b) { b.regions[0].name = "kzn"; } },
        { "zones[0]", [](Bundle& b) { b.zones[0].region = { 2 }; } },
        { "entries[0]", [](Bundle& b) { b.entries[0].zone = { 2 }; } },
        { "members[1]", [](Bundle& b) { b.members[1].zone = { 1 }; } },
        { "services[0]", [](Bundle& b) { b.services[0].name = "desk"; } },
        { "services[0]", [](Bundle& b) { b.services[0].partitions = 128; } },
    };
    for (const auto& change : changes) {
        auto changed = next;
        change.apply(changed);
        const auto status = validateSuccessor(inForce, changed);
        INFO(change.path);
        REQUIRE_FALSE(status);
        CHECK(status.failure().detail.starts_with(change.path + ": "));
    }
}

TEST_CASE("each operator counts once towards the threshold of signatures")
{
    const auto operators = makeBundle().operators;
    const auto check = [&operators](std::vector<BundleSignature> signatures) {
        return verifySignatures(FakeVerifier {}, makeSignedBundle(std::move(signatures)), operators, 2).error();
    };
    CHECK_FALSE(check({ makeSignature("thandi", 1), makeSignature("lerato", 2) }));
    CHECK(check({}) == ResultCode::BundleTooFewSignatures);
    CHECK(check({ makeSignature("thandi", 1) }) == ResultCode::BundleTooFewSignatures);
    CHECK(check({ makeSignature("thandi", 1), makeSignature("lerato", 1) }) == ResultCode::BundleSignatureInvalid);
    CHECK(check({ makeSignature("thandi", 1), makeSignature("lerato", 2), makeSignature("mallory", 3) }) == ResultCode::BundleUnknownSigner);
    // An operator who signs twice must not reach a threshold of two.
    CHECK(check({ makeSignature("thandi", 1), makeSignature("thandi", 1) }) == ResultCode::BundleSignatureInvalid);
}

TEST_CASE("a threshold of zero still requires one signature")
{
    CHECK(verifySignatures(FakeVerifier {}, makeSignedBundle({}), makeBundle().operators, 0).error() == ResultCode::BundleTooFewSignatures);
}

TEST_CASE("a digest that does not match the bytes is rejected")
{
    auto bundle = makeSignedBundle({ makeSignature("thandi", 1) });
    bundle.digest[0] = 5;
    CHECK(verifySignatures(FakeVerifier {}, bundle, bundle.bundle.operators, 1).error() == ResultCode::BundleSignatureInvalid);
}
