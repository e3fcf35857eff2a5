#include "FuzzSeeds.h"
#include "adapters/settings/FileText.h"
#include "adapters/settings/SettingsLoader.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

std::vector<std::vector<std::uint8_t>> fuzzSeeds()
{
    using namespace teaselturn;
    const auto example = readFileText(TEASELTURN_SOURCE_DIR "/docs/settings-example.json", ResultCode::SettingsUnreadable);
    if (!example || !parseSettings(*example, "/").value) {
        std::abort();
    }
    return { { example->begin(), example->end() } };
}

/// Checks that any text yields either settings or problems, never both or neither.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto checked = teaselturn::parseSettings({ reinterpret_cast<const char*>(data), size }, "/");
    if (checked.value.has_value() != checked.problems.empty()) {
        std::abort();
    }
    return 0;
}
