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

/// A process of the system that an entry VM can ask.
struct PeerLocation {
    NodeId node;
    ZoneId zone;
    RegionId region;

    friend bool operator==(const PeerLocation&, const PeerLocation&) = default;
};

/// Who an entry VM is and whom it asks before the first bundle is in force.
struct EntryIdentity {
    NodeId node;
    BootId boot;
    ZoneId zone;
    RegionId region;
    std::vector<PeerLocation> bootstrapMembers;
};

/// What an entry VM reports of the requests it served, since the last report.
struct LoadSummary {
    bool isHealthy { true };
    std::vector<SlotLoad> loads;
    std::vector<HotKeySample> hotKeys;
};

/// A proposal that ended. The driver matches it by its sequence.
struct CompletedProposal {
    std::uint64_t sequence {};
    ResultCode code { ResultCode::Ok };
    ApplyOutcome outcome;
};

/// Work that an entry process carries out: update the route table, complete waiting calls, send messages.
struct EntryEffects {
    std::vector<OutboundMessage> messages;
    std::vector<AppliedEntry> applied;
    /// True where the state was replaced by a snapshot, so that tables derived from it must be rebuilt.
    bool isRestored {};
    std::vector<CompletedProposal> finished;
};

/// Intervals of an entry VM's requests to the ledger.
namespace timing {
    /// After this long without an answer an entry VM asks another member.
    inline constexpr Duration delegationTimeout = std::chrono::milliseconds { 250 };
    /// Longer than a member holds a feed request open.
    inline constexpr Duration feedTimeout = std::chrono::milliseconds { 1'000 };
    /// A feed source that does not have a commit index named by the leader after this long is given up: it may be cut off
    /// from the leader or removed from the ledger. Twice the time that a commit takes to cross the link between regions.
    inline constexpr Duration feedLagTimeout = std::chrono::milliseconds { 200 };
    /// Pause between parts of a long feed: 48 KiB every 390 ms are 1 Mbit/s, so that several receivers that catch up
    /// after a cut leave most of a 30 Mbit/s link to requests.
    inline constexpr Duration feedPause = std::chrono::milliseconds { 390 };
    /// Unanswered proposals are sent again at this interval.
    inline constexpr Duration proposalResendInterval = std::chrono::milliseconds { 400 };
    /// A proposal of a caller, such as a bundle, fails with NoQuorum after this long.
    inline constexpr Duration proposalTimeout = std::chrono::milliseconds { 8'000 };
}

/// Everything that one entry process decides besides requests: its copy of the replicated state, its delegation, the
/// leases of its upstreams, its proposals. It does no I/O. Not thread-safe: the driver holds its lock around every call.
/// @tparam Codec Encoding of snapshots.
template <SnapshotCodec Codec>
class EntryService {
public:
    EntryService(EntryIdentity identity, BundleCheck check, Codec codec);

    /// Lets timeouts act: renewals, feed requests, resends, expiries. Call at least every 50 ms.
    void tick(Instant now);

    /// Takes a message of a member or of another entry VM.
    void receive(Instant now, NodeId from, const PeerMessage& message);

    /// Decides on a heartbeat; a needed proposal is sent to the leader.
    HeartbeatReply handleHeartbeat(Instant now, const Heartbeat& heartbeat, ResultCode& code);

    /// Counts a lease from the instant at which its answer was sent.
    void handleHeartbeatReplySent(Instant now, const HeartbeatReply& reply);

    /// Sends a command to the leader and repeats it until it is answered or proposalTimeout is over.
    /// @return The sequence by which EntryEffects::finished names it.
    std::uint64_t propose(Instant now, Command command);

    /// Tells the numbers that the accepted bundle gives this VM's zone and region, which settings name.
    void setLocation(ZoneId zone, RegionId region)
    {
        this->identity.zone = zone;
        this->identity.region = region;
    }

    /// @return True where the load given last has been reported, so that giving another loses nothing.
    bool isLoadReported() const noexcept { return this->load.loads.empty() && this->load.hotKeys.empty(); }

    /// Gives the load to be reported with the next renewal.
    void reportLoad(LoadSummary&& summary) { this->load = std::move(summary); }

    EntryEffects takeEffects();

    const OwnershipState& state() const noexcept { return this->ownership; }
    /// @return True where requests may go to an upstream that does not check grants.
    bool isTableFresh(Instant now) const noexcept { return this->leaseManager.isTableFresh(now, this->ownership.appliedIndex()); }
    /// @return True until a valid delegation and the commit index that came with it have been reached.
    bool isBehind(Instant now) const noexcept { return !this->isTableFresh(now); }
    /// @return Until when isTableFresh() holds unless the state changes.
    Instant tableFreshUntil() const noexcept { return this->leaseManager.tableFreshUntil(this->ownership.appliedIndex()); }
    Instant delegationEnd() const noexcept { return this->leaseManager.delegationEnd(); }
    /// @return The leader as last heard, or zero.
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
        /// Proposals of the lease manager are repeated by the lease manager itself and dropped here when unanswered.
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
    /// Leader as last heard. Zero where unknown; then members are asked in turn.
    NodeId leader;
    std::size_t memberIndex {};
    std::optional<SentDelegationRequest> delegationRequest;
    Instant nextRenewal;
    std::uint64_t feedSequence {};
    bool isFeedRequested {};
    Instant feedDueAt;
    Instant feedNotBefore;
    std::size_t feedSourceIndex {};
    /// Highest commit index that the leader named, and when it was first known.
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
