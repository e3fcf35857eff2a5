#include "core/ownership/RolloutGate.h"

#include <algorithm>

namespace teaselturn {

namespace {

    RegionId regionOf(const Bundle& bundle, ZoneId zone)
    {
        const auto found = std::find_if(bundle.zones.begin(), bundle.zones.end(), [zone](const auto& spec) { return spec.id == zone; });
        return found == bundle.zones.end() ? RegionId {} : found->region;
    }

}

void RolloutGate::clear() { *this = {}; }

std::optional<AdvanceRollout> RolloutGate::next(Instant now, Instant floor, const OwnershipState& state, const DelegationTable& delegations)
{
    if (!state.isRollingOut() || now < floor) {
        return std::nullopt;
    }
    const auto& bundle = state.acceptedBundle()->bundle;
    absl::btree_set<RegionId> regions;
    bool isReady = true;
    for (const auto& entry : bundle.entries) {
        const auto region = regionOf(bundle, entry.zone);
        if (!delegations.holdsDelegation(now, entry.id)) {
            continue;
        }
        regions.insert(region);
        const bool isReached = state.bundleInForce(region) == state.acceptedBundle();
        const auto* contact = delegations.find(entry.id);
        isReady = isReady && (!isReached || (contact->bundleInForce == bundle.version && contact->isHealthy));
    }
    if (this->version != bundle.version || this->stage != state.rolloutStage()) {
        this->version = bundle.version;
        this->stage = state.rolloutStage();
        this->regionsInContact = regions;
    }
    for (const auto region : this->regionsInContact) {
        isReady = isReady && (state.bundleInForce(region) != state.acceptedBundle() || regions.contains(region));
    }
    return isReady ? std::optional { AdvanceRollout { bundle.version, this->stage + 1 } } : std::nullopt;
}

}
