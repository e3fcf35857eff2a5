#pragma once

#include "core/StringHash.h"
#include "core/registry/RegistryState.h"
#include "teaselturn/Registry.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>
#include <string_view>

namespace teaselturn {

/// A route with its name and version in the configuration.
struct CompiledRoute {
    std::string name;
    std::uint64_t version {};
    RouteItem item;
};

/// Finds routes by host and path. Immutable: built from the current configuration items and replaced as a whole when
/// they change. Lookups allocate nothing.
class RouteIndex {
public:
    explicit RouteIndex(const RegistryState& state);

    /// @param host Host without port, compared case-insensitively.
    /// @param path Path without query.
    /// @return The route with the longest matching path prefix, or null if none matches or the host name is too long.
    /// The route stays valid as long as any copy of the pointer exists.
    std::shared_ptr<const CompiledRoute> find(std::string_view host, std::string_view path) const;

    std::size_t size() const noexcept { return this->count; }

private:
    using Prefixes = absl::flat_hash_map<std::string, std::shared_ptr<const CompiledRoute>, StringHash, std::equal_to<>>;

    absl::flat_hash_map<std::string, Prefixes, StringHash, std::equal_to<>> hosts;
    std::size_t count {};
};

}
