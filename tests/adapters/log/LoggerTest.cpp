#include "adapters/log/Logger.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <thread>
#include <vector>

using namespace teaselturn;

namespace {

/// A file in the build folder that is removed before and after a test.
class TemporaryFile {
public:
    explicit TemporaryFile(std::string_view name)
        : name(std::filesystem::path { TEASELTURN_BINARY_DIR } / name)
    {
        std::filesystem::remove(this->name);
    }
    ~TemporaryFile() { std::filesystem::remove(this->name); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    std::string path() const { return this->name.string(); }

    std::vector<std::string> lines() const
    {
        std::ifstream stream { this->name };
        std::vector<std::string> lines;
        for (std::string line; std::getline(stream, line);) {
            lines.push_back(line);
        }
        return lines;
    }

private:
    std::filesystem::path name;
};

}

TEST_CASE("a log line has a level, a number, a name and quoted fields")
{
    const std::vector<LogField> fields { { "peer", NodeId { 7 } }, { "address", "127.0.0.1:80" }, { "key", "a b\n\"c\"" } };
    // A line break in a value must not begin a line that can be mistaken for another event.
    CHECK(formatLogLine(LogEvent::MessageDropped, "bad frame", fields)
        == R"(warning 4001 MessageDropped message="bad frame" peer=7 address=127.0.0.1:80 key="a b\x0a\"c\"")");
    CHECK(formatLogLine(LogEvent::ProcessStarted, "", {}) == "info 1001 ProcessStarted");
}

TEST_CASE("lines below the minimum level are not written")
{
    const TemporaryFile file { "logger-level.log" };
    auto logger = Logger::open({ LogLevel::Warning, file.path() });
    REQUIRE(logger);
    (*logger)->log(LogEvent::ProcessStarted);
    (*logger)->log(LogEvent::QueueOverflow, "full", { { "limit", 3 } });
    (*logger)->flush();
    const auto lines = file.lines();
    REQUIRE(lines.size() == 1);
    CHECK(std::regex_match(lines[0],
        std::regex { R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z warning 1007 QueueOverflow message=full limit=3)" }));
}

TEST_CASE("lines from several threads are not interleaved, and each logger writes only its own lines")
{
    // Guards against interleaved lines and against a process-wide sink that receives the lines of every logger.
    const TemporaryFile first { "logger-first.log" };
    const TemporaryFile second { "logger-second.log" };
    {
        auto one = Logger::open({ LogLevel::Info, first.path() });
        auto two = Logger::open({ LogLevel::Info, second.path() });
        REQUIRE(one);
        REQUIRE(two);
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int thread = 0; thread < 4; ++thread) {
            threads.emplace_back([&one, thread] {
                for (int i = 0; i < 100; ++i) {
                    (*one)->log(LogEvent::ProcessStarted, "", { { "thread", thread }, { "i", i } });
                }
            });
        }
        (*two)->log(LogEvent::ProcessStopped);
        for (auto& thread : threads) {
            thread.join();
        }
    }
    const auto lines = first.lines();
    CHECK(lines.size() == 400);
    const std::regex whole { R"(\S+Z info 1001 ProcessStarted thread=\d i=\d+)" };
    for (const auto& line : lines) {
        CHECK(std::regex_match(line, whole));
    }
    CHECK(second.lines().size() == 1);
}

TEST_CASE("a log file that cannot be opened is reported")
{
    const auto logger = Logger::open({ LogLevel::Info, "/nonexistent-folder/teaselturn.log" });
    REQUIRE(!logger);
    CHECK(logger.error() == ResultCode::SettingsInvalidValue);
}
