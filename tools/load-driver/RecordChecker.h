#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Counts from a comparison of records.
struct CheckResult {
    std::uint64_t sent {};
    std::uint64_t answered {};
    /// Reported as not run.
    std::uint64_t shed {};
    std::uint64_t unknown {};
    /// Answered but never ran.
    std::uint64_t lost {};
    /// Not idempotent but ran more than once.
    std::uint64_t duplicated {};
    /// Reported as not run but ran.
    std::uint64_t wrongNotRun {};
    /// Responses that belong to another request.
    std::uint64_t wrongAnswers {};
    /// Runs under a fence older than an earlier run's of the same slot or under another owner's fence, and overlapping
    /// ownership intervals of two upstreams for the same slot.
    std::uint64_t wrongOwner {};
    /// Lines that cannot be parsed, except an incomplete last line of a file, and repeated request lines.
    std::uint64_t malformed {};

    bool isClean() const noexcept
    {
        return this->lost + this->duplicated + this->wrongNotRun + this->wrongAnswers + this->wrongOwner + this->malformed
            == 0;
    }
    /// @return "N sent, N answered, N shed, N unknown, N lost, N doubled, N wrong owner".
    std::string summary() const;
};

/// Compares the record of the load driver with those of the stand-in upstreams.
class RecordChecker {
public:
    /// Reads a record of the load driver or of a stand-in upstream.
    void read(std::istream& input);

    /// @return The counts from all records read so far.
    CheckResult evaluate() const;

private:
    struct Request {
        bool isIdempotent {};
        std::string outcome;
        std::uint32_t lineCount {};
    };
    struct Run {
        std::int64_t at {};
        std::uint64_t fence {};
        std::uint64_t incarnation {};
    };
    struct Interval {
        std::int64_t from {};
        std::int64_t to {};
        std::uint64_t incarnation {};
    };
    struct Slot {
        std::vector<Run> runs;
        std::vector<Interval> intervals;
    };

    bool readLine(const std::string& line);
    void countRequests(CheckResult& result) const;
    static std::uint64_t countOwnershipViolations(const Slot& slot);

    std::map<std::string, Request> requests;
    std::map<std::string, std::uint32_t> runs;
    std::map<std::string, bool> isIdempotent;
    std::map<std::pair<std::string, std::uint32_t>, Slot> slots;
    std::uint64_t malformed {};
};
