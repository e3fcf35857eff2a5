#pragma once

#include "core/dispatch/DispatchTables.h"

namespace teaselturn {

/// Decides when a refused caller may retry. Answers callers that are refused together: jitter spreads their retries.
class ReturnTime {
public:
    /// @param owner Owner of the request's key; null if it has none.
    Duration compute(Instant now, const PendingDispatch& pending, const DispatchUpstream* owner, ResultCode reason);

private:
    /// State of a xorshift generator.
    std::uint64_t jitterState { 0x9e3779b97f4a7c15 };
};

}
