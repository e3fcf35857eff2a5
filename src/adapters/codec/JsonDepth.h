#pragma once

#include <cstddef>
#include <string_view>

namespace teaselturn {

/// Maximum nesting of a JSON document from outside the process.
inline constexpr std::size_t maxJsonDepth = 16;

/// Scans a JSON text without building it. The JSON library recurses once per level when it writes or copies a document,
/// so a text is checked before it is parsed.
/// @return True if arrays and objects are nested deeper than maxDepth levels.
bool exceedsJsonDepth(std::string_view text, std::size_t maxDepth = maxJsonDepth) noexcept;

}
