#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/Result.h"

#include <span>
#include <vector>

namespace teaselturn {

/// Checks that a configuration may follow another: one member added, removed, promoted or given a new disk, so that
/// any quorum of the one and any quorum of the other share a member.
/// @return Success, or MembershipChangeInvalid with what is wrong.
Status checkMemberChange(std::span<const MemberSpec> from, std::span<const MemberSpec> to);

/// Configurations of the ledger by the log index from which each counts. The newest one in the log counts, committed or
/// not; truncating the log brings an earlier one back.
class Configuration {
public:
    /// @param members Configuration at index.
    Configuration(LogIndex index, std::vector<MemberSpec> members);

    std::span<const MemberSpec> newest() const noexcept { return this->versions.back().members; }
    LogIndex newestIndex() const noexcept { return this->versions.back().index; }
    /// @return Configuration in the log up to index.
    std::span<const MemberSpec> at(LogIndex index) const noexcept;

    void append(LogIndex index, std::vector<MemberSpec> members);
    void truncateFrom(LogIndex index);
    /// Forgets configurations that only mattered below index.
    void compactThrough(LogIndex index);

    /// @return True where the pair is a voter in the newest configuration. A replaced disk makes another pair.
    bool isVoter(NodeId node, DiskId disk) const noexcept;
    std::size_t voterCount() const noexcept;
    /// @return Number of voters that form a quorum.
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
