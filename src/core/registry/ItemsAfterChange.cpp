#include "core/registry/ItemsAfterChange.h"

#include <algorithm>
#include <string>

namespace teaselturn {

namespace {

    Status unknownService(std::string_view route, std::string_view service)
    {
        return { ResultCode::ItemsInvalid, std::string { route } + ": service " + std::string { service } + " does not exist" };
    }

}

ItemsAfterChange::ItemsAfterChange(const RegistryState& state, const ChangeItems& change)
    : state(state)
    , change(change)
{
    for (const auto& item : change.upserts) {
        this->record(item.kind(), item.name, item.version, &item);
        if (item.kind() == ItemKind::Service) {
            this->upsertedServices.insert(item.name);
        }
    }
    for (const auto& deletion : change.deletions) {
        this->record(deletion.kind, deletion.name, deletion.version, nullptr);
    }
}

void ItemsAfterChange::record(ItemKind kind, std::string_view name, std::uint64_t version, const ConfigItem* item)
{
    if (kind == ItemKind::Limits || !this->state.isNewerVersion(kind, name, version)) {
        return;
    }
    const auto [found, isFirst] = this->effectsOf(kind).try_emplace(name, Effect { version, item });
    if (!isFirst && version > found->second.version) {
        found->second = { version, item };
    }
}

bool ItemsAfterChange::hasService(std::string_view name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? this->state.findService(name) != nullptr : found->second.item != nullptr;
}

bool ItemsAfterChange::isKnownService(std::string_view name) const
{
    return this->upsertedServices.contains(name) || this->state.findItem(ItemKind::Service, name) != nullptr;
}

Status ItemsAfterChange::checkUpsert(const ConfigItem& item, const RouteItem& route) const
{
    const auto effect = this->routes.find(item.name);
    const bool takesEffect = effect != this->routes.end() && effect->second.item == &item;
    // A change that was accepted may arrive again when its routes have been replaced and their services dropped.
    const auto isValid = [&](const std::string& service) { return takesEffect ? this->hasService(service) : this->isKnownService(service); };
    const auto unknown = std::ranges::find_if_not(route.shares, isValid, &TrafficShare::service);
    return unknown == route.shares.end() ? success() : unknownService(item.name, unknown->service);
}

Status ItemsAfterChange::checkUnchangedRoutes() const
{
    Status result = success();
    this->state.forEachItem([&](const ConfigItem& item) {
        const auto* route = std::get_if<RouteItem>(&item.content);
        if (route == nullptr || !result || this->routes.contains(item.name)) {
            return;
        }
        for (const auto& share : route->shares) {
            const auto effect = this->services.find(share.service);
            if (effect != this->services.end() && effect->second.item == nullptr) {
                result = unknownService(item.name, share.service);
                return;
            }
        }
    });
    return result;
}

Status ItemsAfterChange::checkServicesOfRoutes() const
{
    for (const auto& item : this->change.upserts) {
        const auto* route = std::get_if<RouteItem>(&item.content);
        if (route == nullptr) {
            continue;
        }
        if (auto checked = this->checkUpsert(item, *route); !checked) {
            return checked;
        }
    }
    const bool dropsService = std::ranges::any_of(this->services, [](const auto& service) { return service.second.item == nullptr; });
    return dropsService ? this->checkUnchangedRoutes() : success();
}

}
