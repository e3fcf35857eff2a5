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
    auto sealed = sealBundle(bundle);
    sealed.signatures = { { "thandi", { 3 } } };
    if (!parseCanonicalBundle(sealed.canonicalBytes) || !parseSignedBundle(writeSignedBundle(sealed))) {
        std::abort();
    }
    const auto signedText = writeSignedBundle(sealed);
    return { { sealed.canonicalBytes.begin(), sealed.canonicalBytes.end() }, { signedText.begin(), signedText.end() } };
}

/// A bundle that is accepted must be accepted again in the form in which it is written.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text { reinterpret_cast<const char*>(data), size };
    const auto checked = teaselturn::readBundle(text);
    if (checked.value.has_value() != checked.problems.empty()) {
        std::abort();
    }
    if (checked.value) {
        const auto again = teaselturn::parseSignedBundle(teaselturn::writeSignedBundle(*checked.value));
        if (!again || *again != *checked.value) {
            std::abort();
        }
    }
    static_cast<void>(teaselturn::parseCanonicalBundle(text));
    return 0;
}
