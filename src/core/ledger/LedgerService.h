#pragma once

#include "core/ledger/Member.h"
#include "core/ownership/Coordinator.h"
#include "core/ownership/OwnershipState.h"
#include "teaselturn/Message.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Types.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <concepts>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace teaselturn {

/// Encodes the replicated state for snapshots; the core sees only the bytes.
template <typename T>
concept SnapshotCodec = requires(const T& codec, const OwnershipSnapshot& snapshot, std::span<const std::uint8_t> bytes)
{
    {
        codec.encode(snapshot)
        } -> std::same_as<std::vector<std::uint8_t>>;
    {
        codec.decode(bytes)
        } -> std::same_as<Result<OwnershipSnapshot>>;
};

/// An applied entry with what it did.
struct AppliedEntry {
    LogEntry entry;
    ApplyOutcome outcome;
};

/// Work that a ledger process carries out, in this order: write and sync the storage part, call persisted(), send
/// immediate and afterPersist, call sent(), write the snapshot and call snapshotSaved().
struct LedgerEffects {
    /// Only the storage part is filled; messages and committed entries are moved to the members below.
    MemberEffects storage;
    std::vector<OutboundMessage> immediate;
    std::vector<OutboundMessage> afterPersist;
    std::vector<AppliedEntry> applied;
    std::optional<LedgerSnapshot> snapshot;
};

/// Bounds of a ledger process.
namespace limits {
    /// Log entries after which the state is written as a snapshot and the log is cut.
    inline constexpr std::uint64_t snapshotInterval = 4'096;
    /// Answers of proposals kept for resends.
    inline constexpr std::size_t rememberedProposals = 4'096;
    /// Entries sent in one feed answer, in bytes. With one answer every 500 ms it keeps a receiver under 1 Mbit/s.
    inline constexpr std::size_t feedBytes = 48 * 1024;
}

/// Settings of a ledger process besides the timing of elections.
struct LedgerOptions {
    /// Log entries after which the state is written as a snapshot and the log is cut.
    std::uint64_t snapshotInterval { limits::snapshotInterval };
};

/// Everything that one ledger process decides: the replicated log, the state applied from it, the coordinator while it
/// leads, and the answers to entry VMs. It does no I/O. Not thread-safe: the driver holds its lock around every call.
/// @tparam Random Source of election timeouts.
/// @tparam Policy Placement of slots.
/// @tparam Codec Encoding of snapshots.
template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
class LedgerService {
public:
    LedgerService(MemberState state, MemberTiming timing, Random random, Policy policy, BundleCheck check, Codec codec, Instant now, LedgerOptions options = {});

    void tick(Instant now);

    /// Takes a message of a member or an entry VM.
    void receive(Instant now, NodeId from, const PeerMessage& message);

    LedgerEffects takeEffects(Instant now);

    /// Reports that the storage part of every effect taken so far is on disk.
    void persisted(Instant now);

    /// Reports that the messages of the effects taken last have left. Delegations count from here.
    void sent(Instant now);

    /// Reports that a snapshot of takeEffects() is on disk.
    void snapshotSaved(const LedgerSnapshot& snapshot);

    /// @return Null where the snapshot that the process started from could be read.
    const std::optional<Failure>& startFailure() const noexcept { return this->failure; }

    const OwnershipState& state() const noexcept { return this->ownership; }
    const Member<Random>& ledgerMember() const noexcept { return this->member; }

private:
    struct Proposer {
        NodeId node;
        std::uint64_t sequence {};

        friend auto operator<=>(const Proposer&, const Proposer&) = default;

        template <typename H>
        friend H AbslHashValue(H h, const Proposer& proposer)
        {
            return H::combine(std::move(h), proposer.node, proposer.sequence);
        }
    };

    struct PendingProposal {
        Term term;
        /// Empty where the coordinator proposed it.
        std::optional<Proposer> proposer;
    };

    struct FeedWaiter {
        FeedRequest request;
        Instant answerBy;
    };

    struct SentDelegation {
        NodeId entry;
        BootId boot;
    };

    struct CachedSnapshot {
        LogIndex index;
        std::vector<std::uint8_t> bytes;
    };

    void takeDelegationRequest(Instant now, NodeId from, const DelegationRequest& request);
    void takeProposeRequest(Instant now, NodeId from, const ProposeRequest& request);
    void takeFeedRequest(Instant now, NodeId from, const FeedRequest& request);
    void reply(NodeId to, PeerMessage message);
    void followLeadership(Instant now);
    void proposeDecisions(Instant now);
    void proposeMemberChange(Instant now);
    void dropPending(bool isLeader);
    void remember(const Proposer& proposer, const ProposeReply& answer);
    void install(const LedgerSnapshot& snapshot);
    void applyCommitted(Instant now, std::vector<LogEntry> entries);
    void answerFeeds(Instant now);
    FeedReply feedReply(const FeedRequest& request);
    FeedReply feedSnapshotPart(const FeedRequest& request);

    NodeId self;
    Member<Random> member;
    OwnershipState ownership;
    Coordinator<Policy> coordinator;
    Codec codec;
    LedgerOptions options;
    std::optional<Failure> failure;
    /// Term in which this member acts as coordinator. Zero where it does not.
    Term coordinatedTerm;
    Term appliedTerm;
    LogIndex takenThrough;
    bool isSnapshotPending {};
    std::vector<OutboundMessage> replies;
    std::vector<AppliedEntry> appliedEntries;
    std::vector<SentDelegation> queuedDelegations;
    std::vector<SentDelegation> takenDelegations;
    absl::btree_map<LogIndex, PendingProposal> pending;
    absl::flat_hash_map<Proposer, LogIndex> pendingByProposer;
    absl::flat_hash_map<Proposer, ProposeReply> answered;
    std::deque<Proposer> answeredOrder;
    absl::btree_map<NodeId, FeedWaiter> feedWaiters;
    std::optional<CachedSnapshot> feedSnapshot;
};

}

#include "core/ledger/LedgerServiceInlines.h"
