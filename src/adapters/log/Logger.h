#pragma once

#include "core/Mutex.h"
#include "teaselturn/LogEvent.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <concepts>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <thread>

namespace teaselturn {

/// One key=value field of a log line. The key must outlive the call that logs it.
struct LogField {
    std::string_view key;
    std::string value;

    LogField(std::string_view key, std::string_view value)
        : key(key)
        , value(value)
    {
    }
    LogField(std::string_view key, const char* value)
        : LogField(key, std::string_view { value })
    {
    }
    LogField(std::string_view key, std::integral auto value)
        : key(key)
        , value(std::to_string(value))
    {
    }
    template <typename Tag, typename Rep>
    LogField(std::string_view key, StrongId<Tag, Rep> id)
        : key(key)
        , value(std::to_string(id.value))
    {
    }
};

/// Stream of a logger without a file.
enum class LogStream : std::uint8_t {
    Error,
    Output,
};

/// Where a logger writes, and which lines.
struct LoggerOptions {
    LogLevel minimum { LogLevel::Info };
    /// File to append to. Empty means a standard stream.
    std::string file;
    LogStream stream { LogStream::Error };
};

/// Writes one line for each event: time (UTC, ISO 8601 with microseconds), level, number, name, key=value fields. A
/// value with blanks, quotes or control characters is quoted and escaped. Safe to call from several threads: lines go
/// through a bounded queue (LogQueue in the lock order) to a thread of the logger, so a caller never waits for I/O, even
/// where it holds a lock. Lines that find the queue full are dropped and counted in a QueueOverflow line.
///
/// Boost.Log's text backend writes the lines. Its queue and core are not used: ThreadSanitizer does not see the
/// reference counts inside Debian's library and reports a race for every record that passes between threads.
class Logger {
public:
    /// @return A logger, or SettingsInvalidValue where the file cannot be opened.
    static Result<std::unique_ptr<Logger>> open(const LoggerOptions& settings);

    /// Writes the queued lines and stops.
    ~Logger();
    Logger(const Logger&) = delete;
    Logger& operator=(const Logger&) = delete;

    /// Logs an event at the level that logEventTable gives it. Lines below the minimum level are dropped.
    /// @param message What was found; it stands in the line as message="...". Empty messages are left out.
    void log(LogEvent event, std::string_view message, std::span<const LogField> fields) noexcept;
    void log(LogEvent event, std::string_view message = {}, std::initializer_list<LogField> fields = {}) noexcept
    {
        this->log(event, message, std::span { fields.begin(), fields.size() });
    }

    /// @return True where lines of this event are written.
    bool isEnabled(LogEvent event) const noexcept;

    /// Waits until every line logged so far has been written.
    void flush();

private:
    struct Backend;

    Logger(LogLevel minimum, std::unique_ptr<Backend> backend);

    void run();

    const LogLevel minimum;
    /// Used by the logger's thread only.
    std::unique_ptr<Backend> backend;
    Mutex mutex;
    ConditionVariable changed;
    std::deque<std::string> queue ABSL_GUARDED_BY(mutex);
    std::uint64_t dropped ABSL_GUARDED_BY(mutex) {};
    bool isWriting ABSL_GUARDED_BY(mutex) {};
    bool isStopping ABSL_GUARDED_BY(mutex) {};
    std::thread thread;
};

/// Formats the part of a line behind the time. It is a function of its arguments only.
std::string formatLogLine(LogEvent event, std::string_view message, std::span<const LogField> fields);

}
