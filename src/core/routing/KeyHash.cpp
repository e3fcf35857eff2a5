#include "core/routing/RouteTable.h"

#include <xxhash.h>

namespace teaselturn {

std::uint64_t hashKey(std::string_view key) noexcept { return XXH3_64bits(key.data(), key.size()); }

}
