#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/Types.h"

#include <optional>
#include <span>
#include <vector>

namespace teaselturn {

/// A member with the time since its last reply to the leader.
struct MemberContact {
    MemberSpec member;
    /// Time since the member's last reply.
    Duration timeSinceReply {};
};

/// A process that requested to become a member.
struct JoinCandidate {
    NodeId node;
    DiskId disk;
};

/// Bounds of automatic membership changes.
struct JoinLimits {
    /// No unresponsive voter is removed if fewer voters than this would remain: twice the number of disks that may be
    /// lost at once, plus one.
    std::size_t minimumVoters { 3 };
    /// A member that has not replied for this long is removed if enough voters remain. A removed member that returns
    /// requests to join again, so removing one that was only partitioned costs a state transfer and loses no data.
    Duration removeAfter { std::chrono::seconds { 7 } };
};

/// Decides the next change of the ledger's configuration if no operator has configured the members. A process that
/// requests to join is added as a learner, a learner is promoted to voter, a node that returns with another disk
/// becomes a learner again, and members that have not replied for JoinLimits::removeAfter are removed.
/// @param contacts Members of the newest configuration, including the leader.
/// @param candidates Processes whose join request has not expired.
/// @return Changes in order of preference, each of them allowed on its own; empty if there is nothing to change.
std::vector<ChangeMembers> planMembershipChanges(std::span<const MemberContact> contacts, std::span<const JoinCandidate> candidates, const JoinLimits& bounds);

}
