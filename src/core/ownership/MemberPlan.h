#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Command.h"
#include "teaselturn/Types.h"

#include <span>
#include <vector>

namespace teaselturn {

/// Plans changes that bring the ledger's configuration closer to the members that a bundle lists. Each change concerns
/// one member. New members are added and promoted before others are removed. The exception is a voter whose disk was
/// replaced: it is demoted first, because its vote is already lost, but only while the remaining voters are a majority
/// of the bundle's members. A listed member without a disk identity keeps the disk in the configuration, and is not
/// added if the configuration lacks it.
/// @param current The ledger's newest configuration.
/// @param wanted The members of the accepted bundle. If empty, nothing changes.
/// @param leader Member that proposes the change. It is removed last, since it then steps down.
/// @return Changes in order of preference, each of them allowed on its own at this moment; empty if nothing needs to
/// change. The ledger may refuse one, such as the promotion of a learner that has not caught up.
std::vector<ChangeMembers> planMemberChange(std::span<const MemberSpec> current, std::span<const NodeSpec> wanted, NodeId leader);

}
