#pragma once

#include "core/ownership/DelegationTable.h"
#include "core/ownership/HotKeyWindow.h"
#include "core/ownership/OwnershipState.h"
#include "core/ownership/PlacementPolicy.h"
#include "core/ownership/RolloutGate.h"
#include "core/ownership/SettledIndex.h"
#include "core/ownership/SlotLoads.h"
#include "teaselturn/Message.h"
#include "teaselturn/Types.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace teaselturn {

/// Slots in one command. It keeps a command near 20 KiB, well below the bound of a message of entries.
inline constexpr std::size_t maxSlotsPerCommand = 1'024;
/// Commands that one call of decide() returns; the next call goes on.
inline constexpr std::size_t maxCommandsPerDecision = 256;

/// Leader-only decisions: delegations to entry VMs, takeovers, placement, rollout of bundles, hot keys. It keeps its
/// memory between elections in no durable form: becameLeader() starts it afresh. Not thread-safe.
/// @tparam Policy Placement of slots.
template <PlacementPolicy Policy>
class Coordinator {
public:
    explicit Coordinator(Policy policy);

    /// Starts a term of leadership. Every session's lease manager is assumed to hold a delegation granted just now.
    void becameLeader(Instant now, const OwnershipState& state);

    /// Answers a renewal. Call only while the leader lease is held; the caller sends the answer after this returns.
    /// The caller raises the commit index of the reply to the ledger's commit index, where that is higher than what it
    /// has applied: the holder may use the delegation only with every entry that was committed when it was granted.
    DelegationReply delegate(Instant now, NodeId entry, const DelegationRequest& request, const OwnershipState& state);

    /// Counts a delegation from the instant at which its answer was sent.
    void delegationSent(Instant now, NodeId entry, BootId boot);

    /// Decides what to propose now: expiries, assignments, moves, rollout. Commands already pending are not repeated
    /// until they are applied or their proposal failed.
    std::vector<Command> decide(Instant now, const OwnershipState& state);

    /// Tells that a proposal of decide() was dropped, so that it may be decided again.
    void handleDroppedProposals();

    /// Takes note of an applied entry that this member applied while it did not lead.
    void appliedAsFollower(Instant now, LogIndex index)
    {
        this->settledIndex.recordApplied(now, index);
        static_cast<void>(this->settledIndex.settledAt(now));
    }

    /// Takes note of an applied entry.
    void applied(Instant now, const LogEntry& entry, const ApplyOutcome& outcome, const OwnershipState& state);

private:
    struct PendingExpiry {
        SessionId session;
        NodeId leaseManager;
        BootId boot;
        /// False once the proposal was dropped. The entry VM gets no delegation until it is decided again and applied.
        bool isProposed {};
    };

    /// What decides whether a slot can be placed, besides loads and pending proposals.
    struct PlacementInputs {
        LogIndex applied;
        LogIndex appliedEverywhere;

        friend bool operator==(const PlacementInputs&, const PlacementInputs&) = default;
    };

    /// @return True where the upstream lost its lease a short time ago.
    bool isOnProbation(Instant now, const UpstreamRecord& record) const;
    bool mayTakeOver(Instant now, const UpstreamRecord& upstream, const OwnershipState& state) const;
    void decideExpiries(Instant now, const OwnershipState& state, std::vector<Command>& commands);
    void decideRollout(Instant now, const OwnershipState& state, std::vector<Command>& commands);
    void decideHotKeys(Instant now, const OwnershipState& state, std::vector<Command>& commands);
    void decideMerge(SlotId slot, const OwnershipState& state, std::vector<Command>& commands);
    void decidePlacement(Instant now, const OwnershipState& state, std::vector<Command>& commands);
    void place(Instant now, const ServiceSpec& service, std::span<const PlacementUpstream> upstreams, const OwnershipState& state, std::vector<Command>& commands);
    PlacementSlot viewSlot(SlotId slot, const SlotRecord& record, const OwnershipState& state) const;
    std::size_t allowedMoves(Instant now, const ServiceSpec& service);
    Duration timeSinceAttached(Instant now, UpstreamId upstream) const;
    template <typename Batch>
    void propose(std::span<const SlotAssignment> assignments, std::vector<SlotAssignment> Batch::*list, std::vector<Command>& commands);
    void removePendingSlots(std::span<const SlotAssignment> assignments);
    void removeGoneUpstreams(const OwnershipState& state);

    Policy policy;
    Instant leaderSince;
    Instant lastBalancedAt;
    Instant lastHotKeysAt;
    LogIndex settled;
    /// No entry VM can still forward by a table from before this index: each has applied it or holds no delegation.
    LogIndex appliedEverywhere;
    DelegationTable delegations;
    SettledIndex settledIndex;
    SlotLoads loads;
    HotKeyWindow hotKeyWindow;
    RolloutGate rollout;
    /// Upstreams first attached under this leader, for slow start.
    absl::btree_map<UpstreamId, Instant> attachedAt;
    /// Moves for balance within the last minute.
    absl::btree_map<ServiceId, std::deque<Instant>> moves;

    absl::btree_map<UpstreamId, std::pair<std::string, std::uint64_t>> identities;
    /// When processes of upstreams last lost their lease, by name and incarnation.
    absl::btree_map<std::pair<std::string, std::uint64_t>, Instant> expiredAt;
    absl::btree_map<UpstreamId, PendingExpiry> pendingExpiries;
    /// Slots in proposals that are not yet applied, with the owner to be.
    absl::btree_map<SlotId, UpstreamId> pendingSlots;
    absl::btree_set<std::pair<ServiceId, std::string>> pendingIsolations;
    absl::btree_set<SlotId> pendingMerges;
    /// Isolated keys that go back to their partition.
    absl::btree_set<SlotId> merging;
    bool isRolloutPending {};
    /// State in which every slot that could be placed was placed. Until it changes, only balance is left to decide.
    std::optional<PlacementInputs> lastPlacement;
};

}

#include "core/ownership/CoordinatorInlines.h"
