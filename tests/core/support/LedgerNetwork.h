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

/// Ledger members over a simulated network, simulated disks and a simulated clock, all decided by one seed.
namespace teaselturn::support {

/// Faults of the network that act on every message.
struct NetworkFaults {
    Duration minimumDelay { std::chrono::milliseconds { 1 } };
    Duration maximumDelay { std::chrono::milliseconds { 5 } };
    std::uint32_t lossPercent {};
    std::uint32_t duplicatePercent {};
    Duration maximumSync { std::chrono::milliseconds { 4 } };
    /// Largest deviation of a member's clock from the simulated time, in parts per 10,000. Two clocks with 49 each
    /// differ in rate by just under one part in timing::driftDivisor.
    std::uint32_t clockDeviation { 49 };
};

/// What the checks watch for.
enum class Invariant : std::uint8_t {
    /// The log on a disk has no gap.
    LogOnDiskIsWhole,
    /// A snapshot that a member installs is, byte for byte, one of the common history.
    SnapshotIsOfHistory,
    /// A member reports committed entries in order, each once.
    CommitsInOrder,
    /// No two members report different entries as committed at an index.
    CommitsAgree,
    /// Only a disk identity that was admitted votes.
    VoterIsAdmitted,
    /// A disk identity votes for one candidate in a term.
    OneVoteInTerm,
    OneLeaderInTerm,
    /// A member that holds the leader lease knows every committed entry.
    LeaseHolderIsCurrent,
};

/// Number of values of Invariant.
inline constexpr std::size_t invariantCount = 8;

/// Breaks of the rules that the checks must notice. They act in the fakes, not in the product.
struct Mutations {
    /// Sends what depends on a write before the write is synced.
    bool sendsBeforeSync {};
    /// A member whose disk was lost returns under its old disk identity.
    bool keepsDiskIdentity {};
    /// A restarted member forgets its term and vote.
    bool forgetsVote {};
    /// The disk keeps entries that the log has truncated.
    bool keepsTruncated {};
    /// A snapshot is written with a byte of its state changed.
    bool corruptsSnapshot {};
    /// Now and then a committed entry does not reach the state.
    bool losesCommitted {};
    /// A vote request names whatever disk identity its receiver has.
    bool asksAnyDisk {};
    /// A refused vote arrives as a granted one.
    bool countsRefusals {};
    /// Clocks deviate by up to 40 % in place of the bound.
    bool driftsBeyondBound {};
    /// Parts of snapshots never arrive.
    bool losesSnapshots {};
};

/// A member with its disk and its place in the network.
struct SimulatedMember {
    /// Content that survives a kill.
    MemberState synced;
    /// Rate of the member's clock in parts per 10,000, and what it shows at simulated time zero. Both change when the
    /// process starts.
    std::int64_t clockRate { 10'000 };
    Duration clockOffset {};
    /// Empty while the process is down.
    std::unique_ptr<Member<SeededRandom>> member;
    bool isFrozen {};
    /// The write that is under way.
    std::optional<MemberEffects> writing;
    LogIndex writingThrough;
    Instant writtenAt;
    /// Messages that arrived while the process was frozen.
    std::deque<std::pair<NodeId, PeerMessage>> backlog;
    LogIndex applied;
    std::uint64_t digest {};
};

class LedgerNetwork {
public:
    /// @param voters Number of members of the first configuration, numbered from 1.
    LedgerNetwork(std::uint64_t seed, std::uint32_t voters, NetworkFaults faults, Mutations mutations = {});

    /// Advances the time to the next event, carries it out and checks every invariant.
    void step();
    void run(Duration length);
    /// Runs until the condition holds, or for length.
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
    /// Cuts or heals one direction.
    void cut(std::uint32_t from, std::uint32_t to, bool isCut);
    void healAll();

    /// Proposes a command at a member.
    bool propose(std::uint32_t node, Command command);
    /// @return True where losing one more disk leaves a majority of those voters that hold everything committed.
    bool mayLoseDisk() const;
    /// Lets the leader admit or promote one member whose disk identity is not a voter.
    /// @return True where every member is a voter under its disk identity and the configuration is committed.
    bool repair();
    /// Lets a member write a snapshot of its applied state.
    void compact(std::uint32_t node);

    /// @return Node of the member that holds the leader lease, or zero.
    std::uint32_t leaseHolder() const;
    SimulatedMember& at(std::uint32_t node) { return this->members.at(node); }
    std::uint32_t size() const { return static_cast<std::uint32_t>(this->members.size()); }
    LogIndex lastCommitted() const { return LogIndex { this->reference.size() }; }
    /// @return True where every running member has applied everything that is committed.
    bool isConverged() const;
    /// @return Number of terms that had a leader.
    std::size_t electionCount() const { return this->leaders.size(); }
    bool hasViolation() const { return !this->violated.empty(); }
    /// @return What the first violated invariant was, or "none".
    std::string firstViolation() const { return this->hasViolation() ? this->violationText : "none"; }
    const std::set<Invariant>& violations() const { return this->violated; }
    /// @return Number of snapshots of more than one part that members have installed.
    std::uint64_t largeInstalls() const { return this->largeSnapshots; }
    std::uint64_t lostDisks() const { return this->diskLosses; }
    SeededRandom& randomSource() { return this->random; }

private:
    struct Delivery {
        NodeId from;
        OutboundMessage message;
    };

    void violation(Invariant invariant, std::string what);
    Instant localTime(const SimulatedMember& simulated) const;
    std::vector<std::uint8_t> snapshotBytes(std::uint64_t digest, std::uint64_t salt, std::size_t size) const;
    void applyWrite(MemberState& disk, const MemberEffects& effects) const;
    void installSnapshot(std::uint32_t node, const LedgerSnapshot& snapshot);
    void send(std::uint32_t from, const std::vector<OutboundMessage>& messages);
    void deliver(const Delivery& delivery);
    void drive(std::uint32_t node);
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
    std::multimap<Instant, Delivery> wire;
    std::set<std::pair<std::uint32_t, std::uint32_t>> cuts;
    std::uint64_t nextDisk { 1 };
    std::map<std::uint64_t, std::uint32_t> leaders;
    /// Who has voted for whom: (node, disk, term).
    std::map<std::tuple<std::uint32_t, std::uint64_t, std::uint64_t>, NodeId> votes;
    std::set<std::pair<std::uint32_t, std::uint64_t>> admitted;
    /// Every entry that any member reported as committed.
    std::vector<LogEntry> reference;
    std::vector<std::uint64_t> digests { 0 };
    std::set<Invariant> violated;
    std::string violationText;
    std::uint64_t largeSnapshots {};
    std::uint64_t diskLosses {};
};

}
