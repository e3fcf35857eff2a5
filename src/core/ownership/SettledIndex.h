#pragma once

#include "teaselturn/Types.h"

#include <deque>

namespace teaselturn {

/// Tells which log entries were applied a whole delegation ago. Every delegation that runs now was then granted after
/// them, and its holder uses it only once it has applied them.
class SettledIndex {
public:
    /// Starts afresh: everything up to an index counts as applied now.
    void reset(Instant now, LogIndex applied);

    /// Takes note of an applied entry.
    void recordApplied(Instant now, LogIndex index);

    /// @return The highest index that was applied at least withDrift(delegationLength) ago.
    LogIndex settledAt(Instant now);

private:
    struct Mark {
        Instant since;
        /// When the last entry of this mark was applied.
        Instant until;
        LogIndex index;
    };

    /// Entries applied within this time share a mark, which bounds the number of marks.
    static constexpr std::chrono::milliseconds markLength { 10 };
    std::deque<Mark> marks;
    LogIndex settled;
};

}
