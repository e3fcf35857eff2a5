#include "FuzzSeeds.h"
#include "adapters/settings/BundleJson.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

std::vector<std::vector<std::uint8_t>> fuzzSeeds()
{
    using namespace teaselturn;
    Bundle bundle;
    bundle.version = { 7 };
    bundle.regions = { { { 1 }, "wcape" }, { { 2 }, "ecape" } };
    bundle.zones = { { { 1 }, "wc-paarl", { 1 } }, { { 2 }, "ec-makhanda", { 2 } } };
    bundle.entries = { { { 1 }, { 1 }, { "127.0.0.1", 9001 }, {} } };
    bundle.members = { { { 1 }, { 1 }, { "127.0.0.1", 9001 }, { 0xabcdef } }, { { 2 }, { 2 }, { "::1", 9002 }, {} } };
    bundle.services = { { .id = { 1 }, .name = "tills", .partitions = 64, .zoneRule = ZoneRule::Keep, .objectivePerMillion = 999'500 } };
    bundle.operators = { { "thandi", { 1 } }, { "lerato", { 2 } } };
    bundle.rollout = { { 2 }, { 1 } };
    bundle.retiredZones = { { 2 } };
    auto signedBundle = sealBundle(bundle);
    signedBundle.signatures = { { "thandi", { 3 } } };
    if (!parseCanonicalBundle(signedBundle.canonicalBytes) || !parseSignedBundle(writeSignedBundle(signedBundle))) {
        std::abort();
    }
    const auto signedText = writeSignedBundle(signedBundle);
    return { { signedBundle.canonicalBytes.begin(), signedBundle.canonicalBytes.end() }, { signedText.begin(), signedText.end() } };
}

/// Reads the input as a signed bundle and as a canonical bundle. A bundle that is accepted must be equal after it is
/// written and parsed again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text { reinterpret_cast<const char*>(data), size };
    const auto checked = teaselturn::readBundle(text);
    if (checked.value.has_value() != checked.problems.empty()) {
        std::abort();
    }
    if (checked.value) {
        const auto reparsed = teaselturn::parseSignedBundle(teaselturn::writeSignedBundle(*checked.value));
        if (!reparsed || *reparsed != *checked.value) {
            std::abort();
        }
    }
    static_cast<void>(teaselturn::parseCanonicalBundle(text));
    return 0;
}
