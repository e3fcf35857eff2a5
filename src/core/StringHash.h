#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace teaselturn {

/// Transparent hash that lets containers keyed by std::string look up a std::string_view without a copy. Abseil's own
/// string hash takes absl::string_view, which is a different type in Debian's build. The hash value may differ between
/// processes, so it is only for containers in memory.
struct StringHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): hash containers require this name.
    std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view> {}(text); }
};

}
