#pragma once

#include "core/ledger/EntryLog.h"
#include "teaselturn/Command.h"

#include <cstddef>
#include <cstdint>

namespace teaselturn {

/// Bounds of the log above the latest snapshot.
struct SnapshotLimits {
    std::uint64_t entries {};
    /// Estimated size of the applied entries.
    std::size_t bytes {};
};

/// Decides when the applied state is written as a snapshot, so that the log can be compacted. A member holds the entries of
/// its log in memory, and reads all of them when it starts.
class SnapshotSchedule {
public:
    explicit SnapshotSchedule(SnapshotLimits limits) noexcept
        : limits(limits)
    {
    }

    void recordApplied(const Command& command) noexcept { this->appliedBytes += estimatedBytes(command); }

    /// Begins a snapshot if one is due. None is due until recordSaved() reports that it is on disk.
    /// @param first First index of the log.
    /// @param applied Index of the last applied entry.
    /// @return True if the caller has to take the snapshot now.
    bool begin(LogIndex first, LogIndex applied) noexcept
    {
        const bool isDue = applied.value >= first.value + this->limits.entries || this->appliedBytes >= this->limits.bytes;
        if (this->isPending || !isDue) {
            return false;
        }
        this->isPending = true;
        this->appliedBytes = 0;
        return true;
    }

    void recordSaved() noexcept { this->isPending = false; }

private:
    SnapshotLimits limits;
    std::size_t appliedBytes {};
    bool isPending {};
};

}
