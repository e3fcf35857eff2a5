#pragma once

#include "core/ledger/Member.h"
#include "core/ledger/SnapshotSchedule.h"
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

/// Encodes and decodes the state machine for snapshots. The core treats the bytes as opaque.
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

/// A log entry that was applied to the state machine, and its outcome.
struct AppliedEntry {
    LogEntry entry;
    ApplyOutcome outcome;
};

/// I/O that a LedgerService asks its driver to perform, in this order: write and sync storage, call persisted(), send
/// immediate and afterPersist, call sent(), write snapshot, call snapshotSaved().
struct LedgerEffects {
    /// Contains writes only; messages and committed entries are moved to the members below.
    MemberEffects storage;
    std::vector<OutboundMessage> immediate;
    std::vector<OutboundMessage> afterPersist;
    std::vector<AppliedEntry> applied;
    std::optional<LedgerSnapshot> snapshot;
};

/// Limits of a ledger process.
namespace limits {
    /// Log entries between two snapshots. After each snapshot the log is compacted.
    inline constexpr std::uint64_t snapshotInterval = 4'096;
    /// Estimated bytes of applied entries between two snapshots.
    inline constexpr std::size_t snapshotIntervalBytes = 64 * 1024 * 1024;
    /// Maximum replies to proposals that are cached for retransmitted requests.
    inline constexpr std::size_t maxCachedReplies = 4'096;
    /// Maximum estimated bytes of entries in one feed reply. At one reply every 500 ms a receiver stays under 1 Mbit/s.
    inline constexpr std::size_t feedBytes = 48 * 1024;
}

/// Options of a ledger process, except for MemberTiming.
struct LedgerOptions {
    SnapshotLimits snapshots { limits::snapshotInterval, limits::snapshotIntervalBytes };
};

/// Decision logic of a ledger process: the replicated log, the state machine, the coordinator while this member is the
/// leader, and the replies to entry VMs. It performs no I/O. Not thread-safe: the driver holds its lock during every
/// call.
/// @tparam Random Source of election timeouts.
/// @tparam Policy Decides which upstream owns which slot.
/// @tparam Codec Encoding of snapshots.
template <RandomSource Random, PlacementPolicy Policy, SnapshotCodec Codec>
class LedgerService {
public:
    LedgerService(MemberState state, MemberTiming timing, Random random, Policy policy, BundleCheck check, Codec codec, Instant now, LedgerOptions options = {});

    void tick(Instant now);

    /// Processes a message from a ledger member or an entry VM.
    void receive(Instant now, NodeId from, const PeerMessage& message);

    /// Applies committed entries, and returns the effects accumulated since the last call and clears them.
    LedgerEffects takeEffects(Instant now);

    /// Reports that the storage writes of all effects taken so far are synced.
    void persisted(Instant now);

    /// Reports that the messages of the last effects taken were sent. Granted delegations start at this time.
    void sent(Instant now);

    /// Reports that a snapshot returned by takeEffects() is on disk.
    void snapshotSaved(const LedgerSnapshot& snapshot);

    /// @return The error of the last snapshot that could not be decoded; empty if there is none.
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
        /// Empty if the coordinator made the proposal.
        std::optional<Proposer> proposer;
    };

    struct PendingFeedRequest {
        FeedRequest request;
        Instant replyBy;
    };

    struct DelegationRecipient {
        NodeId entry;
        BootId boot;
    };

    struct CachedSnapshot {
        LogIndex index;
        std::vector<std::uint8_t> bytes;
    };

    void handleDelegationRequest(Instant now, NodeId from, const DelegationRequest& request);
    void handleProposeRequest(Instant now, NodeId from, const ProposeRequest& request);
    void handleFeedRequest(Instant now, NodeId from, const FeedRequest& request);
    void sendReply(NodeId to, PeerMessage message);
    void updateLeadership(Instant now);
    void proposeDecisions(Instant now);
    void proposeMemberChange(Instant now);
    void failPendingProposals(bool isLeader);
    void cacheReply(const Proposer& proposer, const ProposeReply& reply);
    void install(const LedgerSnapshot& snapshot);
    void applyCommitted(Instant now, std::vector<LogEntry> entries);
    void replyToFeedRequests(Instant now);
    FeedReply makeFeedReply(const FeedRequest& request);
    FeedReply makeFeedSnapshotPart(const FeedRequest& request);

    NodeId self;
    Member<Random> member;
    OwnershipState ownership;
    Coordinator<Policy> coordinator;
    Codec codec;
    LedgerOptions options;
    std::optional<Failure> failure;
    /// Term in which this member acts as coordinator, or zero.
    Term coordinatedTerm;
    Term appliedTerm;
    /// Last log index included in the most recent takeEffects().
    LogIndex lastTakenIndex;
    SnapshotSchedule snapshotSchedule { this->options.snapshots };
    std::vector<OutboundMessage> replies;
    std::vector<AppliedEntry> appliedEntries;
    /// Delegations whose replies takeEffects() has not returned yet.
    std::vector<DelegationRecipient> queuedDelegations;
    /// Delegations whose replies takeEffects() has returned; sent() starts and clears them.
    std::vector<DelegationRecipient> inFlightDelegations;
    absl::btree_map<LogIndex, PendingProposal> pending;
    absl::flat_hash_map<Proposer, LogIndex> pendingByProposer;
    absl::flat_hash_map<Proposer, ProposeReply> cachedReplies;
    std::deque<Proposer> cachedReplyOrder;
    absl::btree_map<NodeId, PendingFeedRequest> pendingFeedRequests;
    std::optional<CachedSnapshot> feedSnapshot;
};

}

#include "core/ledger/LedgerServiceInlines.h"
