#pragma once

#include "adapters/log/Logger.h"
#include "core/ledger/LedgerService.h"

#include <span>

namespace teaselturn {

/// Logs applied entries, one line for each entry with a change that operators need to see.
void logApplied(Logger& logger, std::span<const AppliedEntry> applied);

}
