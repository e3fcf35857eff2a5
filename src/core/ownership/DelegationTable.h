#pragma once

#include "teaselturn/Message.h"
#include "teaselturn/Types.h"

#include <absl/container/btree_map.h>
#include <utility>

namespace teaselturn {

/// The latest report of an entry VM to the leader.
struct EntryContact {
    BootId boot;
    /// When this leader first received a request from the boot.
    Instant since;
    std::uint64_t sequence {};
    LogIndex appliedIndex;
    BundleVersion bundleInForce;
    bool isHealthy {};
};

/// Delegations that this leader granted, by entry VM and boot.
class DelegationTable {
public:
    /// Removes everything. The caller must wait one delegation length before it relies on the absence of a delegation.
    void clear();

    /// Records a renewal request and extends its delegation, counted from now.
    /// @return False if the entry VM has restarted since; an older boot gets no delegation.
    bool renew(Instant now, NodeId entry, const DelegationRequest& request);

    /// Extends the delegation's end, counted from the time its reply was sent.
    void extend(Instant sentAt, NodeId entry, BootId boot);

    /// @return True if every delegation that this leader granted to the boot has ended.
    bool hasEnded(Instant now, NodeId entry, BootId boot) const noexcept;

    /// @return True if a later boot of the entry VM first reported at least one delegation length ago.
    bool isSuperseded(Instant now, NodeId entry, BootId boot) const noexcept;

    /// @return The latest report of the entry VM, or null.
    const EntryContact* find(NodeId entry) const noexcept;

    /// @return True if the entry VM holds a delegation.
    bool holdsDelegation(Instant now, NodeId entry) const noexcept;

    /// @return True if the entry VM has reported an applied index of at least this.
    bool hasApplied(NodeId entry, LogIndex index) const noexcept;

    /// @return The highest index, at most limit, that every entry VM holding a delegation of this leader has reported
    /// as applied.
    LogIndex appliedByHolders(Instant now, LogIndex limit) const noexcept;

private:
    absl::btree_map<NodeId, EntryContact> contacts;
    absl::btree_map<std::pair<NodeId, BootId>, Instant> ends;
};

}
