#include "core/ledger/LedgerLimits.h"
#include "core/support/LedgerNetwork.h"

#include <algorithm>
#include <cstring>

/// LedgerNetwork: invariant checks, and the model of disks, snapshots and applied state that they compare with.
namespace teaselturn::support {

namespace {

    std::uint64_t extendDigest(std::uint64_t digest, const LogEntry& entry)
    {
        digest ^= entry.term.value * 0x9E3779B97F4A7C15ULL + entry.index.value + entry.command.index() * 7919;
        return digest * 0xBF58476D1CE4E5B9ULL + 1;
    }

}

void LedgerNetwork::recordViolation(Invariant invariant, std::string description)
{
    if (!this->hasViolation()) {
        this->firstViolationText = std::move(description);
    }
    this->violatedInvariants.insert(invariant);
}

void LedgerNetwork::applyWrite(MemberState& disk, const MemberEffects& effects) const
{
    if (effects.hardState) {
        disk.hardState = *effects.hardState;
    }
    auto& entries = disk.entries;
    if (effects.truncateFrom && !this->mutations.keepsTruncated) {
        std::erase_if(entries, [&](const auto& entry) { return entry.index >= *effects.truncateFrom; });
    }
    if (effects.install) {
        disk.snapshot = effects.install;
        std::erase_if(entries, [&](const auto& entry) { return entry.index <= effects.install->lastIndex; });
    }
    entries.insert(entries.end(), effects.append.begin(), effects.append.end());
}

std::vector<std::uint8_t> LedgerNetwork::snapshotBytes(std::uint64_t digest, std::uint64_t salt, std::size_t size) const
{
    // Snapshots of the same state by two members may differ in their bytes; the salt models this. The remaining bytes
    // are derived from it.
    std::vector<std::uint8_t> bytes(size);
    std::memcpy(bytes.data(), &digest, sizeof(digest));
    std::memcpy(bytes.data() + sizeof(digest), &salt, sizeof(salt));
    for (auto i = sizeof(digest) + sizeof(salt); i < size; ++i) {
        bytes[i] = static_cast<std::uint8_t>(salt + i + i / 251);
    }
    return bytes;
}

void LedgerNetwork::installSnapshot(std::uint32_t node, const LedgerSnapshot& snapshot)
{
    auto& simulated = this->members.at(node);
    std::uint64_t salt = 0;
    std::memcpy(&salt, snapshot.bytes.data() + sizeof(std::uint64_t), sizeof(salt));
    simulated.applied = snapshot.lastIndex;
    simulated.digest = this->digests.at(snapshot.lastIndex.value);
    if (snapshot.bytes != this->snapshotBytes(simulated.digest, salt, snapshot.bytes.size())) {
        this->recordViolation(Invariant::SnapshotMatchesHistory, "node " + std::to_string(node) + " installed a snapshot that does not match the committed history");
    }
    this->multiChunkInstallCount += snapshot.bytes.size() > limits::snapshotChunkBytes ? 1 : 0;
}

void LedgerNetwork::apply(std::uint32_t node, const MemberEffects& effects)
{
    auto& simulated = this->members.at(node);
    if (effects.install) {
        this->installSnapshot(node, *effects.install);
    }
    for (const auto& entry : effects.committed) {
        if (entry.index.value != simulated.applied.value + 1) {
            this->recordViolation(Invariant::CommitsInOrder, "node " + std::to_string(node) + " committed index " + std::to_string(entry.index.value) + " after " + std::to_string(simulated.applied.value));
            return;
        }
        simulated.applied = entry.index;
        simulated.digest = extendDigest(simulated.digest, entry);
        if (entry.index.value > this->committedEntries.size()) {
            this->committedEntries.push_back(entry);
            this->digests.push_back(simulated.digest);
        } else if (this->committedEntries[entry.index.value - 1] != entry) {
            this->recordViolation(Invariant::CommitsAgree, "node " + std::to_string(node) + " committed a different entry at index " + std::to_string(entry.index.value));
        }
    }
}

void LedgerNetwork::checkVote(std::uint32_t from, const OutboundMessage& outbound)
{
    const auto* reply = std::get_if<VoteReply>(&outbound.message);
    if (!reply || !reply->isGranted) {
        return;
    }
    if (!this->admittedVoters.contains({ from, reply->disk.value })) {
        this->recordViolation(Invariant::VoterIsAdmitted, "node " + std::to_string(from) + " voted under a disk identity that was not admitted");
    }
    if (reply->isPreVote) {
        return;
    }
    const auto [vote, isNew] = this->votes.emplace(std::tuple { from, reply->disk.value, reply->term.value }, outbound.to);
    if (vote->second != outbound.to) {
        this->recordViolation(Invariant::OneVoteInTerm, "node " + std::to_string(from) + " voted twice in term " + std::to_string(reply->term.value));
    }
}

void LedgerNetwork::checkLeaders()
{
    for (const auto& [node, simulated] : this->members) {
        if (!simulated.member || simulated.member->role() != MemberRole::Leader) {
            continue;
        }
        const auto [leader, isNew] = this->leaders.emplace(simulated.member->term().value, node);
        if (leader->second != node) {
            this->recordViolation(Invariant::OneLeaderInTerm, "nodes " + std::to_string(leader->second) + " and " + std::to_string(node) + " are both leaders in term " + std::to_string(leader->first));
        }
        if (!simulated.isFrozen && simulated.member->hasLeaderLease(this->localTime(simulated)) && simulated.member->commitIndex() < this->lastCommitted()) {
            this->recordViolation(Invariant::LeaseHolderIsCurrent, "node " + std::to_string(node) + " has the leader lease but not the newest committed entry");
        }
    }
}

}
