#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/Types.h"

#include <optional>
#include <span>
#include <vector>

namespace teaselturn {

/// A member as the leader sees it now.
struct MemberContact {
    MemberSpec member;
    /// Time since the member last answered.
    Duration silentFor {};
};

/// A process that asked to become a member.
struct JoinCandidate {
    NodeId node;
    DiskId disk;
};

/// Bounds of automatic membership changes.
struct JoinLimits {
    /// Voters below which no silent member is removed: twice the disks that may be lost at once, plus one.
    std::size_t minimumVoters { 3 };
    /// A member that is silent for this long is removed where enough voters stay. A removed member that returns asks to
    /// join again, so removing one that was only cut off costs a transfer and no data.
    Duration removeAfter { std::chrono::seconds { 7 } };
};

/// Decides the next change of the ledger's configuration where no operator lists its members: processes that ask are
/// taken in, a node that returns with another disk starts anew as a learner, and members that stay silent make room.
/// @param contacts The newest configuration, the leader included.
/// @param candidates Processes that asked lately.
/// @return Changes in order of preference, each allowed by itself; empty where nothing is to change.
std::vector<ChangeMembers> planJoins(std::span<const MemberContact> contacts, std::span<const JoinCandidate> candidates, const JoinLimits& bounds);

}
