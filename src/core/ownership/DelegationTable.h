#pragma once

#include "teaselturn/Message.h"
#include "teaselturn/Types.h"

#include <absl/container/btree_map.h>
#include <utility>

namespace teaselturn {

/// An entry VM as the leader last heard of it.
struct EntryContact {
    BootId boot;
    /// When this leader first heard of the boot.
    Instant since;
    std::uint64_t sequence {};
    LogIndex appliedIndex;
    BundleVersion bundleInForce;
    bool isHealthy {};
};

/// The delegations that this leader granted, by entry VM and boot.
class DelegationTable {
public:
    /// Forgets everything. The caller waits a whole delegation before it relies on what is missing.
    void clear();

    /// Takes note of a renewal and counts its delegation from now.
    /// @return False where the entry VM has started again since; an older start gets no delegation.
    bool renew(Instant now, NodeId entry, const DelegationRequest& request);

    /// Counts a delegation from the instant at which its answer was sent.
    void extend(Instant sentAt, NodeId entry, BootId boot);

    /// @return True where no delegation of this leader to the boot runs any more.
    bool hasEnded(Instant now, NodeId entry, BootId boot) const noexcept;

    /// @return True where a later boot of the entry VM has been heard of for a whole delegation.
    bool isSuperseded(Instant now, NodeId entry, BootId boot) const noexcept;

    /// @return The entry VM as last heard of, or null.
    const EntryContact* find(NodeId entry) const noexcept;

    /// @return True where the entry VM holds a delegation.
    bool holdsDelegation(Instant now, NodeId entry) const noexcept;

    /// @return True where the entry VM has reported an applied index of at least this.
    bool hasApplied(NodeId entry, LogIndex index) const noexcept;

    /// @return The highest index that every entry VM with a delegation of this leader has reported as applied, or at most
    /// limit.
    LogIndex appliedByHolders(Instant now, LogIndex limit) const noexcept;

private:
    absl::btree_map<NodeId, EntryContact> contacts;
    absl::btree_map<std::pair<NodeId, BootId>, Instant> ends;
};

}
