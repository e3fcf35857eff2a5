#pragma once

#include "adapters/log/Logger.h"
#include "core/ledger/LedgerService.h"

#include <span>

namespace teaselturn {

/// Logs what applied entries did, one line for each that changed something worth knowing.
void logApplied(Logger& logger, std::span<const AppliedEntry> applied);

}
