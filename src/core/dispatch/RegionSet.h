#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// A set of regions, or the region of one upstream.
class RegionSet {
public:
    /// @return The set of all regions, which also contains upstreams whose region is unknown.
    static constexpr RegionSet all() noexcept { return RegionSet { ~std::uint64_t { 0 } }; }

    constexpr RegionSet() = default;
    explicit constexpr RegionSet(std::uint64_t mask) noexcept
        : mask(mask)
    {
    }

    constexpr bool isAll() const noexcept { return this->mask == all().mask; }
    constexpr bool overlaps(RegionSet other) const noexcept { return (this->mask & other.mask) != 0; }
    constexpr RegionSet joinedWith(RegionSet other) const noexcept { return RegionSet { this->mask | other.mask }; }
    constexpr RegionSet sharedWith(RegionSet other) const noexcept { return RegionSet { this->mask & other.mask }; }

    friend auto operator<=>(const RegionSet&, const RegionSet&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.

private:
    std::uint64_t mask {};
};

/// Numbers the regions of a deployment, so that sets of them can be compared quickly.
class RegionTable {
public:
    /// @param regionOfZone Region of each availability zone. Regions beyond the first 63 names count as unknown.
    explicit RegionTable(const std::map<std::string, std::string, std::less<>>& regionOfZone)
        : regionOfZone(regionOfZone)
    {
        for (const auto& [zone, region] : regionOfZone) {
            this->names.push_back(region);
        }
        std::ranges::sort(this->names);
        this->names.erase(std::unique(this->names.begin(), this->names.end()), this->names.end());
    }

    /// @return The region of a zone. An unknown zone is in a region that no list can name.
    RegionSet regionOf(std::string_view zone) const
    {
        const auto found = this->regionOfZone.find(zone);
        const auto region = found == this->regionOfZone.end() ? RegionSet {} : this->find(found->second);
        return region == RegionSet {} ? RegionSet { std::uint64_t { 1 } << unknownRegion } : region;
    }

    /// @param regions Names of allowed regions; empty if all are allowed.
    RegionSet allowed(std::span<const std::string> regions) const
    {
        if (regions.empty()) {
            return RegionSet::all();
        }
        RegionSet result;
        for (const auto& region : regions) {
            result = result.joinedWith(this->find(region));
        }
        return result;
    }

private:
    static constexpr std::size_t unknownRegion = 63;

    /// @return The region with this name; the empty set if the deployment has none.
    RegionSet find(std::string_view name) const
    {
        const auto found = std::ranges::lower_bound(this->names, name);
        const auto position = static_cast<std::size_t>(found - this->names.begin());
        return found == this->names.end() || *found != name || position >= unknownRegion ? RegionSet {} : RegionSet { std::uint64_t { 1 } << position };
    }

    std::map<std::string, std::string, std::less<>> regionOfZone;
    std::vector<std::string> names;
};

}
