#pragma once

#include "core/ledger/Member.h"

#include <algorithm>
#include <string>
#include <utility>

/// Configuration changes of Member.
namespace teaselturn {

template <RandomSource Random>
std::span<const MemberSpec> Member<Random>::members() const noexcept
{
    return this->configuration.newest();
}

template <RandomSource Random>
std::span<const MemberSpec> Member<Random>::membersAt(LogIndex index) const noexcept
{
    return this->configuration.at(index);
}

template <RandomSource Random>
Duration Member<Random>::silence(NodeId node, Instant at) const noexcept
{
    const auto found = std::find_if(this->peers.begin(), this->peers.end(), [node](const auto& progress) { return progress.node == node; });
    return found == this->peers.end() ? Duration::zero() : at - std::max(found->confirmedAt, this->leaderSince);
}

template <RandomSource Random>
Status Member<Random>::checkChange(const ChangeMembers& change) const
{
    // Without a committed entry of its own term the leader cannot know that the former change is settled.
    if (this->committed < this->termStart || this->committed < this->configuration.newestIndex()) {
        return ResultCode::MembershipChangePending;
    }
    if (auto status = checkMemberChange(this->members(), change.members); !status) {
        return status;
    }
    for (const auto& member : change.members) {
        if (!member.voter || this->configuration.isVoter(member.node, member.disk)) {
            continue;
        }
        const auto found = std::find_if(this->peers.begin(), this->peers.end(), [&member](const auto& progress) { return progress.node == member.node; });
        const auto isHeard = found != this->peers.end() && found->confirmedAt != Instant::min() && this->now < found->confirmedAt + this->timing.electionMinimum;
        if (!isHeard || found->matchIndex < this->roundCommit) {
            return { ResultCode::MembershipChangePending, "node " + std::to_string(member.node.value) + " has not caught up" };
        }
    }
    return success();
}

template <RandomSource Random>
void Member<Random>::alignPeers()
{
    std::vector<PeerProgress> aligned;
    for (const auto& member : this->configuration.newest()) {
        if (member.node == this->self) {
            continue;
        }
        if (auto* known = this->peer(member.node, member.disk)) {
            aligned.push_back(std::move(*known));
            continue;
        }
        auto& progress = aligned.emplace_back();
        progress.node = member.node;
        progress.disk = member.disk;
        progress.nextIndex = LogIndex { this->log.lastIndex().value + 1 };
        progress.isHeartbeatDue = true;
    }
    this->peers = std::move(aligned);
}

template <RandomSource Random>
void Member<Random>::stepDownWhereRemoved()
{
    if (this->isSelfVoter() || this->committed < this->configuration.newestIndex()) {
        return;
    }
    // The others learn of the commit before the leader goes, so that they need not wait for the next one.
    for (auto& progress : this->peers) {
        progress.isHeartbeatDue = true;
    }
    this->replicate();
    this->becomeFollower();
}

}
