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

/// One key=value field of a log line. The key is not copied: it must outlive the call to Logger::log().
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

/// Standard stream that a logger without a file writes to.
enum class LogStream : std::uint8_t {
    Error,
    Output,
};

/// Destination and minimum level of a logger.
struct LoggerOptions {
    LogLevel minimum { LogLevel::Info };
    /// File to append to. If empty, the logger writes to `stream`.
    std::string file;
    LogStream stream { LogStream::Error };
};

/// Writes one line for each event: time (UTC, ISO 8601 with microseconds), level, number, name, key=value fields. A
/// value with blanks, quotes or control characters is quoted and escaped. Thread-safe. Lines pass
/// through a bounded queue (LogQueue in the lock order) to a writer thread, so callers never wait for I/O and may log
/// while they hold a lock. Lines logged while the queue is full are dropped and counted in a QueueOverflow line.
///
/// Boost.Log's text backend writes the lines. Boost.Log's own queue and core are not used: ThreadSanitizer does not see
/// the reference counts inside Debian's library and reports a race for every record passed between threads.
class Logger {
public:
    /// @return A logger, or SettingsInvalidValue if the file cannot be opened.
    static Result<std::unique_ptr<Logger>> open(const LoggerOptions& options);

    /// Writes the queued lines and stops the writer thread.
    ~Logger();
    Logger(const Logger&) = delete;
    Logger& operator=(const Logger&) = delete;

    /// Logs an event at the level that logEventTable gives it. Lines below the minimum level are dropped.
    /// @param message Text of the line's message field. The field is omitted if the message is empty.
    void log(LogEvent event, std::string_view message, std::span<const LogField> fields) noexcept;
    void log(LogEvent event, std::string_view message = {}, std::initializer_list<LogField> fields = {}) noexcept
    {
        this->log(event, message, std::span { fields.begin(), fields.size() });
    }

    /// @return True if the event's level is at least the minimum level.
    bool isEnabled(LogEvent event) const noexcept;

    /// Waits until every line logged before this call has been written.
    void flush();

private:
    struct Backend;

    Logger(LogLevel minLevel, std::unique_ptr<Backend> backend);

    /// Loop of the writer thread.
    void run();

    const LogLevel minLevel;
    /// Used by the writer thread only.
    std::unique_ptr<Backend> backend;
    Mutex mutex;
    /// Signalled when lines are queued, a batch is written, or the logger stops.
    ConditionVariable stateChanged;
    std::deque<std::string> queue ABSL_GUARDED_BY(mutex);
    /// Lines dropped since the last QueueOverflow line.
    std::uint64_t droppedLines ABSL_GUARDED_BY(mutex) {};
    bool isWriting ABSL_GUARDED_BY(mutex) {};
    bool isStopping ABSL_GUARDED_BY(mutex) {};
    std::thread thread;
};

/// Formats a log line without its timestamp. The result depends on the arguments only.
std::string formatLogLine(LogEvent event, std::string_view message, std::span<const LogField> fields);

}
