#pragma once

#include "teaselturn/Command.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace teaselturn {

/// @return Approximate size of the command when encoded or held in memory, in bytes.
std::size_t estimatedBytes(const Command& command) noexcept;

/// The part of the log that is held in memory: entries above a base whose content a snapshot covers.
class EntryLog {
public:
    /// @param baseIndex Index below the first entry; zero for a log from the beginning.
    /// @param baseTerm Term of the entry at baseIndex.
    /// @param entries Consecutive entries from baseIndex + 1. Entries at or below baseIndex are dropped.
    EntryLog(LogIndex baseIndex, Term baseTerm, std::vector<LogEntry> entries);

    LogIndex base() const noexcept { return this->baseIndex; }
    LogIndex firstIndex() const noexcept { return LogIndex { this->baseIndex.value + 1 }; }
    LogIndex lastIndex() const noexcept { return LogIndex { this->baseIndex.value + this->entries.size() }; }
    Term lastTerm() const noexcept { return this->entries.empty() ? this->baseTerm : this->entries.back().term; }

    /// @return Term of the entry, or nothing where it is below the base or above the end.
    std::optional<Term> termAt(LogIndex index) const noexcept;
    /// @param index From firstIndex() to lastIndex().
    const LogEntry& at(LogIndex index) const noexcept;

    /// Appends an entry, which must have index lastIndex() + 1.
    void append(LogEntry entry);
    /// Removes the entries at and above index.
    void truncateFrom(LogIndex index);
    /// Drops entries up to index, but keeps some of the newest of them within limits::maxRetainedEntries and
    /// maxRetainedBytes.
    void compactThrough(LogIndex index);
    /// Drops every entry; the log continues above index.
    void reset(LogIndex index, Term term);

    /// @param from First index wanted; at least firstIndex().
    /// @param through Last index wanted.
    /// @param maxBytes Bound on the estimated size. The first entry is returned even where it is larger.
    std::vector<LogEntry> slice(LogIndex from, LogIndex through, std::size_t maxBytes) const;

private:
    void dropFirst();

    LogIndex baseIndex;
    Term baseTerm;
    std::deque<LogEntry> entries;
};

}
