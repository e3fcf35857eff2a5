#pragma once

#include "teaselturn/Types.h"

#include <deque>

namespace teaselturn {

/// Tracks which log entries were applied at least one delegation length ago. Every delegation that is valid now was
/// granted after them, and its holder uses it only once it has applied them.
class AppliedIndexHistory {
public:
    /// Resets the state: everything up to an index counts as applied now.
    void reset(Instant now, LogIndex applied);

    /// Records an applied entry.
    void recordApplied(Instant now, LogIndex index);

    /// @return The highest index that was applied at least withDrift(delegationLength) ago, so before every delegation
    /// that is valid now was granted.
    LogIndex appliedBeforeDelegations(Instant now);

private:
    struct AppliedInterval {
        Instant since;
        /// When the last entry of this interval was applied.
        Instant until;
        LogIndex index;
    };

    /// Entries applied within this time are recorded together, which bounds the number of records.
    static constexpr std::chrono::milliseconds intervalLength { 10 };
    std::deque<AppliedInterval> intervals;
    /// Highest index found so far that was applied at least one delegation length ago.
    LogIndex appliedBefore;
};

}
