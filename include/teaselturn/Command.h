#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Registry.h"
#include "teaselturn/Types.h"

#include <string>
#include <variant>
#include <vector>

/// Commands of the replicated log. Commands are deterministic: replicas that apply the same commands in the same order
/// reach the same state.
namespace teaselturn {

/// Attaches an upstream to an entry VM, which becomes its lease manager, and starts a new session.
struct AttachUpstream {
    std::string name;
    /// Random number of this start of the upstream's process. A restarted process counts as another upstream.
    std::uint64_t incarnation {};
    ServiceId service;
    ZoneId zone;
    Endpoint endpoint;
    /// Maximum number of requests that the upstream runs concurrently.
    std::uint32_t requestSlots {};
    /// Maximum number of connections that the upstream accepts from all entry VMs together.
    std::uint32_t connectionLimit {};
    /// True if the upstream itself refuses requests with an invalid fence or lease.
    bool checksGrants {};
    NodeId leaseManager;
    BootId leaseManagerBoot;
    /// Latest session that the upstream itself has reported. Zero if it has not received one yet.
    SessionId acknowledgedSession;

    friend bool operator==(const AttachUpstream&, const AttachUpstream&) = default;
};

/// Reason for which an upstream lost its slots.
enum class ExpiryReason : std::uint8_t {
    LeaseEnded,
    DelegationEnded,
    Left,
    ZoneRetired,
};

/// Removes an upstream whose lease has certainly ended, and frees all its slots.
struct ExpireUpstream {
    UpstreamId upstream;
    /// The command has no effect if the upstream has started a later session.
    SessionId session;
    ExpiryReason reason {};

    friend bool operator==(const ExpireUpstream&, const ExpireUpstream&) = default;
};

/// Marks an upstream as draining: it gets no new slots, and its slots are moved to other upstreams.
struct DrainUpstream {
    UpstreamId upstream;
    SessionId session;

    friend bool operator==(const DrainUpstream&, const DrainUpstream&) = default;
};

/// Assigns one slot to a new owner, now or at the end of a move.
struct SlotAssignment {
    SlotId slot;
    UpstreamId owner;
    /// Fence of the slot's last assignment. This assignment has no effect if the slot's fence differs.
    Fence expectedFence;

    friend bool operator==(const SlotAssignment&, const SlotAssignment&) = default;
};

/// Assigns slots without an owner to upstreams. The command's log index becomes the fence of the slots.
struct AssignSlots {
    std::vector<SlotAssignment> assignments;

    friend bool operator==(const AssignSlots&, const AssignSlots&) = default;
};

/// Starts to move owned slots: each owner is asked to release its slot, and the target becomes the owner on release.
struct BeginMove {
    std::vector<SlotAssignment> moves;

    friend bool operator==(const BeginMove&, const BeginMove&) = default;
};

/// Releases one slot under the fence of its assignment.
struct SlotRelease {
    SlotId slot;
    Fence fence;

    friend bool operator==(const SlotRelease&, const SlotRelease&) = default;
};

/// Releases slots for which the owner has finished all requests. Completes pending moves of these slots.
struct ReleaseSlots {
    UpstreamId upstream;
    SessionId session;
    std::vector<SlotRelease> releases;

    friend bool operator==(const ReleaseSlots&, const ReleaseSlots&) = default;
};

/// Proposes a signed bundle. Every replica runs the same checks on it when it applies the command.
struct AcceptBundle {
    SignedBundle bundle;

    friend bool operator==(const AcceptBundle&, const AcceptBundle&) = default;
};

/// Brings the accepted bundle into force in the next region of its rollout order.
struct AdvanceRollout {
    BundleVersion version;
    /// Number of regions, counted in rollout order, in which the bundle is in force after this command.
    std::uint32_t stage {};

    friend bool operator==(const AdvanceRollout&, const AdvanceRollout&) = default;
};

/// Isolates a key from its partition into a slot of its own, which starts with the partition's owner and fence.
struct IsolateHotKey {
    ServiceId service;
    std::string key;

    friend bool operator==(const IsolateHotKey&, const IsolateHotKey&) = default;
};

/// Returns an isolated key to its partition. Has no effect unless the key's slot and the partition have the same owner.
struct MergeHotKey {
    SlotId slot;

    friend bool operator==(const MergeHotKey&, const MergeHotKey&) = default;
};

/// Replaces the ledger's configuration. The new configuration differs from the old one by at most one member.
struct ChangeMembers {
    std::vector<MemberSpec> members;

    friend bool operator==(const ChangeMembers&, const ChangeMembers&) = default;
};

/// First entry of each term. Committing it lets the leader commit entries of earlier terms.
struct NoOperation {
    friend bool operator==(const NoOperation&, const NoOperation&) = default;
};

/// Any command of the replicated log. The order of alternatives is part of the format: append only.
using Command = std::variant<NoOperation, AttachUpstream, ExpireUpstream, DrainUpstream, AssignSlots, BeginMove,
    ReleaseSlots, AcceptBundle, AdvanceRollout, IsolateHotKey, MergeHotKey, ChangeMembers, ChangeItems, RegisterUpstream,
    RemoveUpstream, AssignKeyRanges, BeginKeyMoves, BeginWarmUp, EvacuateZone>;

/// One entry of the replicated log.
struct LogEntry {
    Term term;
    LogIndex index;
    Command command;

    friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

}
