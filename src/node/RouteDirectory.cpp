#include "node/RouteDirectory.h"

#include <algorithm>
#include <variant>

namespace teaselturn {

std::optional<ServiceInfo> RouteDirectory::findService(std::string_view name)
{
    const auto id = this->routes.findService(name);
    if (!id) {
        return std::nullopt;
    }
    const SharedMutexLock lock { this->mutex };
    const auto found = this->services.find(*id);
    return found == this->services.end() ? std::nullopt : std::optional { found->second };
}

std::optional<OwnerInfo> RouteDirectory::findOwner(UpstreamId owner)
{
    const SharedMutexLock lock { this->mutex };
    const auto found = this->owners.find(owner);
    return found == this->owners.end() ? std::nullopt : std::optional { found->second };
}

void RouteDirectory::apply(const OwnershipState& state, const AppliedEntry& applied, RegionId region)
{
    const auto& command = applied.entry.command;
    // Updates owners before routes: a route must not name an owner that findOwner() does not find.
    if (std::holds_alternative<AcceptBundle>(command) || std::holds_alternative<AdvanceRollout>(command)) {
        this->rebuildOwners(state, region);
    } else if (std::holds_alternative<AttachUpstream>(command)) {
        this->setOwner(state, applied.outcome.upstream);
    }
    this->routes.update(state, applied.entry, region);
    if (const auto* expire = std::get_if<ExpireUpstream>(&command)) {
        this->setOwner(state, expire->upstream);
    }
}

void RouteDirectory::rebuild(const OwnershipState& state, RegionId region)
{
    this->rebuildOwners(state, region);
    this->routes.rebuild(state, region);
}

OwnerInfo RouteDirectory::describe(const UpstreamRecord& record) const
{
    const auto& attachment = record.attachment;
    return { attachment.endpoint, attachment.checksGrants, attachment.requestSlots, std::max(1U, attachment.connectionLimit / this->entryCount) };
}

void RouteDirectory::setOwner(const OwnershipState& state, UpstreamId upstream)
{
    const MutexLock lock { this->mutex };
    if (const auto* record = state.findUpstream(upstream)) {
        this->owners.insert_or_assign(upstream, this->describe(*record));
    } else {
        this->owners.erase(upstream);
    }
}

void RouteDirectory::rebuildOwners(const OwnershipState& state, RegionId region)
{
    const MutexLock lock { this->mutex };
    this->services.clear();
    this->owners.clear();
    this->entryCount = 1;
    const auto* inForce = state.bundleInForce(region);
    for (const auto* signedBundle : { inForce, state.acceptedBundle() }) {
        // During a rollout, entry VMs use different bundles. Dividing by the larger number of entry VMs keeps the sum
        // of their shares within the upstream's connection limit.
        if (signedBundle != nullptr) {
            this->entryCount = std::max(this->entryCount, static_cast<std::uint32_t>(signedBundle->bundle.entries.size()));
        }
    }
    if (inForce != nullptr) {
        for (const auto& service : inForce->bundle.services) {
            this->services.emplace(service.id, ServiceInfo { service.id, service.priority, service.retryBudgetPercent });
        }
    }
    state.forEachUpstream([this](const UpstreamRecord& record) {
        this->mutex.assertHeld();
        this->owners.emplace(record.id, this->describe(record));
    });
}

}
