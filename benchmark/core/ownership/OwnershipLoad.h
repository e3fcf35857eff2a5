#pragma once

#include "core/ownership/BoundedLoadPlacement.h"
#include "core/ownership/Coordinator.h"
#include "core/ownership/OwnershipState.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselturn {

/// State of a service in which every partition has an owner, with its leading coordinator. Upstreams are attached to
/// the entry VMs round robin.
class OwnershipLoad {
public:
    static constexpr ServiceId service { 1 };
    static constexpr std::uint32_t entryCount = 9;

    OwnershipLoad(std::uint32_t upstreams, std::uint32_t partitions, bool checksGrants = true)
    {
        this->commit(AcceptBundle { makeBundle(partitions) });
        this->coordinator.becameLeader(this->now, this->state);
        for (std::uint32_t i = 0; i < upstreams; ++i) {
            const NodeId leaseManager { 1 + i % entryCount };
            const ZoneId zone { static_cast<std::uint16_t>(1 + i % 4) };
            this->attached.push_back(this->commit(AttachUpstream { "upstream-" + std::to_string(i), i + 1U, service, zone, { "10.0.0.1", 8080 }, 3, 110, checksGrants, leaseManager, BootId { 1 } }));
        }
        for (std::uint32_t first = 0; upstreams > 0 && first < partitions; first += maxSlotsPerCommand) {
            this->commit(this->assignment(first, std::min<std::uint32_t>(partitions, first + maxSlotsPerCommand)));
        }
    }

    ApplyOutcome commit(const Command& command)
    {
        const LogEntry entry { Term { 1 }, LogIndex { this->state.appliedIndex().value + 1 }, command };
        auto outcome = this->state.apply(entry.index, command);
        this->coordinator.applied(this->now, entry, outcome, this->state);
        return outcome;
    }

    /// Renews the delegations of the entry VMs.
    /// @param first The first entry VM to renew; those with a lower id are left out.
    /// @param loads The slot loads that each entry VM reports.
    void renew(std::uint32_t first = 1, const std::vector<SlotLoad>& loads = {})
    {
        ++this->sequence;
        for (std::uint32_t entry = first; entry <= entryCount; ++entry) {
            this->coordinator.delegate(this->now, NodeId { entry }, { this->sequence, BootId { 1 }, this->state.appliedIndex(), BundleVersion { 1 }, true, loads, {} }, this->state);
        }
    }

    AssignSlots assignment(std::uint32_t first, std::uint32_t end) const
    {
        AssignSlots command;
        for (auto i = first; i < end; ++i) {
            const SlotId slot { service, i };
            command.assignments.push_back({ slot, this->attached[i % this->attached.size()].upstream, this->state.findSlot(slot)->fence });
        }
        return command;
    }

    Instant now { std::chrono::hours { 1 } };
    OwnershipState state { [](const SignedBundle&, const Bundle*) { return success(); } };
    Coordinator<BoundedLoadPlacement> coordinator { BoundedLoadPlacement {} };
    std::vector<ApplyOutcome> attached;

private:
    static SignedBundle makeBundle(std::uint32_t partitions)
    {
        SignedBundle bundle;
        bundle.bundle.version = BundleVersion { 1 };
        for (std::uint16_t zone = 1; zone <= 4; ++zone) {
            bundle.bundle.zones.push_back({ ZoneId { zone }, "zone-" + std::to_string(zone), RegionId { static_cast<std::uint16_t>(1 + zone / 3) } });
        }
        for (std::uint32_t entry = 1; entry <= entryCount; ++entry) {
            bundle.bundle.entries.push_back({ NodeId { entry }, ZoneId { static_cast<std::uint16_t>(1 + entry % 4) }, {} });
        }
        bundle.bundle.services = { { service, "catalogue", partitions } };
        return bundle;
    }

    std::uint64_t sequence {};
};

}
