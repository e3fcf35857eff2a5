#pragma once

#include "core/ownership/AppliedIndexHistory.h"
#include "core/ownership/DelegationTable.h"
#include "core/ownership/HotKeyWindow.h"
#include "core/ownership/OwnershipState.h"
#include "core/ownership/PlacementPolicy.h"
#include "core/ownership/RolloutGate.h"
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

/// Maximum number of slots in one command. Keeps a command near 20 KiB, well below the size limit of a message with log
/// entries.
inline constexpr std::size_t maxSlotsPerCommand = 1'024;
/// Maximum number of commands returned by one call of decide(); the next call continues.
inline constexpr std::size_t maxCommandsPerDecision = 256;

/// Makes the decisions reserved to the leader: delegations to entry VMs, takeovers, slot placement, bundle rollout, hot
/// keys. Its state is not durable: becameLeader() resets it at each election. Not thread-safe.
/// @tparam Policy Slot placement policy.
template <PlacementPolicy Policy>
class Coordinator {
public:
    explicit Coordinator(Policy policy);

    /// Resets the state for a new term as leader. Assumes that the lease manager of every session holds a delegation
    /// granted just now.
    void becameLeader(Instant now, const OwnershipState& state);

    /// Grants or refuses a renewal of a delegation. Call only while the leader lease is held; the caller sends the
    /// reply after this returns. If the ledger's commit index is higher than what the caller has applied, the caller
    /// raises the reply's commit index to it: the holder may use the delegation only after it has applied every entry
    /// that was committed when the delegation was granted.
    DelegationReply delegate(Instant now, NodeId entry, const DelegationRequest& request, const OwnershipState& state);

    /// Extends the delegation's end, counted from the time its reply was sent.
    void delegationSent(Instant now, NodeId entry, BootId boot);

    /// @return The commands to propose now: expiries, assignments, moves, rollout. Pending commands are not returned
    /// again until they are applied or their proposal has failed.
    std::vector<Command> decide(Instant now, const OwnershipState& state);

    /// Handles the loss of proposals returned by decide(), so that it may return them again.
    void handleDroppedProposals();

    /// Records an entry that this member applied while it was not the leader.
    void appliedAsFollower(Instant now, LogIndex index)
    {
        this->appliedHistory.recordApplied(now, index);
        static_cast<void>(this->appliedHistory.appliedBeforeDelegations(now));
    }

    /// Records an entry that this member applied as leader and clears the matching pending command.
    void applied(Instant now, const LogEntry& entry, const ApplyOutcome& outcome, const OwnershipState& state);

private:
    struct PendingExpiry {
        SessionId session;
        NodeId leaseManager;
        BootId boot;
        /// False once the proposal was dropped. The entry VM gets no delegation until the expiry has been proposed
        /// again and applied.
        bool isProposed {};
    };

    /// Inputs, besides loads and pending proposals, that determine whether a slot can be assigned.
    struct PlacementInputs {
        LogIndex applied;
        LogIndex appliedEverywhere;

        friend bool operator==(const PlacementInputs&, const PlacementInputs&) = default;
    };

    /// @return True if the upstream lost its lease less than probationLength ago.
    bool isOnProbation(Instant now, const UpstreamRecord& record) const;
    bool mayTakeOver(Instant now, const UpstreamRecord& upstream, const OwnershipState& state) const;
    void decideExpiries(Instant now, const OwnershipState& state, std::vector<Command>& commands);
    void decideRollout(Instant now, const OwnershipState& state, std::vector<Command>& commands);
    void decideHotKeys(Instant now, const OwnershipState& state, std::vector<Command>& commands);
    void decideMerge(SlotId slot, const OwnershipState& state, std::vector<Command>& commands);
    void decidePlacement(Instant now, const OwnershipState& state, std::vector<Command>& commands);
    /// Decides assignments and moves of one service's slots.
    void placeServiceSlots(Instant now, const ServiceSpec& service, std::span<const PlacementUpstream> upstreams, const OwnershipState& state, std::vector<Command>& commands);
    PlacementSlot viewSlot(SlotId slot, const SlotRecord& record, const OwnershipState& state) const;
    std::size_t allowedMoves(Instant now, const ServiceSpec& service);
    Duration timeSinceAttached(Instant now, UpstreamId upstream) const;
    template <typename Batch>
    void propose(std::span<const SlotAssignment> assignments, std::vector<SlotAssignment> Batch::*list, std::vector<Command>& commands);
    void removePendingSlots(std::span<const SlotAssignment> assignments);
    void removeDepartedUpstreams(const OwnershipState& state);

    Policy policy;
    Instant leaderSince;
    Instant lastBalancedAt;
    Instant lastHotKeysAt;
    /// Highest index that was applied at least one delegation length ago, so before every delegation that is valid now
    /// was granted.
    LogIndex appliedBeforeDelegations;
    /// Every entry VM has applied this index or holds no delegation, so none can still route by an older table.
    LogIndex appliedEverywhere;
    DelegationTable delegations;
    AppliedIndexHistory appliedHistory;
    SlotLoads loads;
    HotKeyWindow hotKeyWindow;
    RolloutGate rollout;
    /// When upstreams were first attached under this leader, for slow start.
    absl::btree_map<UpstreamId, Instant> attachedAt;
    /// Times of rebalancing moves within the last minute.
    absl::btree_map<ServiceId, std::deque<Instant>> moves;

    absl::btree_map<UpstreamId, std::pair<std::string, std::uint64_t>> identities;
    /// When upstream processes last lost their lease, by name and incarnation.
    absl::btree_map<std::pair<std::string, std::uint64_t>, Instant> expiredAt;
    absl::btree_map<UpstreamId, PendingExpiry> pendingExpiries;
    /// Slots in proposals that are not yet applied, with their designated owner.
    absl::btree_map<SlotId, UpstreamId> pendingSlots;
    absl::btree_set<std::pair<ServiceId, std::string>> pendingIsolations;
    absl::btree_set<SlotId> pendingMerges;
    /// Slots of isolated keys that are being merged back into their partition.
    absl::btree_set<SlotId> merging;
    bool isRolloutPending {};
    /// Inputs of the last decision that placed every assignable slot. Until they change, only rebalancing has anything
    /// to do.
    std::optional<PlacementInputs> lastPlacement;
};

}

#include "core/ownership/CoordinatorInlines.h"
