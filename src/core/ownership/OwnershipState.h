#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/OwnershipTypes.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Types.h"

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace teaselturn {

/// Checks a signed bundle against the bundle in force (null before the first one): signatures, threshold, validity.
using BundleCheck = std::function<Status(const SignedBundle& candidate, const Bundle* inForce)>;

/// The replicated state: every member and every entry VM holds a copy and applies the same commands to it.
/// Not thread-safe.
class OwnershipState {
public:
    /// @param check Verifies bundles. It must give the same answer on every replica.
    explicit OwnershipState(BundleCheck check);

    /// Applies one entry. Requires index == appliedIndex() + 1.
    /// @return What the command did; the same on every replica.
    ApplyOutcome apply(LogIndex index, const Command& command);

    LogIndex appliedIndex() const noexcept;

    /// @return The accepted bundle with the highest number, or null before the first one.
    const SignedBundle* acceptedBundle() const noexcept;
    /// @return The bundle in force in a region under the rollout stage, or null.
    const SignedBundle* bundleInForce(RegionId region) const noexcept;
    std::uint32_t rolloutStage() const noexcept;

    const UpstreamRecord* findUpstream(UpstreamId id) const noexcept;
    const UpstreamRecord* findUpstream(std::string_view name, std::uint64_t incarnation) const noexcept;
    /// Calls visit with every upstream, in order of id.
    void forEachUpstream(const std::function<void(const UpstreamRecord&)>& visit) const;

    const SlotRecord* findSlot(SlotId slot) const noexcept;
    /// @return The slots of a service's hash partitions, in order of index; empty where the service is unknown.
    std::span<const SlotRecord> partitions(ServiceId service) const noexcept;
    const HotKeyRecord* findHotKey(ServiceId service, std::string_view key) const noexcept;
    void forEachHotKey(const std::function<void(const HotKeyRecord&)>& visit) const;
    /// @return The slots owned by an upstream with their fences, in order of slot.
    std::vector<SlotRelease> slotsOf(UpstreamId owner) const;

    std::span<const MemberSpec> members() const noexcept;

    OwnershipSnapshot snapshot() const;
    /// Replaces the state by a snapshot.
    void restore(OwnershipSnapshot snapshot);
};

}
