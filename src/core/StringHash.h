#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace teaselturn {

/// Lets hash containers of std::string be searched by std::string_view without a copy. Abseil's own string hash takes
/// absl::string_view, which is another type in Debian's build. The hash is for containers of one process only.
struct StringHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): the name that containers look for.
    std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view> {}(text); }
};

}
