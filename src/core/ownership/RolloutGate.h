#pragma once

#include "core/ownership/DelegationTable.h"
#include "core/ownership/OwnershipState.h"
#include "teaselturn/Command.h"
#include "teaselturn/Types.h"

#include <absl/container/btree_set.h>
#include <optional>

namespace teaselturn {

/// Decides when the accepted bundle comes into force in the next region of its rollout order.
class RolloutGate {
public:
    void clear();

    /// @param floor Time before which no entry VM counts as out of contact, since this leader may not have received a
    /// request from it yet.
    /// @return The next stage if, in the regions reached, every entry VM in contact has the bundle in force and is
    /// healthy, and no region has lost contact since the bundle reached it.
    std::optional<AdvanceRollout> next(Instant now, Instant floor, const OwnershipState& state, const DelegationTable& delegations);

private:
    BundleVersion version;
    std::uint32_t stage {};
    /// Regions that had an entry VM in contact when this leader first saw the stage. If one loses contact, the bundle
    /// may be the cause.
    absl::btree_set<RegionId> regionsInContact;
};

}
