#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/Message.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <cstdint>
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
/// afterPersist, apply committed. immediate may be sent at once.
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
    Duration electionMaximum { std::chrono::milliseconds { 1200 } };
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
    /// @return The index at which it commits if it commits, NotLeader, ProposalQueueFull or MembershipChangePending.
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
    std::span<const MemberSpec> members() const noexcept;
    /// @return Committed entries above index, at most maxBytes of them estimated, or LogCompacted.
    Result<std::vector<LogEntry>> committedAfter(LogIndex index, std::size_t maxBytes) const;
};

}
