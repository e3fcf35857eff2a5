#include "adapters/settings/BundleJson.h"
#include "adapters/crypto/Ed25519.h"
#include "adapters/settings/BundleCheck.h"
#include "adapters/settings/BundleReader.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace teaselturn;
using nlohmann::json;

namespace {

const Ed25519KeyPair thandi = generateEd25519();
const Ed25519KeyPair lerato = generateEd25519();
const std::vector<OperatorKey> trustedOperators { { "thandi", thandi.publicKey }, { "lerato", lerato.publicKey } };

Bundle makeBundle(std::uint64_t version)
{
    Bundle bundle;
    bundle.version = { version };
    bundle.regions = { { { 1 }, "wcape" }, { { 2 }, "ecape" } };
    bundle.zones = { { { 1 }, "wc-paarl", { 1 } }, { { 2 }, "ec-makhanda", { 2 } } };
    bundle.entries = { { { 1 }, { 1 }, { "127.0.0.1", 9001 } } };
    bundle.members = { { { 2 }, { 2 }, { "::1", 9002 }, { 0x00fe'dcba'9876'5432 } }, { { 1 }, { 1 }, { "127.0.0.1", 9001 } } };
    bundle.services = { { .id = { 1 }, .name = "tills", .partitions = 64, .zoneRule = ZoneRule::Keep, .objectivePerMillion = 999'500 } };
    bundle.operators = trustedOperators;
    bundle.threshold = 2;
    bundle.rollout = { { 2 }, { 1 } };
    bundle.retiredZones = { { 2 } };
    return bundle;
}

SignedBundle withSignature(SignedBundle bundle, const std::string& name, const Ed25519KeyPair& key)
{
    bundle.signatures.push_back({ name, signEd25519(key.privateKey, bundle.canonicalBytes) });
    return bundle;
}

SignedBundle makeSignedBundle(std::uint64_t version)
{
    return withSignature(withSignature(sealBundle(makeBundle(version)), "thandi", thandi), "lerato", lerato);
}

/// A change to a valid signed bundle, and the problem that must be reported for it.
struct Fault {
    std::string patch;
    ProblemKind kind;
    std::string path;
};

const std::vector<Fault> faults {
    { R"([{"op":"remove","path":"/bundle"}])", ProblemKind::MissingMember, "bundle" },
    { R"([{"op":"remove","path":"/signatures"}])", ProblemKind::MissingMember, "signatures" },
    { R"([{"op":"add","path":"/note","value":1}])", ProblemKind::UnknownMember, "note" },
    { R"([{"op":"replace","path":"/signatures/0/signature","value":"00"}])", ProblemKind::InvalidValue, "signatures[0].signature" },
    { R"([{"op":"remove","path":"/bundle/version"}])", ProblemKind::MissingMember, "bundle.version" },
    { R"([{"op":"replace","path":"/bundle/version","value":1.0}])", ProblemKind::InvalidValue, "bundle.version" },
    { R"([{"op":"replace","path":"/bundle/version","value":9007199254740992}])", ProblemKind::InvalidValue, "bundle.version" },
    { R"([{"op":"replace","path":"/bundle/zones/0/region","value":"kzn"}])", ProblemKind::InvalidValue, "bundle.zones[0].region" },
    { R"([{"op":"replace","path":"/bundle/entries/0/zone","value":"nowhere"}])", ProblemKind::InvalidValue, "bundle.entries[0].zone" },
    { R"([{"op":"replace","path":"/bundle/entries/0/peer/address","value":"0.0.0.0"}])", ProblemKind::InvalidValue, "bundle.entries[0].peer.address" },
    { R"([{"op":"replace","path":"/bundle/members/0/peer/address","value":"0::1"}])", ProblemKind::InvalidValue, "bundle.members[0].peer.address" },
    { R"([{"op":"replace","path":"/bundle/members/0/disk","value":"0000000000000000"}])", ProblemKind::InvalidValue, "bundle.members[0].disk" },
    { R"([{"op":"replace","path":"/bundle/members/0/disk","value":"1"}])", ProblemKind::InvalidValue, "bundle.members[0].disk" },
    { R"([{"op":"add","path":"/bundle/entries/0/disk","value":"0000000000000001"}])", ProblemKind::UnknownMember, "bundle.entries[0].disk" },
    { R"([{"op":"add","path":"/bundle/services/0/colour","value":"red"}])", ProblemKind::UnknownMember, "bundle.services[0].colour" },
    { R"([{"op":"replace","path":"/bundle/services/0/zoneRule","value":"stay"}])", ProblemKind::InvalidValue, "bundle.services[0].zoneRule" },
    { R"([{"op":"replace","path":"/bundle/services/0/objective","value":"100%"}])", ProblemKind::InvalidValue, "bundle.services[0].objective" },
    { R"([{"op":"replace","path":"/bundle/services/0/objective","value":0.999}])", ProblemKind::InvalidValue, "bundle.services[0].objective" },
    { R"([{"op":"replace","path":"/bundle/operators/0/publicKey","value":"zz"}])", ProblemKind::InvalidValue, "bundle.operators[0].publicKey" },
    { R"([{"op":"replace","path":"/bundle/rollout/0","value":7}])", ProblemKind::InvalidValue, "bundle.rollout[0]" },
    { R"([{"op":"replace","path":"/bundle/threshold","value":3}])", ProblemKind::InvalidValue, "bundle" },
};

}

TEST_CASE("a signed bundle is unchanged after it is written and parsed")
{
    const auto original = makeSignedBundle(3);
    const auto read = parseSignedBundle(writeSignedBundle(original));
    REQUIRE(read);
    CHECK(*read == original);
    const auto bytes = parseCanonicalBundle(original.canonicalBytes);
    REQUIRE(bytes);
    CHECK(*bytes == original.bundle);
}

// Guards against reading a disk identity in a different byte order than it is written in, and against rejecting the
// bundle of a VM with both roles because only its element in members states a disk.
TEST_CASE("members state their disk identity as 16 hexadecimal digits")
{
    const auto document = json::parse(sealBundle(makeBundle(3)).canonicalBytes);
    CHECK(document["members"][0]["disk"] == "00fedcba98765432");
    CHECK_FALSE(document["members"][1].contains("disk"));
    auto changed = document;
    changed["members"][1]["disk"] = "FFFFFFFFFFFFFFFF";
    const auto read = parseCanonicalBundle(changed.dump());
    REQUIRE(read);
    CHECK(read->members[1].disk == DiskId { ~0ULL });
}

TEST_CASE("canonical bytes do not depend on the order of members, spaces and comments")
{
    const auto original = sealBundle(makeBundle(3));
    const auto text = "// written by hand\n" + nlohmann::ordered_json::parse(original.canonicalBytes).dump(4);
    const auto read = readBundle(text);
    REQUIRE(read.value);
    CHECK(read.value->canonicalBytes == original.canonicalBytes);
    CHECK(read.value->digest == original.digest);
    // Comments are not part of the signed bytes, so the submitted form must not contain any.
    CHECK_FALSE(parseSignedBundle("/* note */" + writeSignedBundle(makeSignedBundle(3))));
    CHECK_FALSE(parseCanonicalBundle(" " + original.canonicalBytes));
}

TEST_CASE("each fault in a signed bundle is reported with its path")
{
    for (const auto& fault : faults) {
        const auto text = json::parse(writeSignedBundle(makeSignedBundle(3))).patch(json::parse(fault.patch)).dump();
        const auto checked = readSignedBundle(text);
        INFO(fault.patch << "\n"
                         << describeProblems(checked.problems, {}));
        CHECK_FALSE(checked.value);
        REQUIRE(checked.problems.size() == 1);
        CHECK(checked.problems.front().kind == fault.kind);
        CHECK(checked.problems.front().path == fault.path);
        CHECK(parseSignedBundle(text).error() == ResultCode::BundleInvalid);
    }
}

TEST_CASE("text that is not a bundle is rejected with a result code")
{
    CHECK(parseSignedBundle("{").error() == ResultCode::BundleSyntax);
    CHECK(parseSignedBundle("[]").error() == ResultCode::BundleInvalid);
    CHECK(parseSignedBundle(R"({"bundle":{"version":1,"version":2},"signatures":[]})").error() == ResultCode::BundleInvalid);
    CHECK(parseSignedBundle(std::string(limits::maxBundleBytes + 1, ' ')).error() == ResultCode::BundleTooLarge);
}

TEST_CASE("objectives are exact percentages")
{
    CHECK(parseObjective("99.9%") == 999'000U);
    CHECK(parseObjective("99.9999%") == 999'999U);
    CHECK(parseObjective("50%") == 500'000U);
    for (const auto* text : { "", "%", "99.9", "99.%", ".9%", "99.99999%", "9999%", "-1%", "99,9%", "9 9%" }) {
        INFO(text);
        CHECK_FALSE(parseObjective(text));
    }
    CHECK(formatObjective(999'500) == "99.95%");
    CHECK(formatObjective(500'000) == "50%");
}

TEST_CASE("replicas accept a bundle signed by enough trusted operators")
{
    const auto check = makeBundleCheck(trustedOperators, 2);
    const auto first = makeSignedBundle(3);
    CHECK(check(first, nullptr));
    CHECK(check(makeSignedBundle(4), &first.bundle));
    CHECK(check(makeSignedBundle(3), &first.bundle).error() == ResultCode::BundleOutdated);
}

TEST_CASE("replicas reject wrong, missing and unknown signers")
{
    const auto check = makeBundleCheck(trustedOperators, 2);
    const auto sealed = sealBundle(makeBundle(3));
    CHECK(check(sealed, nullptr).error() == ResultCode::BundleTooFewSignatures);
    CHECK(check(withSignature(sealed, "thandi", thandi), nullptr).error() == ResultCode::BundleTooFewSignatures);
    CHECK(check(withSignature(withSignature(sealed, "thandi", thandi), "lerato", thandi), nullptr).error() == ResultCode::BundleSignatureInvalid);
    CHECK(check(withSignature(makeSignedBundle(3), "mallory", generateEd25519()), nullptr).error() == ResultCode::BundleUnknownSigner);
}

TEST_CASE("an operator removed by a bundle cannot sign its successor")
{
    auto withoutLerato = makeBundle(3);
    withoutLerato.operators.pop_back();
    withoutLerato.threshold = 1;
    const auto check = makeBundleCheck(trustedOperators, 2);
    CHECK(check(makeSignedBundle(4), &withoutLerato).error() == ResultCode::BundleUnknownSigner);
    CHECK(check(withSignature(sealBundle(makeBundle(4)), "thandi", thandi), &withoutLerato));
}

TEST_CASE("a bundle that differs from its signed bytes is rejected")
{
    // Otherwise a sender could combine valid signatures with a different bundle.
    auto forged = makeSignedBundle(3);
    forged.bundle.threshold = 1;
    CHECK(makeBundleCheck(trustedOperators, 2)(forged, nullptr).error() == ResultCode::BundleInvalid);

    auto otherBytes = makeSignedBundle(3);
    otherBytes.canonicalBytes += " ";
    CHECK(makeBundleCheck(trustedOperators, 2)(otherBytes, nullptr).error() == ResultCode::BundleInvalid);
}
