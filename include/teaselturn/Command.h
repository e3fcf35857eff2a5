#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Registry.h"
#include "teaselturn/Types.h"

#include <string>
#include <variant>
#include <vector>

/// Commands of the replicated log. Applying the same commands in the same order gives the same state everywhere.
namespace teaselturn {

/// Makes an entry VM the lease manager of an upstream under a new session.
struct AttachUpstream {
    std::string name;
    /// Random number of this start of the upstream's process; another start is another upstream.
    std::uint64_t incarnation {};
    ServiceId service;
    ZoneId zone;
    Endpoint endpoint;
    /// Requests that the upstream runs at a time.
    std::uint32_t requestSlots {};
    /// Connections that the upstream accepts from all entry VMs together.
    std::uint32_t connectionLimit {};
    /// True where the upstream itself refuses requests whose fence or lease is not valid.
    bool checksGrants {};
    NodeId leaseManager;
    BootId leaseManagerBoot;
    /// Session that the upstream itself names. Zero before it has heard of one.
    SessionId acknowledgedSession;

    friend bool operator==(const AttachUpstream&, const AttachUpstream&) = default;
};

/// Why an upstream lost its slots.
enum class ExpiryReason : std::uint8_t {
    LeaseEnded,
    DelegationEnded,
    Left,
    ZoneRetired,
};

/// Frees every slot of an upstream whose lease has certainly ended, and forgets the upstream.
struct ExpireUpstream {
    UpstreamId upstream;
    /// The command has no effect where a later session exists.
    SessionId session;
    ExpiryReason reason {};

    friend bool operator==(const ExpireUpstream&, const ExpireUpstream&) = default;
};

/// Marks an upstream as leaving: it gets no new slots, and its slots are moved.
struct DrainUpstream {
    UpstreamId upstream;
    SessionId session;

    friend bool operator==(const DrainUpstream&, const DrainUpstream&) = default;
};

/// One slot's new owner.
struct SlotAssignment {
    SlotId slot;
    UpstreamId owner;
    /// Fence under which the slot was last assigned; the assignment has no effect where it differs.
    Fence expectedFence;

    friend bool operator==(const SlotAssignment&, const SlotAssignment&) = default;
};

/// Gives slots that have no owner to upstreams, under the command's log index as fence.
struct AssignSlots {
    std::vector<SlotAssignment> assignments;

    friend bool operator==(const AssignSlots&, const AssignSlots&) = default;
};

/// Starts moving owned slots: the owner is asked to release each slot, and the target gets it on release.
struct BeginMove {
    std::vector<SlotAssignment> moves;

    friend bool operator==(const BeginMove&, const BeginMove&) = default;
};

/// A slot with the fence under which it is released.
struct SlotRelease {
    SlotId slot;
    Fence fence;

    friend bool operator==(const SlotRelease&, const SlotRelease&) = default;
};

/// The owner has finished its work on the slots and gives them up. A pending move completes.
struct ReleaseSlots {
    UpstreamId upstream;
    SessionId session;
    std::vector<SlotRelease> releases;

    friend bool operator==(const ReleaseSlots&, const ReleaseSlots&) = default;
};

/// Offers a signed bundle. Every replica checks it in the same way when it applies the command.
struct AcceptBundle {
    SignedBundle bundle;

    friend bool operator==(const AcceptBundle&, const AcceptBundle&) = default;
};

/// Brings the accepted bundle into force in one more region of its rollout order.
struct AdvanceRollout {
    BundleVersion version;
    /// Number of regions of the rollout order in which the bundle is in force after this command.
    std::uint32_t stage {};

    friend bool operator==(const AdvanceRollout&, const AdvanceRollout&) = default;
};

/// Isolates a key from its partition into a slot of its own, with the partition's owner and fence.
struct IsolateHotKey {
    ServiceId service;
    std::string key;

    friend bool operator==(const IsolateHotKey&, const IsolateHotKey&) = default;
};

/// Returns an isolated key to its partition. It has no effect unless both have the same owner.
struct MergeHotKey {
    SlotId slot;

    friend bool operator==(const MergeHotKey&, const MergeHotKey&) = default;
};

/// Replaces the ledger's configuration; it differs from the former one by at most one member.
struct ChangeMembers {
    std::vector<MemberSpec> members;

    friend bool operator==(const ChangeMembers&, const ChangeMembers&) = default;
};

/// First entry of each term; it lets the leader commit entries of earlier terms.
struct NoOperation {
    friend bool operator==(const NoOperation&, const NoOperation&) = default;
};

/// Any command of the log. The order is part of the format: append only.
using Command = std::variant<NoOperation, AttachUpstream, ExpireUpstream, DrainUpstream, AssignSlots, BeginMove,
    ReleaseSlots, AcceptBundle, AdvanceRollout, IsolateHotKey, MergeHotKey, ChangeMembers, ChangeItems, RegisterUpstream,
    RemoveUpstream, AssignKeyRanges, BeginKeyMoves>;

/// One entry of the log.
struct LogEntry {
    Term term;
    LogIndex index;
    Command command;

    friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

}
