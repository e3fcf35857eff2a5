#pragma once

#include "core/ledger/LedgerService.h"
#include "core/ownership/LeaseManager.h"
#include "core/ownership/OwnershipState.h"
#include "teaselturn/Message.h"
#include "teaselturn/Types.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace teaselturn {

/// Location of a process that an entry VM can send requests to.
struct PeerLocation {
    NodeId node;
    ZoneId zone;
    RegionId region;

    friend bool operator==(const PeerLocation&, const PeerLocation&) = default;
};

/// Identity of an entry VM, and the members it contacts before the first bundle is in force.
struct EntryIdentity {
    NodeId node;
    BootId boot;
    ZoneId zone;
    RegionId region;
    std::vector<PeerLocation> bootstrapMembers;
};

/// Load of the requests that an entry VM served since its last report.
struct LoadSummary {
    bool isHealthy { true };
    std::vector<SlotLoad> loads;
    std::vector<HotKeySample> hotKeys;
};

/// Outcome of a proposal, which the driver matches by its sequence.
struct CompletedProposal {
    std::uint64_t sequence {};
    ResultCode code { ResultCode::Ok };
    ApplyOutcome outcome;
};

/// Effects for the driver of an entry process: update the route table, complete waiting requests, send messages.
struct EntryEffects {
    std::vector<OutboundMessage> messages;
    std::vector<AppliedEntry> applied;
    /// True if a snapshot replaced the state, so that tables derived from it must be rebuilt.
    bool isRestored {};
    std::vector<CompletedProposal> finished;
};

/// Timeouts and intervals of an entry VM's requests to the ledger.
namespace timing {
    /// Time to wait for a delegation reply before asking another member.
    inline constexpr Duration delegationTimeout = std::chrono::milliseconds { 250 };
    /// Time to wait for a feed reply. Longer than a member holds a feed request open.
    inline constexpr Duration feedTimeout = std::chrono::milliseconds { 1'000 };
    /// Time to wait for a feed source to deliver a commit index that the leader reported, before switching to another
    /// source: it may be cut off from the leader or removed from the ledger. Twice the time that a commit takes to
    /// cross the link between regions.
    inline constexpr Duration feedLagTimeout = std::chrono::milliseconds { 200 };
    /// Pause between parts of a long feed. 48 KiB every 390 ms are 1 Mbit/s, so that several receivers that catch up
    /// after a network partition leave most of a 30 Mbit/s link to requests.
    inline constexpr Duration feedPause = std::chrono::milliseconds { 390 };
    /// Interval at which proposals without a reply are sent again.
    inline constexpr Duration proposalResendInterval = std::chrono::milliseconds { 400 };
    /// A caller's proposal, such as a bundle, fails with NoQuorum after this long.
    inline constexpr Duration proposalTimeout = std::chrono::milliseconds { 8'000 };
}

/// Control logic of one entry process: its copy of the replicated state, its delegation, the leases of its upstreams,
/// and its proposals. Request routing is not part of it. It does no I/O. Not thread-safe: the driver holds its lock around
/// every call.
/// @tparam Codec Encoder and decoder of snapshots.
template <SnapshotCodec Codec>
class EntryService {
public:
    EntryService(EntryIdentity identity, BundleCheck check, Codec codec);

    /// Handles timeouts: renewals, feed requests, resends, expiries. Call at least every 50 ms.
    void tick(Instant now);

    /// Handles a message from a member or another entry VM.
    void receive(Instant now, NodeId from, const PeerMessage& message);

    /// Handles a heartbeat and sends the proposal that it requires, if any, to the leader.
    HeartbeatReply handleHeartbeat(Instant now, const Heartbeat& heartbeat, ResultCode& code);

    /// Extends the lease's end, counted from the time its reply was sent.
    void handleHeartbeatReplySent(Instant now, const HeartbeatReply& reply);

    /// Sends a command to the leader and resends it until a reply arrives or proposalTimeout has passed.
    /// @return The sequence under which EntryEffects::finished reports the outcome.
    std::uint64_t propose(Instant now, Command command);

    /// Sets this VM's zone and region. Settings give their names; the accepted bundle maps them to these numbers.
    void setLocation(ZoneId zone, RegionId region)
    {
        this->identity.zone = zone;
        this->identity.region = region;
    }

    /// @return True if the load passed last has been sent, so that passing another one loses nothing.
    bool isLoadReported() const noexcept { return this->load.loads.empty() && this->load.hotKeys.empty(); }

    /// Sets the load to report with the next renewal.
    void reportLoad(LoadSummary&& summary) { this->load = std::move(summary); }

    EntryEffects takeEffects();

    const OwnershipState& state() const noexcept { return this->ownership; }
    /// @return True if requests may go to an upstream that does not check grants.
    bool isTableFresh(Instant now) const noexcept { return this->leaseManager.isTableFresh(now, this->ownership.appliedIndex()); }
    /// @return True until this entry VM holds a valid delegation and has applied the commit index that came with it.
    bool isBehind(Instant now) const noexcept { return !this->isTableFresh(now); }
    /// @return The time until which isTableFresh() holds unless the state changes.
    Instant tableFreshUntil() const noexcept { return this->leaseManager.tableFreshUntil(this->ownership.appliedIndex()); }
    Instant delegationEnd() const noexcept { return this->leaseManager.delegationEnd(); }
    /// @return The leader according to the last reply that named it, or zero if unknown.
    NodeId knownLeader() const noexcept { return this->leader; }

private:
    struct SentDelegationRequest {
        std::uint64_t sequence {};
        Instant sentAt;
    };

    struct Proposal {
        Command command;
        Instant sentAt;
        Instant deadline;
        /// True for a caller's proposal. The lease manager repeats its own proposals, so those are dropped here after
        /// one resend interval without a reply.
        bool isFromCaller {};
    };

    struct SnapshotTransfer {
        LogIndex index;
        std::vector<std::uint8_t> bytes;
    };

    void send(NodeId to, PeerMessage message) { this->outbound.push_back({ to, std::move(message) }); }
    std::vector<PeerLocation> members() const;
    std::vector<PeerLocation> feedSources() const;
    void renewDelegation(Instant now);
    void requestFeed(Instant now);
    void resendProposals(Instant now);
    void proposeForLeaseManager(Instant now, Command command);
    void selectNextMember();
    void selectNextFeedSource();
    NodeId presumedLeader() const;
    void handleDelegationReply(Instant now, NodeId from, const DelegationReply& reply);
    void handleFeedReply(Instant now, const FeedReply& reply);
    void handleSnapshotPart(const FeedReply& reply);
    void handleProposeReply(NodeId from, const ProposeReply& reply);
    void handlePeerFeedRequest(NodeId from, const FeedRequest& request);

    EntryIdentity identity;
    OwnershipState ownership;
    LeaseManager leaseManager;
    Codec codec;
    LoadSummary load;
    std::uint64_t lastSequence;
    /// Leader according to the last reply that named it. If zero, members are contacted in turn.
    NodeId leader;
    std::size_t memberIndex {};
    std::optional<SentDelegationRequest> delegationRequest;
    Instant nextRenewal;
    std::uint64_t feedSequence {};
    bool isFeedRequested {};
    Instant feedDueAt;
    Instant feedNotBefore;
    std::size_t feedSourceIndex {};
    /// Highest commit index reported by the leader, and since when this state has lagged behind such an index.
    LogIndex leaderCommit;
    Instant leaderCommitSeenAt;
    std::optional<SnapshotTransfer> transfer;
    std::optional<SnapshotTransfer> servedSnapshot;
    absl::btree_map<std::uint64_t, Proposal> proposals;
    std::vector<OutboundMessage> outbound;
    std::vector<AppliedEntry> appliedEntries;
    std::vector<CompletedProposal> finishedProposals;
    bool isRestored {};
};

}

#include "core/ownership/EntryServiceInlines.h"
