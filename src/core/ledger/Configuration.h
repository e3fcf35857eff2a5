#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/Result.h"

#include <span>
#include <vector>

namespace teaselturn {

/// Checks that configuration `to` may follow configuration `from`. Exactly one member may be added, removed, promoted,
/// demoted or given a new disk, so that every quorum of one configuration shares a member with every quorum of the
/// other.
/// @return Success, or MembershipChangeInvalid with the reason.
Status checkMemberChange(std::span<const MemberSpec> from, std::span<const MemberSpec> to);

/// Versioned member configuration of the replicated log. The newest version in the log is in effect, committed or not;
/// truncating the log restores an earlier one.
class Configuration {
public:
    /// @param index Log index from which the configuration is in effect.
    /// @param members Members at that index.
    Configuration(LogIndex index, std::vector<MemberSpec> members);

    std::span<const MemberSpec> newest() const noexcept { return this->versions.back().members; }
    LogIndex newestIndex() const noexcept { return this->versions.back().index; }
    /// @return The configuration in effect at index.
    std::span<const MemberSpec> at(LogIndex index) const noexcept;

    void append(LogIndex index, std::vector<MemberSpec> members);
    void truncateFrom(LogIndex index);
    /// Drops configurations that were replaced at or below index.
    void compactThrough(LogIndex index);

    /// @return True if the newest configuration lists the node as a voter with this disk. A node with a replaced disk
    /// is not a voter until it is admitted again.
    bool isVoter(NodeId node, DiskId disk) const noexcept;
    std::size_t voterCount() const noexcept;
    /// @return The number of voters that form a quorum.
    std::size_t quorum() const noexcept { return this->voterCount() / 2 + 1; }

private:
    struct Version {
        LogIndex index;
        std::vector<MemberSpec> members;
    };

    /// Never empty; ascending by index.
    std::vector<Version> versions;
};

}
