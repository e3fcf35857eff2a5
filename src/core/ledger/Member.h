#pragma once

#include "core/ledger/Configuration.h"
#include "core/ledger/EntryLog.h"
#include "core/ledger/PeerProgress.h"
#include "core/ledger/RoundHistory.h"
#include "teaselturn/Command.h"
#include "teaselturn/Message.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace teaselturn {

/// Raft state that must survive a restart, besides the log.
struct HardState {
    Term term;
    NodeId votedFor;
    DiskId votedForDisk;

    friend bool operator==(const HardState&, const HardState&) = default;
};

/// Snapshot of the state machine, encoded by an adapter.
struct LedgerSnapshot {
    LogIndex lastIndex;
    Term lastTerm;
    std::vector<MemberSpec> members;
    /// Encoded state; opaque to the ledger.
    std::vector<std::uint8_t> bytes;

    friend bool operator==(const LedgerSnapshot&, const LedgerSnapshot&) = default;
};

/// I/O that a member asks its driver to perform, in this order: write and sync, call persisted(), send afterPersist,
/// apply committed. immediate may be sent at once. Writes follow the order of the fields, except that install comes
/// before append. A driver completes the writes of one MemberEffects before it starts those of the next. It sends
/// afterPersist only once all earlier writes are complete, even if that MemberEffects itself has nothing to write.
struct MemberEffects {
    std::optional<HardState> hardState;
    /// The driver removes the entries at and above this index before it writes append.
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> append;
    /// Snapshot received from the leader. It replaces the applied state and the log up to its index.
    std::optional<LedgerSnapshot> install;
    std::vector<OutboundMessage> immediate;
    std::vector<OutboundMessage> afterPersist;
    /// Entries to apply to the state machine, in order. They may be applied before persisted() is called.
    std::vector<LogEntry> committed;

    bool needsWrite() const noexcept { return this->hardState || this->truncateFrom || !this->append.empty() || this->install; }
};

/// Raft role of a member in its current term. A learner replicates the log but has no vote.
enum class MemberRole : std::uint8_t {
    Learner,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/// Persistent state from which a member starts: the content of its data folder.
struct MemberState {
    NodeId node;
    DiskId disk;
    HardState hardState;
    std::optional<LedgerSnapshot> snapshot;
    std::vector<LogEntry> entries;
    /// Initial members. Used only if neither the log nor the snapshot holds a configuration.
    std::vector<MemberSpec> initialMembers;
};

/// Heartbeat interval and range of the randomized election timeout.
struct MemberTiming {
    Duration heartbeat { std::chrono::milliseconds { 100 } };
    Duration electionMinimum { std::chrono::milliseconds { 600 } };
    Duration electionMaximum { std::chrono::milliseconds { 1000 } };
};

/// A member of the replicated log. Implements Raft with pre-vote, leader lease, learners and single-member
/// configuration changes. It performs no I/O; the driver executes its effects. Not thread-safe: the driver holds its
/// lock during every call.
/// @tparam Random Source of election timeouts.
template <RandomSource Random>
class Member {
public:
    Member(MemberState state, MemberTiming timing, Random random, Instant now);

    /// Processes timeouts. Call at least four times per heartbeat interval.
    void tick(Instant now);

    /// Processes a message from a peer. Ignores messages that do not belong to replication.
    void receive(Instant now, NodeId from, const PeerMessage& message);

    /// Appends a command to the leader's log.
    /// @return The index that the command has in the log if it commits. Otherwise NotLeader, ProposalQueueFull,
    /// MembershipChangePending if the same change may be proposed again later, or MembershipChangeInvalid if it may
    /// not.
    Result<LogIndex> propose(Instant now, Command command);

    /// Returns the effects accumulated since the last call and clears them.
    MemberEffects takeEffects();

    /// Reports that the writes of all effects taken so far are synced.
    /// @param through Last log index that they contain.
    void persisted(Instant now, LogIndex through);

    /// Reports that the driver wrote a snapshot of the applied state. Drops the log entries that it covers.
    void compacted(const LedgerSnapshot& snapshot);

    /// @return True if this member is the leader, a quorum has confirmed it within the leader lease, and an entry of
    /// its term is committed. Only then may it serve reads and grant delegations.
    bool hasLeaderLease(Instant now) const noexcept;

    MemberRole role() const noexcept;
    Term term() const noexcept;
    /// @return The leader known to this member, or zero.
    NodeId leader() const noexcept;
    LogIndex commitIndex() const noexcept;
    LogIndex lastIndex() const noexcept;
    LogIndex firstIndex() const noexcept;
    /// @return The newest configuration in the log, committed or not.
    std::span<const MemberSpec> members() const noexcept;
    /// @return The configuration in effect at index, which a snapshot at that index records.
    std::span<const MemberSpec> membersAt(LogIndex index) const noexcept;
    /// @return The time since the start of the last heartbeat round that a member replied to, at most the time since
    /// this member became leader. Zero for the leader itself.
    Duration timeSinceContact(NodeId node, Instant at) const noexcept;
    /// @return The committed entries above index, up to an estimated maxBytes, or LogCompacted if the log no longer
    /// holds them.
    Result<std::vector<LogEntry>> committedAfter(LogIndex index, std::size_t maxBytes) const;

private:
    /// Snapshot of which chunks are being received from the leader.
    struct IncomingSnapshot {
        /// Term of the sending leader.
        Term term;
        LogIndex lastIndex;
        std::uint64_t totalBytes {};
        std::vector<std::uint8_t> bytes;
    };

    // Effects.
    bool isHardStateDurable() const noexcept { return !this->pending.hardState && !this->isHardStateInFlight; }
    void send(NodeId to, PeerMessage message);
    void sendAfterPersist(NodeId to, PeerMessage message);
    void appendEntry(LogEntry entry);
    void truncateLog(LogIndex from);
    void commitThrough(LogIndex index);

    // Elections.
    bool isSelfVoter() const noexcept { return this->configuration.isVoter(this->self, this->disk); }
    bool isInContact(Instant now) const noexcept;
    void adoptTerm(Term newTerm);
    void becomeFollower();
    void becomeLeader();
    void scheduleElection(Duration minimum, Duration maximum);
    void scheduleElection() { this->scheduleElection(this->timing.electionMinimum, this->timing.electionMaximum); }
    void startPreVote();
    void startElection();
    void requestVotes(Term forTerm, bool isPreVote);
    void addVote(NodeId from);
    bool isUpToDate(const VoteRequest& request) const noexcept;
    void handle(NodeId from, const VoteRequest& request);
    void handle(NodeId from, const VoteReply& reply);

    // Replication.
    void followLeader(NodeId from);
    LogIndex conflictHint(LogIndex previousIndex) const noexcept;
    bool appendMissing(const AppendRequest& request);
    void replyToAppend(NodeId from, const AppendRequest& request, LogIndex match);
    void handle(NodeId from, const AppendRequest& request);
    void handle(NodeId from, const AppendReply& reply);
    PeerProgress* findPeer(NodeId node, DiskId peerDisk) noexcept;
    void handleRejectedAppend(PeerProgress& progress, LogIndex hint);
    void confirmRound(PeerProgress& progress, std::uint64_t round) noexcept;
    void beginRound();
    void replicate();
    void replicateTo(PeerProgress& progress);
    void sendAppend(PeerProgress& progress, std::vector<LogEntry> entries);
    void advanceCommit();
    Instant quorumConfirmedAt(Instant now) const noexcept;
    void checkQuorum();

    // Configuration.
    Status validateChange(const ChangeMembers& change) const;
    void updatePeers();
    void stepDownIfRemoved();

    // Snapshots.
    void sendSnapshot(PeerProgress& progress);
    void handle(NodeId from, const SnapshotChunk& chunk);
    void handle(NodeId from, const SnapshotReply& reply);
    void install(const SnapshotChunk& chunk);

    /// Ignores messages that do not belong to replication.
    template <typename T>
    void handle(NodeId, const T&)
    {
    }

    NodeId self;
    DiskId disk;
    MemberTiming timing;
    Random random;
    EntryLog log;
    Configuration configuration;
    HardState hardState;
    std::shared_ptr<const LedgerSnapshot> snapshot;
    MemberRole currentRole { MemberRole::Follower };
    NodeId knownLeader;
    LogIndex committed;
    /// Last index that takeEffects() has returned as committed, or that the snapshot covers.
    LogIndex deliveredIndex;
    /// Last index that is synced to this member's disk.
    LogIndex durableIndex;
    /// Latest time that the driver passed in.
    Instant now;
    /// Time of the last message from a leader. Initialized to the start of the member: before a restart it may have
    /// acknowledged a heartbeat on which a leader lease still depends.
    Instant lastLeaderContactAt;
    Instant electionDue;
    std::vector<NodeId> votes;
    MemberEffects pending;
    bool isHardStateInFlight {};
    IncomingSnapshot incoming;

    // Leader state.
    std::vector<PeerProgress> peers;
    RoundHistory rounds;
    Instant roundDue;
    Instant leaderSince;
    /// Index of the first entry of the leader's term.
    LogIndex termStartIndex;
    /// Commit index at the start of the latest heartbeat round. A learner that holds this entry counts as caught up.
    LogIndex roundCommitIndex;
    std::size_t uncommittedBytes {};
};

}

#include "core/ledger/MemberInlines.h"
