#pragma once

#include "core/ledger/Member.h"
#include "core/ledger/SnapshotSchedule.h"
#include "core/registry/HeldHeartbeats.h"
#include "core/registry/JoinPlan.h"
#include "core/registry/KeyCoordinator.h"
#include "core/registry/KeyHeartbeat.h"
#include "core/registry/RegistryState.h"
#include "teaselturn/Message.h"
#include "teaselturn/Ports.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>
#include <concepts>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace teaselturn {

/// Encodes the registry state for snapshots; the core handles the result as opaque bytes.
template <typename T>
concept RegistryCodec = requires(const T& codec, const RegistrySnapshot& snapshot, std::span<const std::uint8_t> bytes)
{
    {
        codec.encode(snapshot)
        } -> std::same_as<std::vector<std::uint8_t>>;
    {
        codec.decode(bytes)
        } -> std::same_as<Result<RegistrySnapshot>>;
};

/// Identifies a control request until its response is sent.
using ControlRequestId = StrongId<struct ControlRequestIdTag, std::uint64_t>;

/// The caller has to send the control request to another member.
struct RedirectToLeader {
    NodeId leader;
};

/// No leader is available at the moment. The control request may or may not take effect.
struct LeaderUnavailable {
};

/// The change was committed, or rejected because it is invalid or conflicts with the items.
struct ItemsResult {
    ResultCode code { ResultCode::Ok };
    std::string detail;
};

/// The heartbeat is incomplete and was not recorded.
struct HeartbeatRefused {
};

/// The upstream's departure was recorded.
struct DepartureRecorded {
};

/// The evacuation order or its withdrawal was committed, or is in force already. Refused if there are too many orders.
struct EvacuationRecorded {
    ResultCode code { ResultCode::Ok };
};

using ControlResult = std::variant<RedirectToLeader, LeaderUnavailable, ItemsResult, DepartureRecorded, KeyHeartbeatReply, HeartbeatRefused, EvacuationRecorded>;

/// The response to a control request.
struct ControlResponse {
    ControlRequestId requestId;
    ControlResult result;
};

/// An applied entry with its outcome.
struct AppliedCommand {
    LogEntry entry;
    ApplyOutcome outcome;
};

/// I/O for the driver, in this order: send immediate and responses; write and sync storage; call persisted(); send
/// afterPersist; write the snapshot and call snapshotSaved().
struct RegistryEffects {
    MemberEffects storage;
    std::vector<OutboundMessage> immediate;
    std::vector<OutboundMessage> afterPersist;
    std::vector<ControlResponse> responses;
    std::vector<AppliedCommand> applied;
    std::optional<LedgerSnapshot> snapshot;
};

/// Settings of a registry process.
struct RegistryOptions {
    /// Before it starts an election, a follower misses three heartbeats, or waits for more than five round trips of 60
    /// ms between regions.
    MemberTiming election { .electionMinimum = std::chrono::milliseconds { 350 }, .electionMaximum = std::chrono::milliseconds { 600 } };
    KeyLeaseTiming leases;
    JoinLimits joins;
    /// When the state is written as a snapshot and the log is compacted. The bytes are a sixteenth of the memory of a member.
    SnapshotLimits snapshots { 2'048, 16 * 1024 * 1024 };
};

/// All decisions of one registry member: the replicated log, the state applied from it, leases and key placement while
/// it is leader, its own membership, and the feed for entry VMs. It does no I/O and takes requests as typed values. Not
/// thread-safe: the driver holds its lock around every call.
/// @tparam Random Source of election timeouts.
/// @tparam Codec Encoding of snapshots.
template <RandomSource Random, RegistryCodec Codec>
class RegistryService {
public:
    /// @param seeds Members to which this process sends join requests while it is not in the configuration that it
    /// knows.
    RegistryService(MemberState state, std::vector<NodeId> seeds, Random random, Codec codec, Instant now, RegistryOptions options = {});

    /// Replaces the seeds after a change of the settings.
    void setSeeds(std::span<const NodeId> newSeeds) { this->seeds.assign(newSeeds.begin(), newSeeds.end()); }

    /// Advances timers and makes due decisions. Called periodically.
    void tick(Instant now);

    /// Processes a message from a member or an entry VM.
    void receive(Instant now, NodeId from, const PeerMessage& message);

    /// Processes a control request. The response is in the result of a later takeEffects().
    void heartbeat(Instant now, ControlRequestId requestId, KeyHeartbeat heartbeat);
    void depart(Instant now, ControlRequestId requestId, std::string_view upstream, std::optional<std::uint64_t> incarnation);
    void changeItems(Instant now, ControlRequestId requestId, ChangeItems change);
    void evacuate(Instant now, ControlRequestId requestId, EvacuateZone order);

    /// @return Empty if this member may serve reads now; otherwise the response to send instead.
    std::optional<ControlResult> redirectForRead(Instant now) const;

    /// Applies entries committed since the last call.
    /// @return Effects that have accumulated since the last call.
    RegistryEffects takeEffects(Instant now);
    /// Reports that the storage part of all effects taken so far is on disk.
    void persisted(Instant now);
    void snapshotSaved(const LedgerSnapshot& snapshot);

    /// @return True if this process certainly is a member: its configuration lists it with its disk, and it leads or has a
    /// recent message from a leader. Its own configuration alone is no evidence, because leaders send nothing to a process
    /// that they have removed. While it is not confirmed, it requests to join.
    bool isConfirmedMember(Instant now) const;

    const std::optional<Failure>& startFailure() const noexcept { return this->failure; }
    const RegistryState& state() const noexcept { return this->registry; }
    const Member<Random>& ledgerMember() const noexcept { return this->member; }

private:
    struct HeartbeatWaiter {
        ControlRequestId requestId;
        KeyHeartbeat heartbeat;
    };
    struct ItemsWaiter {
        ChangeItems change;
        /// The first request and its repeats.
        std::vector<ControlRequestId> requestIds;
    };
    struct DepartureWaiter {
        ControlRequestId requestId;
    };
    struct EvacuationWaiter {
        EvacuateZone order;
        /// The first request and its repeats.
        std::vector<ControlRequestId> requestIds;
    };
    /// For decisions of the coordinator, which have no request to respond to.
    struct NoWaiter {
    };
    using ProposalWaiter = std::variant<NoWaiter, HeartbeatWaiter, ItemsWaiter, DepartureWaiter, EvacuationWaiter>;

    struct PendingProposal {
        Term term;
        ProposalWaiter waiter;
    };
    struct FeedWaiter {
        FeedRequest request;
        Instant replyBy;
        /// Until then the reply to an equal request may be in transit.
        Instant notBefore;
    };
    /// The latest reply to an entry VM's feed request.
    struct SentFeedReply {
        LogIndex appliedIndex;
        std::uint64_t snapshotOffset {};
        /// Estimated latest arrival; until then the reply may be in transit.
        Instant arrivesBy;
    };
    struct Joiner {
        DiskId disk;
        Instant lastRequestAt;
    };

    bool isActiveLeader(Instant now) const noexcept { return this->coordinatedTerm != Term {} && this->member.hasLeaderLease(now); }
    bool hasLeaderContact(Instant now) const noexcept;
    /// @return True if this member is the leader, or has applied an entry of the leader's term and everything up to the
    /// commit index in the leader's last message but one.
    bool isUpToDate(Instant now) const noexcept;
    void recordLeaderMessage(Instant now, NodeId from, const PeerMessage& message);
    ControlResult redirectToLeader() const;
    void respond(ControlRequestId requestId, ControlResult result) { this->responses.push_back({ requestId, std::move(result) }); }
    void send(NodeId to, PeerMessage message) { this->outboundMessages.push_back({ to, std::move(message) }); }
    bool joinPendingChange(ControlRequestId requestId, const ChangeItems& change);
    /// @return The latest proposed order for the zone that is not applied yet; null if there is none.
    EvacuationWaiter* findPendingEvacuation(std::string_view zone);
    bool propose(Instant now, Command command, ProposalWaiter waiter);
    /// Processes the heartbeat of a registered upstream. Delays the reply while the upstream's keys do not change.
    void handleRegisteredHeartbeat(Instant now, ControlRequestId requestId, KeyHeartbeat heartbeat);
    /// Proposes to record what a heartbeat states about its sender's warm-up, if that is news.
    void proposeWarmUp(Instant now, const KeyHeartbeat& heartbeat, bool isRegistered);
    void replyToHeartbeats(Instant now);
    void recordUpdatedUpstreams(const Command& command);
    void updateLeadership(Instant now);
    void proposeDecisions(Instant now);
    void changeMembers(Instant now);
    void requestToJoin(Instant now);
    /// @return The control requests that wait for a proposal.
    static std::vector<ControlRequestId> requestIdsOf(const ProposalWaiter& waiter);
    void failPendingProposals();
    void installSnapshot(const LedgerSnapshot& snapshot);
    void applyCommitted(Instant now, std::vector<LogEntry> entries);
    void completeProposal(Instant now, const LogEntry& entry, const ApplyOutcome& outcome);
    void handleFeedRequest(Instant now, NodeId from, const FeedRequest& request);
    void handleLoadReport(Instant now, NodeId from, const KeyLoadReport& report);
    void handleJoinRequest(Instant now, NodeId from, const JoinRequest& request);
    void replyToFeeds(Instant now);
    FeedReply makeFeedReply(const FeedRequest& request);
    void sendFeedReply(Instant now, NodeId to, const FeedRequest& request);
    /// @return Time until which the reply to an equal request may be in transit; in the past if there was none.
    Instant replyInTransitUntil(NodeId to, const FeedRequest& request) const;
    /// @return True if the requester is few enough entries behind to be sent them in datagrams.
    bool isServedByDatagrams(const FeedRequest& request) const noexcept;
    void replyInDatagrams(NodeId to, FeedReply reply);

    NodeId self;
    DiskId disk;
    std::vector<NodeId> seeds;
    RegistryOptions options;
    Member<Random> member;
    RegistryState registry;
    KeyCoordinator coordinator;
    Codec codec;
    std::optional<Failure> failure;
    /// Term in which this member coordinates. Zero if it does not.
    Term coordinatedTerm;
    Term appliedTerm;
    LogIndex lastTakenIndex;
    SnapshotSchedule snapshotSchedule { this->options.snapshots };
    Instant lastLeaderMessageAt;
    /// Commit indexes of the leader in its last two messages. Empty before the first.
    std::optional<LogIndex> leaderCommit;
    std::optional<LogIndex> previousLeaderCommit;
    Instant lastJoinRequestAt;
    std::size_t pendingDecisions {};
    std::vector<OutboundMessage> outboundMessages;
    std::vector<ControlResponse> responses;
    std::vector<AppliedCommand> appliedCommands;
    absl::btree_map<LogIndex, PendingProposal> pending;
    HeldHeartbeats<ControlRequestId> heldHeartbeats;
    /// Names of upstreams whose keys or state an applied entry changed; their delayed replies are sent.
    absl::flat_hash_set<std::string> updatedUpstreams;
    absl::btree_map<NodeId, FeedWaiter> feedWaiters;
    absl::btree_map<NodeId, SentFeedReply> sentFeedReplies;
    absl::btree_map<NodeId, Joiner> joiners;
    /// Snapshot for feeds, encoded once for all entry VMs that need it.
    LogIndex feedSnapshotIndex;
    std::vector<std::uint8_t> feedSnapshot;
};

}

#include "core/registry/RegistryServiceInlines.h"
