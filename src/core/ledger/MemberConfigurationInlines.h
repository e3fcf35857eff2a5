#pragma once

#include "core/ledger/Member.h"

#include <algorithm>
#include <string>
#include <utility>

/// Member: configuration changes.
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
Duration Member<Random>::timeSinceContact(NodeId node, Instant at) const noexcept
{
    const auto found = std::find_if(this->peers.begin(), this->peers.end(), [node](const auto& progress) { return progress.node == node; });
    return found == this->peers.end() ? Duration::zero() : at - std::max(found->confirmedAt, this->leaderSince);
}

template <RandomSource Random>
Status Member<Random>::validateChange(const ChangeMembers& change) const
{
    // Until an entry of its own term is committed, the leader cannot know whether the previous change is committed.
    if (this->committed < this->termStartIndex || this->committed < this->configuration.newestIndex()) {
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
        const auto hasRecentReply = found != this->peers.end() && found->confirmedAt != Instant::min() && this->now < found->confirmedAt + this->timing.electionMinimum;
        if (!hasRecentReply || found->matchIndex < this->roundCommitIndex) {
            return { ResultCode::MembershipChangePending, "node " + std::to_string(member.node.value) + " has not caught up" };
        }
    }
    return success();
}

template <RandomSource Random>
void Member<Random>::updatePeers()
{
    std::vector<PeerProgress> updatedPeers;
    for (const auto& member : this->configuration.newest()) {
        if (member.node == this->self) {
            continue;
        }
        if (auto* existing = this->findPeer(member.node, member.disk)) {
            updatedPeers.push_back(std::move(*existing));
            continue;
        }
        auto& progress = updatedPeers.emplace_back();
        progress.node = member.node;
        progress.disk = member.disk;
        progress.nextIndex = LogIndex { this->log.lastIndex().value + 1 };
        progress.isHeartbeatDue = true;
    }
    this->peers = std::move(updatedPeers);
}

template <RandomSource Random>
void Member<Random>::stepDownIfRemoved()
{
    if (this->isSelfVoter() || this->committed < this->configuration.newestIndex()) {
        return;
    }
    // Sends the commit index before stepping down; otherwise the others would learn of it only from the next leader.
    for (auto& progress : this->peers) {
        progress.isHeartbeatDue = true;
    }
    this->replicate();
    this->becomeFollower();
}

}
