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

/// What a member must not forget between two starts, besides its log.
struct HardState {
    Term term;
    NodeId votedFor;
    DiskId votedForDisk;

    friend bool operator==(const HardState&, const HardState&) = default;
};

/// A snapshot of the replicated state, encoded by an adapter.
struct LedgerSnapshot {
    LogIndex lastIndex;
    Term lastTerm;
    std::vector<MemberSpec> members;
    /// Opaque to the ledger.
    std::vector<std::uint8_t> bytes;

    friend bool operator==(const LedgerSnapshot&, const LedgerSnapshot&) = default;
};

/// Work that the member asks of its driver, in this order: write and sync, report with persisted(), send
/// afterPersist, apply committed. immediate may be sent at once. The writes are ordered as the fields are, except that
/// install comes before append. A driver finishes the writes of one MemberEffects before those of the next, and sends
/// afterPersist only then, even where that MemberEffects itself has nothing to write.
struct MemberEffects {
    std::optional<HardState> hardState;
    /// Entries at and above this index are to be removed before append is written.
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> append;
    /// Snapshot received from the leader; it replaces the log up to its index and the applied state.
    std::optional<LedgerSnapshot> install;
    std::vector<OutboundMessage> immediate;
    std::vector<OutboundMessage> afterPersist;
    /// Entries to apply to the replicated state, in order. They may be applied before persisted() is called.
    std::vector<LogEntry> committed;

    bool needsWrite() const noexcept { return this->hardState || this->truncateFrom || !this->append.empty() || this->install; }
};

/// Role of a member in its term.
enum class MemberRole : std::uint8_t {
    Learner,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/// What a member starts from: the content of its data folder.
struct MemberState {
    NodeId node;
    DiskId disk;
    HardState hardState;
    std::optional<LedgerSnapshot> snapshot;
    std::vector<LogEntry> entries;
    /// Configuration of a ledger that has never run; used only where log and snapshot name none.
    std::vector<MemberSpec> initialMembers;
};

/// Intervals of elections and heartbeats.
struct MemberTiming {
    Duration heartbeat { std::chrono::milliseconds { 100 } };
    Duration electionMinimum { std::chrono::milliseconds { 600 } };
    Duration electionMaximum { std::chrono::milliseconds { 1000 } };
};

/// One member of the replicated log: decides on votes, replication, commit and configuration. It does no I/O; the
/// driver carries out its effects. Not thread-safe: the driver holds its lock around every call.
/// @tparam Random Source of election timeouts.
template <RandomSource Random>
class Member {
public:
    Member(MemberState state, MemberTiming timing, Random random, Instant now);

    /// Lets timeouts act. Call at least every heartbeat interval divided by 4.
    void tick(Instant now);

    /// Takes a message of a peer. Messages that do not concern the ledger are ignored.
    void receive(Instant now, NodeId from, const PeerMessage& message);

    /// Appends a command on the leader.
    /// @return The index at which it commits if it commits, NotLeader, ProposalQueueFull, MembershipChangePending where
    /// the same change may be proposed again later, or MembershipChangeInvalid where it may not.
    Result<LogIndex> propose(Instant now, Command command);

    /// @return The work that has gathered since the last call.
    MemberEffects takeEffects();

    /// Reports that every effect taken so far is on disk, up to this index.
    void persisted(Instant now, LogIndex through);

    /// Tells the member that its driver wrote a snapshot of the applied state, so the log up to it may be dropped.
    void compacted(const LedgerSnapshot& snapshot);

    /// @return True where this member is the leader, a quorum has confirmed it within the leader lease, and an entry
    /// of its term is committed: only then may it answer reads and grant delegations.
    bool hasLeaderLease(Instant now) const noexcept;

    MemberRole role() const noexcept;
    Term term() const noexcept;
    /// @return The leader as far as this member knows, or zero.
    NodeId leader() const noexcept;
    LogIndex commitIndex() const noexcept;
    LogIndex lastIndex() const noexcept;
    LogIndex firstIndex() const noexcept;
    /// @return The newest configuration in the log, committed or not.
    std::span<const MemberSpec> members() const noexcept;
    /// @return The configuration in the log up to index: the members of a snapshot of the state applied up to there.
    std::span<const MemberSpec> membersAt(LogIndex index) const noexcept;
    /// @return Time since a member last answered this leader, at most the time since it leads; zero for the leader itself.
    Duration silence(NodeId node, Instant at) const noexcept;
    /// @return Committed entries above index, at most maxBytes of them estimated, or LogCompacted.
    Result<std::vector<LogEntry>> committedAfter(LogIndex index, std::size_t maxBytes) const;

private:
    /// A snapshot on its way from the leader.
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
    void askForVotes(Term forTerm, bool isPreVote);
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
    PeerProgress* peer(NodeId node, DiskId peerDisk) noexcept;
    void refused(PeerProgress& progress, LogIndex hint);
    void confirmRound(PeerProgress& progress, std::uint64_t round) noexcept;
    void beginRound();
    void replicate();
    void replicateTo(PeerProgress& progress);
    void sendAppend(PeerProgress& progress, std::vector<LogEntry> entries);
    void advanceCommit();
    Instant quorumConfirmedAt(Instant now) const noexcept;
    void checkQuorum();

    // Configuration.
    Status checkChange(const ChangeMembers& change) const;
    void alignPeers();
    void stepDownWhereRemoved();

    // Snapshots.
    void sendSnapshot(PeerProgress& progress);
    void handle(NodeId from, const SnapshotChunk& chunk);
    void handle(NodeId from, const SnapshotReply& reply);
    void install(const SnapshotChunk& chunk);

    /// Messages that do not concern the ledger.
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
    /// Entries up to here have been returned as committed, or are covered by the snapshot.
    LogIndex handedOut;
    /// Entries up to here are synced to this member's disk.
    LogIndex durable;
    /// Latest instant that the driver passed.
    Instant now;
    /// When a leader was last heard. It starts at the member's start: before a restart the member may have answered a
    /// heartbeat, on which a leader lease can still rest.
    Instant leaderContact;
    Instant electionDue;
    std::vector<NodeId> votes;
    MemberEffects pending;
    bool isHardStateInFlight {};
    IncomingSnapshot incoming;

    // Of a leader.
    std::vector<PeerProgress> peers;
    RoundHistory rounds;
    Instant roundDue;
    Instant leaderSince;
    /// Index of the first entry of the leader's term.
    LogIndex termStart;
    /// Commit index when the latest round began; a learner that has it counts as caught up.
    LogIndex roundCommit;
    std::size_t uncommittedBytes {};
};

}

#include "core/ledger/MemberInlines.h"
