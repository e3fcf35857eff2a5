#include "adapters/log/Logger.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/channel_logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>

namespace teaselturn {

namespace {

    /// Lines that wait for the writing thread. Further lines are dropped, so that a slow disk cannot stop the daemon.
    constexpr std::size_t maxQueuedLines = 4'096;
    /// Longest value of a field, in bytes. It bounds a line, since the number of fields is fixed in the code.
    constexpr std::size_t maxValueBytes = 1'024;

    using Backend = boost::log::sinks::text_ostream_backend;
    using Frontend = boost::log::sinks::asynchronous_sink<Backend,
        boost::log::sinks::bounded_fifo_queue<maxQueuedLines, boost::log::sinks::drop_on_overflow>>;
    /// The channel tells the loggers of one process apart, since Boost.Log has one core for the process.
    using Source = boost::log::sources::channel_logger_mt<std::uint64_t>;

    std::atomic<std::uint64_t> lastChannel { 0 };

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

struct Logger::Sink {
    explicit Sink(const boost::shared_ptr<std::ostream>& stream)
        : channel(++lastChannel)
        , source(boost::log::keywords::channel = channel)
    {
        namespace expressions = boost::log::expressions;
        auto backend = boost::make_shared<Backend>();
        backend->add_stream(stream);
        backend->auto_flush(true);
        this->frontend = boost::make_shared<Frontend>(backend);
        this->frontend->set_filter(expressions::attr<std::uint64_t>("Channel") == this->channel);
        this->frontend->set_formatter(expressions::stream
            << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ") << ' ' << expressions::smessage);
        this->source.add_attribute("TimeStamp", boost::log::attributes::utc_clock());
        boost::log::core::get()->add_sink(this->frontend);
    }

    ~Sink()
    {
        boost::log::core::get()->remove_sink(this->frontend);
        this->frontend->stop();
        this->frontend->flush();
    }

    Sink(const Sink&) = delete;
    Sink& operator=(const Sink&) = delete;

    std::uint64_t channel;
    boost::shared_ptr<Frontend> frontend;
    Source source;
};

Logger::Logger(LogLevel minimum, std::unique_ptr<Sink> sink)
    : minimum(minimum)
    , sink(std::move(sink))
{
}

Logger::~Logger() = default;

Result<std::unique_ptr<Logger>> Logger::open(const LoggerOptions& settings)
{
    boost::shared_ptr<std::ostream> stream;
    if (settings.file.empty()) {
        stream.reset(&std::clog, boost::null_deleter());
    } else {
        stream = boost::make_shared<std::ofstream>(settings.file, std::ios::app);
        if (!*stream) {
            return { ResultCode::SettingsInvalidValue, "cannot open log file " + settings.file };
        }
    }
    return std::unique_ptr<Logger> { new Logger { settings.minimum, std::make_unique<Sink>(stream) } };
}

bool Logger::isEnabled(LogEvent event) const noexcept
{
    return logEventRow(event).level >= this->minimum;
}

void Logger::log(LogEvent event, std::string_view message, std::span<const LogField> fields) noexcept
{
    if (!this->isEnabled(event)) {
        return;
    }
    try {
        BOOST_LOG(this->sink->source) << formatLogLine(event, message, fields);
    } catch (...) {
        // Out of memory or a failed stream: the line is lost, and the caller goes on.
    }
}

void Logger::flush()
{
    this->sink->frontend->flush();
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
