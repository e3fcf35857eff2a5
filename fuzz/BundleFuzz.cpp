#include "adapters/settings/BundleJson.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

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
