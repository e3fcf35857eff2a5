#include "adapters/settings/SettingsLoader.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

/// Settings text of any content must give settings or problems, never both or neither.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto checked = teaselturn::parseSettings({ reinterpret_cast<const char*>(data), size }, "/");
    if (checked.value.has_value() != checked.problems.empty()) {
        std::abort();
    }
    return 0;
}
