#include "core/dispatch/RouteIndex.h"

#include <algorithm>
#include <array>

namespace teaselturn {

namespace {

    /// Longest host name allowed by DNS.
    constexpr std::size_t maxHostBytes = 255;

    constexpr char toLower(char c) noexcept
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }

}

RouteIndex::RouteIndex(const RegistryState& state)
{
    state.forEachItem([this](const ConfigItem& item) {
        const auto* route = std::get_if<RouteItem>(&item.content);
        if (route == nullptr) {
            return;
        }
        auto host = route->host;
        std::ranges::transform(host, host.begin(), toLower);
        this->hosts[host][route->pathPrefix] = std::make_shared<const CompiledRoute>(CompiledRoute { item.name, item.version, *route });
        ++this->count;
    });
}

std::shared_ptr<const CompiledRoute> RouteIndex::find(std::string_view host, std::string_view path) const
{
    std::array<char, maxHostBytes> lowercaseHost {};
    if (host.size() > lowercaseHost.size()) {
        return nullptr;
    }
    std::ranges::transform(host, lowercaseHost.begin(), toLower);
    const auto prefixes = this->hosts.find(std::string_view { lowercaseHost.data(), host.size() });
    if (prefixes == this->hosts.end()) {
        return nullptr;
    }
    // Prefixes consist of whole path segments, so a match can end only directly before or after a slash.
    const auto lookUp = [&prefixes](std::string_view prefix) {
        const auto found = prefixes->second.find(prefix);
        return found == prefixes->second.end() ? nullptr : found->second;
    };
    if (auto route = lookUp(path)) {
        return route;
    }
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        if (auto route = lookUp(path.substr(0, slash + 1))) {
            return route;
        }
        if (auto route = lookUp(path.substr(0, slash))) {
            return route;
        }
    }
    return nullptr;
}

}
