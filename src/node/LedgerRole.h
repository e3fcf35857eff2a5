#pragma once

#include "adapters/clock/SteadyClock.h"
#include "adapters/disk/DataFolder.h"
#include "adapters/peer/PeerTransport.h"
#include "adapters/settings/Settings.h"
#include "node/LedgerNode.h"
#include "node/ProposalClient.h"

#include <memory>

namespace teaselturn {

using DaemonLedger = LedgerNode<PeerTransport, DataFolder<>, SteadyClock>;
using DaemonProposals = ProposalClient<PeerTransport, SteadyClock>;

/// Identity of a disk that a new ledger begins with, where the settings state none: `teaselturnd --create-ledger` writes
/// it. A folder that is
/// created otherwise has a random identity, so a member that lost its disk has no vote until the ledger admits it.
/// @return A number that randomDiskId() practically never gives.
constexpr DiskId firstDiskId(NodeId node) noexcept
{
    return DiskId { node.value };
}

/// Creates the data folder of a first member.
/// @return DataFolderInvalid where there is one already.
Status createLedger(const Settings& settings);

/// Opens the data folder and makes the ledger part of a process. The references outlive it.
Result<std::unique_ptr<DaemonLedger>> openLedger(const Settings& settings, PeerTransport& transport, BundleCheck check, const SteadyClock& clock, Logger& logger, LedgerCallbacks callbacks);

}
