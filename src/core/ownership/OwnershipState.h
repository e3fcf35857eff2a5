#pragma once

#include "core/StringHash.h"
#include "teaselturn/Command.h"
#include "teaselturn/OwnershipTypes.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Types.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace teaselturn {

/// Verifies a signed bundle against the bundle in force (null before the first one): signatures, threshold, validity.
using BundleCheck = std::function<Status(const SignedBundle& candidate, const Bundle* inForce)>;

/// Longest name of an upstream, in bytes.
inline constexpr std::size_t maxUpstreamNameBytes = 128;

/// Maximum number of consecutive sessions that an upstream may begin without acknowledging the previous one. An
/// upstream whose replies are all lost goes from one lease manager to the next; without a limit each new session would
/// keep its slots assigned to it.
inline constexpr std::uint32_t maxUnacknowledgedSessions = 1;

/// Number of slot changes that a replica keeps for updating its route table. A table further behind is rebuilt.
inline constexpr std::size_t maxSlotChanges = 65'536;

/// Replicated state machine: every member and every entry VM holds a copy and applies the same commands to it. Returned
/// pointers, views and spans are valid until the next apply() or restore(). Not thread-safe.
class OwnershipState {
public:
    /// @param check Verifies bundles. It must return the same result on every replica.
    explicit OwnershipState(BundleCheck check);

    /// Applies one committed entry. Requires index == appliedIndex() + 1.
    /// @return The outcome of the command; the same on every replica.
    ApplyOutcome apply(LogIndex index, const Command& command);

    LogIndex appliedIndex() const noexcept;

    /// @return The accepted bundle with the highest number, or null before the first one.
    const SignedBundle* acceptedBundle() const noexcept;
    /// @return The bundle in force in a region under the rollout stage, or null.
    const SignedBundle* bundleInForce(RegionId region) const noexcept;
    std::uint32_t rolloutStage() const noexcept;
    /// @return True while the accepted bundle is not yet in force everywhere.
    bool isRollingOut() const noexcept;

    /// @return True if an accepted bundle that is in force in some region lists the entry VM.
    bool hasEntryVm(NodeId entry) const noexcept;
    /// @return True if the condition holds for each entry VM of the bundles in force.
    bool allEntryVms(const std::function<bool(NodeId)>& condition) const;

    /// @return The service from the accepted bundle, else from the bundle that is in force elsewhere, or null.
    const ServiceSpec* findService(ServiceId service) const noexcept;
    /// @return The index since which the service's rule is `move` in every bundle in force; zero if it is not.
    LogIndex moveSince(ServiceId service) const noexcept;
    /// @return True if the service's rule is `keep` in every bundle in force: its leases stay valid after the
    /// delegation of their lease manager ends.
    bool keepsLeasesAfterDelegation(ServiceId service) const noexcept;

    const UpstreamRecord* findUpstream(UpstreamId id) const noexcept;
    const UpstreamRecord* findUpstream(std::string_view name, std::uint64_t incarnation) const noexcept;
    /// Calls visit with every upstream, in order of id.
    void forEachUpstream(const std::function<void(const UpstreamRecord&)>& visit) const;
    /// Calls visit with every upstream whose current session belongs to the entry VM, in order of id.
    void forEachUpstreamOf(NodeId leaseManager, const std::function<void(const UpstreamRecord&)>& visit) const;

    const SlotRecord* findSlot(SlotId slot) const noexcept;
    /// @return The slots of a service's hash partitions, in order of index; empty if the service is unknown.
    std::span<const SlotRecord> partitions(ServiceId service) const noexcept;
    const HotKeyRecord* findHotKey(ServiceId service, std::string_view key) const noexcept;
    const HotKeyRecord* findHotKey(SlotId slot) const noexcept;
    void forEachHotKey(const std::function<void(const HotKeyRecord&)>& visit) const;
    std::size_t hotKeyCount() const noexcept;
    /// @return The slots that an upstream owns with their fences, in order of slot.
    std::vector<SlotRelease> slotsOf(UpstreamId owner) const;
    std::size_t slotCount(UpstreamId owner) const noexcept;
    /// @return The index at which an upstream's slots or their pending moves last changed. Local to this replica:
    /// restoring a snapshot counts as a change.
    LogIndex slotsChangedAt(UpstreamId owner) const noexcept;
    /// @return The slots without an owner, in order.
    const absl::btree_set<SlotId>& freeSlots() const noexcept;

    /// @return Slots that changed after an index, possibly repeated; empty if changes since that index are no
    /// longer kept.
    std::optional<std::vector<SlotId>> slotsChangedAfter(LogIndex index) const;
    /// @return The last index at which services or the bundles in force changed.
    LogIndex servicesChangedAt() const noexcept;

    std::span<const MemberSpec> members() const noexcept;

    OwnershipSnapshot snapshot() const;
    /// Replaces the state by a snapshot.
    void restore(OwnershipSnapshot snapshot);

private:
    struct UpstreamState {
        UpstreamRecord record;
        absl::btree_set<SlotId> slots;
        LogIndex slotsChangedAt;
    };
    struct ServiceState {
        std::vector<SlotRecord> partitions;
        LogIndex moveSince;
    };

    /// Commands of the registry do not apply to this state.
    template <typename T>
    ApplyOutcome applyCommand(const T&)
    {
        return { ResultCode::Internal };
    }
    ApplyOutcome applyCommand(const NoOperation& command);
    ApplyOutcome applyCommand(const AttachUpstream& command);
    ApplyOutcome applyCommand(const ExpireUpstream& command);
    ApplyOutcome applyCommand(const DrainUpstream& command);
    ApplyOutcome applyCommand(const AssignSlots& command);
    ApplyOutcome applyCommand(const BeginMove& command);
    ApplyOutcome applyCommand(const ReleaseSlots& command);
    ApplyOutcome applyCommand(const AcceptBundle& command);
    ApplyOutcome applyCommand(const AdvanceRollout& command);
    ApplyOutcome applyCommand(const IsolateHotKey& command);
    ApplyOutcome applyCommand(const MergeHotKey& command);
    ApplyOutcome applyCommand(const ChangeMembers& command);

    ResultCode checkAttachment(const AttachUpstream& command) const;
    ResultCode checkSession(UpstreamId upstream, SessionId session) const;
    ApplyOutcome attachAgain(UpstreamState& upstream, const AttachUpstream& command);
    void addUpstream(UpstreamRecord record);
    void removeUpstream(UpstreamId id, bool leaseHasEnded);

    ResultCode assign(const SlotAssignment& assignment);
    ResultCode beginMove(const SlotAssignment& move);
    ResultCode release(const UpstreamRecord& upstream, const SlotRelease& release);
    bool canReceive(SlotId slot, UpstreamId target) const;

    SlotRecord* editSlot(SlotId slot) noexcept;
    void setOwner(SlotId slot, SlotRecord& record, UpstreamId owner);
    void freeSlot(SlotId slot, SlotRecord& record, bool ownerChecksGrants);
    void recordSlotChange(SlotId slot, UpstreamId owner);

    ResultCode checkServices(const Bundle& bundle) const;
    std::uint32_t initialStage(const Bundle& next) const;
    void updateServices(bool isFirst);
    void addService(const ServiceSpec& service, bool isFirst);
    void removeService(ServiceId service);
    void updateRule(ServiceId service, ServiceState& state);
    void expireRetiredZones();
    void removeHotKey(SlotId slot);
    const ServiceSpec* findServiceIn(const std::optional<SignedBundle>& bundle, ServiceId service) const noexcept;

    BundleCheck check;
    LogIndex index;
    std::optional<SignedBundle> accepted;
    std::optional<SignedBundle> previous;
    std::uint32_t stage {};
    absl::btree_map<UpstreamId, UpstreamState> upstreams;
    absl::flat_hash_map<std::string, absl::btree_map<std::uint64_t, UpstreamId>, StringHash, std::equal_to<>> upstreamNames;
    absl::btree_map<NodeId, absl::btree_set<UpstreamId>> upstreamsByLeaseManager;
    absl::btree_map<ServiceId, ServiceState> services;
    absl::btree_map<SlotId, HotKeyRecord> hotKeys;
    absl::btree_map<ServiceId, absl::flat_hash_map<std::string, SlotId, StringHash, std::equal_to<>>> hotKeyNames;
    std::uint32_t nextHotKeySlot { firstHotKeySlot };
    std::vector<MemberSpec> memberSpecs;

    absl::btree_set<SlotId> unowned;
    std::deque<std::pair<LogIndex, SlotId>> changes;
    /// Every change after this index is in `changes`.
    LogIndex changesCompleteSince;
    LogIndex servicesChanged;
};

}
