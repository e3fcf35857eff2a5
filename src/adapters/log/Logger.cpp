#include "adapters/log/Logger.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core/record_view.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <utility>

namespace teaselturn {

namespace {

    /// Maximum number of lines queued for the writer thread. Further lines are dropped, so that a slow disk cannot
    /// block the daemon.
    constexpr std::size_t maxQueuedLines = 4'096;
    /// Maximum length of a field's value; longer values are truncated. This bounds the length of a line, since each
    /// call site has a fixed number of fields.
    constexpr std::size_t maxValueBytes = 1'024;

    /// @return The current UTC time in ISO 8601 format with microseconds.
    std::string currentTimestamp()
    {
        const auto now = std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
        const auto seconds = std::chrono::system_clock::to_time_t(now);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        char text[40] {};
        const auto length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(text + length, sizeof text - length, ".%06dZ", static_cast<int>(now.time_since_epoch().count() % 1'000'000));
        return text;
    }

    bool needsQuotes(std::string_view value) noexcept
    {
        return value.empty() || value.find_first_of(" \"\\=") != std::string_view::npos
            || std::ranges::any_of(value, [](unsigned char c) { return c < 0x20 || c == 0x7f; });
    }

    void appendEscaped(std::string& line, std::string_view value)
    {
        static constexpr std::string_view digits = "0123456789abcdef";
        for (const auto c : value) {
            const auto byte = static_cast<unsigned char>(c);
            if (c == '"' || c == '\\') {
                line += '\\';
                line += c;
            } else if (byte < 0x20 || byte == 0x7f) {
                line += "\\x";
                line += digits[byte >> 4];
                line += digits[byte & 0xf];
            } else {
                line += c;
            }
        }
    }

    void appendField(std::string& line, std::string_view key, std::string_view value)
    {
        value = value.substr(0, maxValueBytes);
        line += ' ';
        line += key;
        line += '=';
        if (!needsQuotes(value)) {
            line += value;
            return;
        }
        line += '"';
        appendEscaped(line, value);
        line += '"';
    }

}

struct Logger::Backend {
    explicit Backend(const boost::shared_ptr<std::ostream>& stream)
    {
        this->text.add_stream(stream);
    }

    void write(const std::string& line) { this->text.consume(boost::log::record_view {}, line); }

    boost::log::sinks::text_ostream_backend text;
};

Logger::Logger(LogLevel minLevel, std::unique_ptr<Backend> backend)
    : minLevel(minLevel)
    , backend(std::move(backend))
    , thread([this] { this->run(); })
{
}

Logger::~Logger()
{
    {
        const MutexLock lock { this->mutex };
        this->isStopping = true;
    }
    this->stateChanged.notifyAll();
    this->thread.join();
}

Result<std::unique_ptr<Logger>> Logger::open(const LoggerOptions& options)
{
    boost::shared_ptr<std::ostream> stream;
    if (options.file.empty()) {
        stream.reset(options.stream == LogStream::Output ? &std::cout : &std::clog, boost::null_deleter());
    } else {
        stream = boost::make_shared<std::ofstream>(options.file, std::ios::app);
        if (!*stream) {
            return { ResultCode::SettingsInvalidValue, "cannot open log file " + options.file };
        }
    }
    return std::unique_ptr<Logger> { new Logger { options.minimum, std::make_unique<Backend>(stream) } };
}

bool Logger::isEnabled(LogEvent event) const noexcept
{
    return logEventRow(event).level >= this->minLevel;
}

void Logger::log(LogEvent event, std::string_view message, std::span<const LogField> fields) noexcept
{
    if (!this->isEnabled(event)) {
        return;
    }
    try {
        auto line = currentTimestamp() + ' ' + formatLogLine(event, message, fields);
        const MutexLock lock { this->mutex };
        if (this->queue.size() >= maxQueuedLines) {
            ++this->droppedLines;
            return;
        }
        this->queue.push_back(std::move(line));
        this->stateChanged.notifyAll();
    } catch (...) {
        // Out of memory: the line is lost; logging must not fail its caller.
    }
}

void Logger::run()
{
    this->mutex.lock();
    while (!this->isStopping || !this->queue.empty()) {
        if (this->queue.empty()) {
            this->stateChanged.wait(this->mutex);
            continue;
        }
        auto lines = std::exchange(this->queue, {});
        const auto droppedLines = std::exchange(this->droppedLines, 0);
        this->isWriting = true;
        this->mutex.unlock();
        for (const auto& line : lines) {
            this->backend->write(line);
        }
        if (droppedLines > 0) {
            const std::initializer_list<LogField> fields { { "lines", droppedLines } };
            this->backend->write(currentTimestamp() + ' ' + formatLogLine(LogEvent::QueueOverflow, "log lines were dropped", std::span { fields.begin(), fields.size() }));
        }
        this->backend->text.flush();
        this->mutex.lock();
        this->isWriting = false;
        this->stateChanged.notifyAll();
    }
    this->mutex.unlock();
}

void Logger::flush()
{
    const MutexLock lock { this->mutex };
    while (!this->queue.empty() || this->isWriting) {
        this->stateChanged.wait(this->mutex);
    }
}

std::string formatLogLine(LogEvent event, std::string_view message, std::span<const LogField> fields)
{
    const auto& row = logEventRow(event);
    std::string line { logLevelName(row.level) };
    line += ' ';
    line += std::to_string(static_cast<std::uint16_t>(event));
    line += ' ';
    line += row.name;
    if (!message.empty()) {
        appendField(line, "message", message);
    }
    for (const auto& field : fields) {
        appendField(line, field.key, field.value);
    }
    return line;
}

}
