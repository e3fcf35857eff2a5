#pragma once

#include "core/ledger/Member.h"
#include "core/support/SeededRandom.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// Deterministic simulation of ledger members with network, disks and clocks, driven by one seed.
namespace teaselturn::support {

/// Delays, losses and duplicates applied to every message, and limits for disks and clocks.
struct NetworkFaults {
    Duration minimumDelay { std::chrono::milliseconds { 1 } };
    Duration maximumDelay { std::chrono::milliseconds { 5 } };
    std::uint32_t lossPercent {};
    std::uint32_t duplicatePercent {};
    /// Maximum duration of a disk sync.
    Duration maximumSync { std::chrono::milliseconds { 4 } };
    /// Largest deviation of a member's clock from the simulated time, in parts per 10,000. Two clocks with 49 each
    /// differ in rate by just under one part in timing::driftDivisor.
    std::uint32_t clockDeviation { 49 };
};

/// Invariants that LedgerNetwork checks in every step.
enum class Invariant : std::uint8_t {
    /// The log on a disk has no gaps.
    LogOnDiskIsContiguous,
    /// An installed snapshot matches, byte for byte, one taken from the committed history.
    SnapshotMatchesHistory,
    /// A member reports every committed entry once, in order.
    CommitsInOrder,
    /// No two members report different entries as committed at an index.
    CommitsAgree,
    /// Only disk identities that were admitted grant votes.
    VoterIsAdmitted,
    /// A disk identity votes for at most one candidate per term.
    OneVoteInTerm,
    /// A term has at most one leader.
    OneLeaderInTerm,
    /// A member with the leader lease has every committed entry.
    LeaseHolderIsCurrent,
};

/// Number of values of Invariant.
inline constexpr std::size_t invariantCount = 8;

/// Protocol violations that the invariant checks must detect. The simulation introduces them; the production code is
/// unchanged.
struct Mutations {
    /// Messages in afterPersist are sent before the write is synced.
    bool sendsBeforeSync {};
    /// A member that lost its disk restarts with the old disk identity.
    bool reusesDiskIdentity {};
    /// A restarted member has lost its vote.
    bool losesVote {};
    /// Truncated entries stay on the disk.
    bool keepsTruncated {};
    /// Snapshots are written with one changed byte.
    bool corruptsSnapshot {};
    /// About 1 % of the batches of committed entries are applied without their first entry.
    bool skipsCommitted {};
    /// Vote requests arrive with the receiver's own disk identity, so that it never rejects them for another one.
    bool ignoresVoterDisk {};
    /// Rejected votes arrive as granted.
    bool countsRejectedVotes {};
    /// Clocks deviate by up to 40 %, far beyond the drift bound.
    bool exceedsDriftBound {};
    /// Snapshot chunks never arrive.
    bool losesSnapshots {};
};

/// A member process with its disk and clock.
struct SimulatedMember {
    /// Synced disk content, which survives a kill.
    MemberState synced;
    /// Rate of the member's clock in parts per 10,000, and its value at simulated time zero. Both change when the
    /// process starts.
    std::int64_t clockRate { 10'000 };
    Duration clockOffset {};
    /// Empty while the process is down.
    std::unique_ptr<Member<SeededRandom>> member;
    bool isFrozen {};
    /// The write in progress.
    std::optional<MemberEffects> pendingWrite;
    LogIndex pendingWriteThrough;
    /// Simulated time at which the write in progress is synced.
    Instant writeCompletesAt;
    /// Messages that arrived while the process was frozen.
    std::deque<std::pair<NodeId, PeerMessage>> backlog;
    LogIndex applied;
    std::uint64_t digest {};
};

class LedgerNetwork {
public:
    /// @param voters Number of initial members, numbered from 1.
    LedgerNetwork(std::uint64_t seed, std::uint32_t voters, NetworkFaults faults, Mutations mutations = {});

    /// Advances the simulated time to the next event, processes it and checks every invariant.
    void step();
    void run(Duration length);
    /// Runs until the condition holds, at most for length.
    template <typename Condition>
    void runUntil(Condition condition, Duration length)
    {
        for (const auto end = this->now + length; this->now < end && !condition();) {
            this->run(std::chrono::milliseconds { 50 });
        }
    }

    void kill(std::uint32_t node);
    void start(std::uint32_t node);
    /// Kills the member and gives it an empty disk.
    void loseDisk(std::uint32_t node);
    void freeze(std::uint32_t node, bool isFrozen);
    /// Cuts or restores the link in one direction.
    void cut(std::uint32_t from, std::uint32_t to, bool isCut);
    /// Restores all links, unfreezes all members and starts those that are down.
    void healAll();

    /// Proposes a command at a member.
    /// @return True if the member accepted the proposal.
    bool propose(std::uint32_t node, Command command);
    /// @return True if, after the loss of one more disk, a majority of the members still are voters with their disks
    /// intact.
    bool canLoseDisk() const;
    /// Makes the leader propose to admit or promote one member whose disk identity is not a voter.
    /// @return True if every member is a voter with its disk identity and that configuration is committed.
    bool repairMembership();
    /// Makes a member write a snapshot of its applied state and compact its log.
    void compact(std::uint32_t node);

    /// @return The node with the leader lease, or zero.
    std::uint32_t leaseHolder() const;
    SimulatedMember& at(std::uint32_t node) { return this->members.at(node); }
    std::uint32_t size() const { return static_cast<std::uint32_t>(this->members.size()); }
    LogIndex lastCommitted() const { return LogIndex { this->committedEntries.size() }; }
    /// @return True if every running member has applied all committed entries.
    bool isConverged() const;
    /// @return The number of terms that had a leader.
    std::size_t electionCount() const { return this->leaders.size(); }
    bool hasViolation() const { return !this->violatedInvariants.empty(); }
    /// @return A description of the first violation, or "none".
    std::string firstViolation() const { return this->hasViolation() ? this->firstViolationText : "none"; }
    const std::set<Invariant>& violations() const { return this->violatedInvariants; }
    /// @return The number of installed snapshots that were transferred in more than one chunk.
    std::uint64_t multiChunkInstalls() const { return this->multiChunkInstallCount; }
    std::uint64_t lostDiskCount() const { return this->diskLossCount; }
    SeededRandom& randomSource() { return this->random; }

private:
    struct Delivery {
        NodeId from;
        OutboundMessage message;
    };

    void recordViolation(Invariant invariant, std::string description);
    Instant localTime(const SimulatedMember& simulated) const;
    std::vector<std::uint8_t> snapshotBytes(std::uint64_t digest, std::uint64_t salt, std::size_t size) const;
    void applyWrite(MemberState& disk, const MemberEffects& effects) const;
    void installSnapshot(std::uint32_t node, const LedgerSnapshot& snapshot);
    void send(std::uint32_t from, const std::vector<OutboundMessage>& messages);
    void deliver(const Delivery& delivery);
    void executeEffects(std::uint32_t node);
    void finishWrite(std::uint32_t node);
    void apply(std::uint32_t node, const MemberEffects& effects);
    void checkVote(std::uint32_t from, const OutboundMessage& outbound);
    void checkLeaders();

    SeededRandom random;
    NetworkFaults faults;
    Mutations mutations;
    Instant now { std::chrono::seconds { 100 } };
    Instant nextTick;
    std::map<std::uint32_t, SimulatedMember> members;
    std::vector<MemberSpec> initialMembers;
    std::multimap<Instant, Delivery> inTransit;
    std::set<std::pair<std::uint32_t, std::uint32_t>> cuts;
    std::uint64_t nextDisk { 1 };
    std::map<std::uint64_t, std::uint32_t> leaders;
    /// Candidate that received the vote of (node, disk, term).
    std::map<std::tuple<std::uint32_t, std::uint64_t, std::uint64_t>, NodeId> votes;
    std::set<std::pair<std::uint32_t, std::uint64_t>> admittedVoters;
    /// Every entry that any member has reported as committed, in order of index.
    std::vector<LogEntry> committedEntries;
    /// Digest of the applied state at each index.
    std::vector<std::uint64_t> digests { 0 };
    std::set<Invariant> violatedInvariants;
    std::string firstViolationText;
    std::uint64_t multiChunkInstallCount {};
    std::uint64_t diskLossCount {};
};

}
