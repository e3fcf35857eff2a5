#pragma once

#include "core/ownership/DelegationTable.h"
#include "core/ownership/OwnershipState.h"
#include "teaselturn/Command.h"
#include "teaselturn/Types.h"

#include <absl/container/btree_set.h>
#include <optional>

namespace teaselturn {

/// Decides when the accepted bundle comes into force in the next region of its order.
class RolloutGate {
public:
    void clear();

    /// @param floor No entry VM counts as out of contact before: this leader may not have heard of it yet.
    /// @return The next stage, where every entry VM in contact in the regions reached has the bundle in force and is
    /// healthy, and no region has fallen silent since the bundle reached it.
    std::optional<AdvanceRollout> next(Instant now, Instant floor, const OwnershipState& state, const DelegationTable& delegations);

private:
    BundleVersion version;
    std::uint32_t stage {};
    /// Regions that had an entry VM in contact when the stage was first seen. One that goes silent may have failed
    /// because of the bundle.
    absl::btree_set<RegionId> regionsInContact;
};

}
