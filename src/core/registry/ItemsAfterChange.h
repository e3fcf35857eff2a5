#pragma once

#include "core/registry/RegistryState.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <string_view>

namespace teaselturn {

/// The routes and services that exist once a change is applied, by the versions that take effect: of all versions of an item that the
/// state and the change contain, the highest. Not thread-safe.
class ItemsAfterChange {
public:
    /// The references must outlive this object.
    ItemsAfterChange(const RegistryState& state, const ChangeItems& change);

    /// Checks that routes name services that exist. Routes that the change neither sets nor affects are not checked, so that an
    /// old state with a fault does not reject every change.
    /// @return Success, or ItemsInvalid with the reason.
    Status checkServicesOfRoutes() const;

private:
    /// Version of an item that takes effect.
    struct Effect {
        std::uint64_t version {};
        /// Null if the item is deleted.
        const ConfigItem* item {};
    };
    using Effects = absl::flat_hash_map<std::string_view, Effect>;

    /// Records a version from the change if it is higher than those before.
    void record(ItemKind kind, std::string_view name, std::uint64_t version, const ConfigItem* item);
    Effects& effectsOf(ItemKind kind) { return kind == ItemKind::Route ? this->routes : this->services; }
    bool hasService(std::string_view name) const;
    /// @return True if a service of that name exists, existed or comes with the change.
    bool isKnownService(std::string_view name) const;
    Status checkUpsert(const ConfigItem& item, const RouteItem& route) const;
    Status checkUnchangedRoutes() const;

    const RegistryState& state;
    const ChangeItems& change;
    /// Items of the change that take effect.
    Effects routes;
    Effects services;
    absl::flat_hash_set<std::string_view> upsertedServices;
};

}
