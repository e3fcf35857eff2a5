#pragma once

#include "adapters/clock/SteadyClock.h"
#include "adapters/disk/DataFolder.h"
#include "adapters/peer/PeerTransport.h"
#include "adapters/settings/Settings.h"
#include "core/ledger/InitialDisk.h"
#include "node/LedgerNode.h"
#include "node/ProposalClient.h"

#include <memory>

namespace teaselturn {

using DaemonLedger = LedgerNode<PeerTransport, DataFolder<>, SteadyClock>;
using DaemonProposals = ProposalClient<PeerTransport, SteadyClock>;

/// Creates the data folder of an initial member.
/// @return DataFolderInvalid if it already exists.
Status createLedger(const Settings& settings);

/// Opens the data folder and starts the ledger role of a process. The references outlive it.
Result<std::unique_ptr<DaemonLedger>> openLedger(const Settings& settings, PeerTransport& transport, BundleCheck check, const SteadyClock& clock, Logger& logger, LedgerCallbacks callbacks);

}
