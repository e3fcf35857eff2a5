#pragma once

#include "teaselturn/Command.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace teaselturn {

/// @return The approximate size of a command in bytes, encoded or in memory.
std::size_t estimatedBytes(const Command& command) noexcept;

/// In-memory part of the replicated log: the entries above a base index. A snapshot covers everything up to the base.
class EntryLog {
public:
    /// @param baseIndex Index of the last entry that the log no longer holds; zero for a complete log.
    /// @param baseTerm Term of the entry at baseIndex.
    /// @param entries Consecutive entries from baseIndex + 1. Entries at or below baseIndex are dropped.
    EntryLog(LogIndex baseIndex, Term baseTerm, std::vector<LogEntry> entries);

    LogIndex base() const noexcept { return this->baseIndex; }
    LogIndex firstIndex() const noexcept { return LogIndex { this->baseIndex.value + 1 }; }
    LogIndex lastIndex() const noexcept { return LogIndex { this->baseIndex.value + this->entries.size() }; }
    Term lastTerm() const noexcept { return this->entries.empty() ? this->baseTerm : this->entries.back().term; }

    /// @return The term of the entry at index; empty if the index is below the base or above the last entry.
    std::optional<Term> termAt(LogIndex index) const noexcept;
    /// @param index Between firstIndex() and lastIndex(), inclusive.
    const LogEntry& at(LogIndex index) const noexcept;

    /// Appends an entry. Its index must be lastIndex() + 1.
    void append(LogEntry entry);
    /// Removes the entries at and above index.
    void truncateFrom(LogIndex index);
    /// Drops entries up to and including index, but retains the newest of them within limits::maxRetainedEntries and
    /// limits::maxRetainedBytes.
    void compactThrough(LogIndex index);
    /// Drops every entry and sets the base, so that the next entry appended has index + 1.
    /// @param term Term of the entry at index.
    void reset(LogIndex index, Term term);

    /// Returns a copy of consecutive entries.
    /// @param from First index to return; at least firstIndex().
    /// @param through Last index to return.
    /// @param maxBytes Bound on the estimated size. The first entry is returned even if it is larger.
    std::vector<LogEntry> slice(LogIndex from, LogIndex through, std::size_t maxBytes) const;

private:
    void dropFirst();

    LogIndex baseIndex;
    Term baseTerm;
    std::deque<LogEntry> entries;
};

}
