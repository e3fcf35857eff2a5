#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Command.h"
#include "teaselturn/Types.h"

#include <span>
#include <vector>

namespace teaselturn {

/// Decides how the ledger's configuration comes closer to the members that a bundle lists. Each change concerns one
/// member. New members are added and promoted before others are removed; only a voter whose disk was replaced goes
/// first, because its vote is lost already, and only while the voters that stay are a majority of the bundle's members.
/// A listed member without a disk identity keeps the disk that the configuration has, and is not added where the
/// configuration does not have it.
/// @param current The ledger's newest configuration.
/// @param wanted The members of the accepted bundle. Where it is empty, nothing changes.
/// @param leader Member that proposes the change. It is the last one to be removed, since it then steps down.
/// @return Changes in order of preference, each of which is allowed at this moment by itself; empty where nothing is to
/// change. The ledger may refuse one, such as the promotion of a learner that has not caught up.
std::vector<ChangeMembers> planMemberChange(std::span<const MemberSpec> current, std::span<const NodeSpec> wanted, NodeId leader);

}
