#pragma once

#include "core/ledger/Member.h"
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
#include <utility>
#include <variant>
#include <vector>

namespace teaselturn {

/// Encodes the registry for snapshots; the core sees only the bytes.
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

/// Identifies a control request until it is answered.
using ControlRequestId = StrongId<struct ControlRequestIdTag, std::uint64_t>;

/// Another member has to be called.
struct RedirectToLeader {
    NodeId leader;
};

/// Nobody can answer at the moment. The control request may or may not take effect.
struct LeaderUnavailable {
};

/// The change was committed, or refused for what it says.
struct ItemsResult {
    ResultCode code { ResultCode::Ok };
    std::string detail;
};

/// The upstream's departure was recorded.
struct DepartureRecorded {
};

using ControlResult = std::variant<RedirectToLeader, LeaderUnavailable, ItemsResult, DepartureRecorded, KeyHeartbeatReply>;

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

/// Work that a registry process carries out: send immediate and answers; write and sync storage; report with
/// persisted(); send afterPersist; write the snapshot and report it with snapshotSaved().
struct RegistryEffects {
    MemberEffects storage;
    std::vector<OutboundMessage> immediate;
    std::vector<OutboundMessage> afterPersist;
    std::vector<ControlResponse> answers;
    std::vector<AppliedCommand> applied;
    std::optional<LedgerSnapshot> snapshot;
};

/// Settings of a registry process.
struct RegistryOptions {
    /// A follower misses three heartbeats, or more than five round trips between regions of 60 ms, before it campaigns.
    MemberTiming election { .electionMinimum = std::chrono::milliseconds { 350 }, .electionMaximum = std::chrono::milliseconds { 600 } };
    KeyLeaseTiming leases;
    JoinLimits joins;
    /// Log entries after which the state is written as a snapshot and the log is cut.
    std::uint64_t snapshotInterval { 2'048 };
};

/// Everything that one member of the registry decides: the replicated log, the state applied from it, leases and key
/// placement while it leads, its own membership, and the feed for entry VMs. It does no I/O and takes requests as typed
/// values. Not thread-safe: the driver holds its lock around every call.
/// @tparam Random Source of election timeouts.
/// @tparam Codec Encoding of snapshots.
template <RandomSource Random, RegistryCodec Codec>
class RegistryService {
public:
    /// @param seeds Members to ask for admission while this one is not in the configuration that it knows.
    RegistryService(MemberState state, std::vector<NodeId> seeds, Random random, Codec codec, Instant now, RegistryOptions options = {});

    void tick(Instant now);

    /// Takes a message of a member or an entry VM.
    void receive(Instant now, NodeId from, const PeerMessage& message);

    /// Takes a control request. The response follows in takeEffects().
    void heartbeat(Instant now, ControlRequestId requestId, KeyHeartbeat heartbeat);
    void depart(Instant now, ControlRequestId requestId, std::string_view upstream, std::optional<std::uint64_t> incarnation);
    void changeItems(Instant now, ControlRequestId requestId, ChangeItems change);

    /// @return Ok where this member may answer reads now; otherwise where to go.
    std::optional<ControlResult> redirectForRead(Instant now) const;

    RegistryEffects takeEffects(Instant now);
    /// Reports that the storage part of every effect taken so far is on disk.
    void persisted(Instant now);
    void snapshotSaved(const LedgerSnapshot& snapshot);

    const std::optional<Failure>& startFailure() const noexcept { return this->failure; }
    const RegistryState& state() const noexcept { return this->registry; }
    const Member<Random>& ledgerMember() const noexcept { return this->member; }

private:
    struct WaitingHeartbeat {
        ControlRequestId requestId;
        KeyHeartbeat heartbeat;
    };
    struct WaitingItems {
        ChangeItems change;
        /// The first request and its repeats.
        std::vector<ControlRequestId> requestIds;
    };
    struct WaitingDeparture {
        ControlRequestId requestId;
    };
    /// Of the coordinator; nobody waits for it.
    struct Decision {
    };
    using Waiting = std::variant<Decision, WaitingHeartbeat, WaitingItems, WaitingDeparture>;

    struct Pending {
        Term term;
        Waiting waiting;
    };
    struct FeedWaiter {
        FeedRequest request;
        Instant answerBy;
    };
    /// The latest answer to an entry VM's feed.
    struct SentFeed {
        LogIndex appliedIndex;
        std::uint64_t snapshotOffset {};
        /// Until then it may be under way.
        Instant arrivesBy;
    };
    struct Joiner {
        DiskId disk;
        Instant heardAt;
    };

    bool leads(Instant now) const noexcept { return this->coordinatedTerm != Term {} && this->member.hasLeaderLease(now); }
    bool isInContact(Instant now) const noexcept;
    /// @return True where this member has applied what its leader had committed a round ago, with an entry of its term.
    bool isCurrent(Instant now) const noexcept;
    void noteLeader(Instant now, NodeId from, const PeerMessage& message);
    ControlResult elsewhere() const;
    void answer(ControlRequestId requestId, ControlResult result) { this->answers.push_back({ requestId, std::move(result) }); }
    void reply(NodeId to, PeerMessage message) { this->replies.push_back({ to, std::move(message) }); }
    bool joinPending(ControlRequestId requestId, const ChangeItems& change);
    bool propose(Instant now, Command command, Waiting waiting);
    /// Takes what the heartbeat tells. Its answer waits for news where there are none.
    void takeHeartbeat(Instant now, ControlRequestId requestId, KeyHeartbeat heartbeat);
    void answerHeartbeats(Instant now);
    void noteNews(const Command& command);
    void followLeadership(Instant now);
    void decide(Instant now);
    void changeMembers(Instant now);
    void askToJoin(Instant now);
    void dropPending();
    void install(const LedgerSnapshot& snapshot);
    void applyCommitted(Instant now, std::vector<LogEntry> entries);
    void settle(Instant now, const LogEntry& entry, const ApplyOutcome& outcome);
    void takeFeedRequest(Instant now, NodeId from, const FeedRequest& request);
    void takeLoadReport(Instant now, NodeId from, const KeyLoadReport& report);
    void takeJoinRequest(Instant now, NodeId from, const JoinRequest& request);
    void answerFeeds(Instant now);
    FeedReply feedReply(const FeedRequest& request);
    void sendFeed(Instant now, NodeId to, const FeedRequest& request);
    /// @return True where what the requester lacks is sent in datagrams.
    bool isNear(const FeedRequest& request) const noexcept;
    void replyInDatagrams(NodeId to, FeedReply answer);

    NodeId self;
    DiskId disk;
    std::vector<NodeId> seeds;
    RegistryOptions options;
    Member<Random> member;
    RegistryState registry;
    KeyCoordinator coordinator;
    Codec codec;
    std::optional<Failure> failure;
    /// Term in which this member coordinates. Zero where it does not.
    Term coordinatedTerm;
    Term appliedTerm;
    LogIndex takenThrough;
    bool isSnapshotPending {};
    Instant leaderHeardAt;
    /// Commit index of the leader as its last two messages named it. Empty before the first.
    std::optional<LogIndex> leaderCommit;
    std::optional<LogIndex> earlierLeaderCommit;
    Instant joinAskedAt;
    std::size_t pendingDecisions {};
    std::vector<OutboundMessage> replies;
    std::vector<ControlResponse> answers;
    std::vector<AppliedCommand> appliedCommands;
    absl::btree_map<LogIndex, Pending> pending;
    HeldHeartbeats<ControlRequestId> heldHeartbeats;
    /// Upstreams whose keys, or whose state, an applied entry changed.
    absl::flat_hash_set<std::string> upstreamsWithNews;
    absl::btree_map<NodeId, FeedWaiter> feedWaiters;
    absl::btree_map<NodeId, SentFeed> sentFeeds;
    absl::btree_map<NodeId, Joiner> joiners;
    /// Snapshot for feeds, encoded once for all that need it.
    LogIndex feedSnapshotIndex;
    std::vector<std::uint8_t> feedSnapshot;
};

}

#include "core/registry/RegistryServiceInlines.h"
