#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// What a comparison of records found.
struct CheckResult {
    std::uint64_t sent {};
    std::uint64_t answered {};
    /// Reported as not run.
    std::uint64_t shed {};
    std::uint64_t unknown {};
    /// Answered, but never ran.
    std::uint64_t lost {};
    /// Not repeatable, and ran more than once.
    std::uint64_t doubled {};
    /// Reported as not run, but ran.
    std::uint64_t wrongNotRun {};
    /// Answers that belong to another request.
    std::uint64_t wrongAnswers {};
    /// Ran under a fence older than one seen before for the slot, or under a fence of another owner, or while two
    /// upstreams considered themselves owners of the slot.
    std::uint64_t wrongOwner {};
    /// Lines that cannot be read, other than an unfinished last line of a file.
    std::uint64_t malformed {};

    bool isClean() const noexcept
    {
        return this->lost + this->doubled + this->wrongNotRun + this->wrongAnswers + this->wrongOwner + this->malformed
            == 0;
    }
    /// @return "N sent, N answered, N shed, N unknown, N lost, N doubled, N wrong owner".
    std::string summary() const;
};

/// Compares the load driver's record with those of the stand-in upstreams.
class Check {
public:
    /// Reads a record of either kind.
    void read(std::istream& input);

    /// @return What the records read so far show.
    CheckResult finish() const;

private:
    struct Request {
        bool isIdempotent {};
        std::string outcome;
        std::uint32_t seen {};
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
    static std::uint64_t countWrongOwner(const Slot& slot);

    std::map<std::string, Request> requests;
    std::map<std::string, std::uint32_t> runs;
    std::map<std::string, bool> isIdempotent;
    std::map<std::pair<std::string, std::uint32_t>, Slot> slots;
    std::uint64_t malformed {};
};
