#pragma once

#include "core/StringHash.h"
#include "core/registry/RegistryState.h"
#include "teaselturn/Registry.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>
#include <string_view>

namespace teaselturn {

/// A route with the name it has in the configuration.
struct CompiledRoute {
    std::string name;
    std::uint64_t version {};
    RouteItem item;
};

/// Finds routes by host and path. Built from the items in force and replaced whole; lookups allocate nothing.
class RouteIndex {
public:
    explicit RouteIndex(const RegistryState& state);

    /// @param host Host without port; case does not matter.
    /// @param path Path without query.
    /// @return The route with the longest prefix of the path, or null. It lives as long as any copy of the pointer.
    std::shared_ptr<const CompiledRoute> find(std::string_view host, std::string_view path) const;

    std::size_t size() const noexcept { return this->count; }

private:
    using Prefixes = absl::flat_hash_map<std::string, std::shared_ptr<const CompiledRoute>, StringHash, std::equal_to<>>;

    absl::flat_hash_map<std::string, Prefixes, StringHash, std::equal_to<>> hosts;
    std::size_t count {};
};

}
