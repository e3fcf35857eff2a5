#pragma once

#include "core/Mutex.h"
#include "teaselturn/Types.h"

#include <cstdio>
#include <string>
#include <string_view>

/// Append-only record of the runs and ownership intervals of the stand-in, one per line, flushed after each line. Times
/// are CLOCK_MONOTONIC in nanoseconds, which all processes of one machine share.
///
///     run TIME REQUEST-ID SERVICE SLOT FENCE INCARNATION REPEATABLE KEY
///     own FROM TO SERVICE SLOT FENCE INCARNATION
class Record {
public:
    /// @param path File to append to; empty for no record.
    Record(const std::string& path, std::string service, std::uint64_t incarnation);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    bool isOpen() const noexcept { return this->file != nullptr || this->isDisabled; }

    /// Records that a request took effect.
    void writeRun(teaselturn::Instant at, std::string_view requestId, std::uint32_t slot, std::uint64_t fence,
        bool isIdempotent, std::string_view key);

    /// Records that the stand-in considered itself the owner of the slot from `from` to `to`.
    void writeOwnership(teaselturn::Instant from, teaselturn::Instant to, std::uint32_t slot, std::uint64_t fence);

private:
    void append(const std::string& line);

    const std::string service;
    const std::uint64_t incarnation;
    bool isDisabled;
    std::FILE* file {};
    teaselturn::Mutex mutex;
};
