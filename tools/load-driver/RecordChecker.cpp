#include "RecordChecker.h"

#include <algorithm>
#include <sstream>

std::string CheckResult::summary() const
{
    return std::to_string(this->sent) + " sent, " + std::to_string(this->answered) + " answered, "
        + std::to_string(this->shed) + " shed, " + std::to_string(this->unknown) + " unknown, "
        + std::to_string(this->lost) + " lost, " + std::to_string(this->duplicated) + " doubled, "
        + std::to_string(this->wrongOwner) + " wrong owner";
}

void RecordChecker::read(std::istream& input)
{
    for (std::string line; std::getline(input, line);) {
        // A killed process may leave an incomplete last line.
        const bool isUnfinished = input.eof();
        if (!isUnfinished && !this->readLine(line)) {
            ++this->malformed;
        }
    }
}

bool RecordChecker::readLine(const std::string& line)
{
    std::istringstream fields { line };
    std::string kind;
    std::string service;
    std::string id;
    std::string idempotent;
    std::uint32_t slot = 0;
    fields >> kind;
    if (kind == "req") {
        std::int64_t from = 0;
        std::int64_t to = 0;
        std::string outcome;
        if (!(fields >> from >> to >> id >> service >> idempotent >> outcome)) {
            return false;
        }
        auto& request = this->requests[id];
        request = { idempotent == "yes", outcome, request.lineCount + 1 };
        return request.lineCount == 1;
    }
    if (kind == "run") {
        Run run;
        if (!(fields >> run.at >> id >> service >> slot >> run.fence >> run.incarnation >> idempotent)) {
            return false;
        }
        ++this->runs[id];
        this->isIdempotent[id] = idempotent == "yes";
        this->slots[{ service, slot }].runs.push_back(run);
        return true;
    }
    if (kind == "own") {
        Interval interval;
        std::uint64_t fence = 0;
        if (!(fields >> interval.from >> interval.to >> service >> slot >> fence >> interval.incarnation)) {
            return false;
        }
        this->slots[{ service, slot }].intervals.push_back(interval);
        return true;
    }
    return false;
}

void RecordChecker::countRequests(CheckResult& result) const
{
    for (const auto& [id, request] : this->requests) {
        const auto found = this->runs.find(id);
        const bool hasRun = found != this->runs.end();
        ++result.sent;
        if (request.outcome == "answered" || request.outcome == "wrong-answer") {
            ++result.answered;
            result.lost += hasRun ? 0 : 1;
            result.wrongAnswers += request.outcome == "wrong-answer" ? 1 : 0;
        } else if (request.outcome == "not-run") {
            ++result.shed;
            result.wrongNotRun += hasRun ? 1 : 0;
        } else {
            ++result.unknown;
        }
    }
    // Counted from the upstreams' records alone, so that requests of a killed load driver are included.
    for (const auto& [id, count] : this->runs) {
        result.duplicated += count > 1 && !this->isIdempotent.at(id) ? 1 : 0;
    }
}

std::uint64_t RecordChecker::countOwnershipViolations(const Slot& slot)
{
    std::uint64_t violations = 0;
    auto runs = slot.runs;
    std::stable_sort(runs.begin(), runs.end(), [](const Run& a, const Run& b) { return a.at < b.at; });
    std::uint64_t highestFence = 0;
    std::uint64_t fenceOwner = 0;
    for (const auto& run : runs) {
        if (run.fence < highestFence || (run.fence == highestFence && run.incarnation != fenceOwner)) {
            ++violations;
        } else {
            highestFence = run.fence;
            fenceOwner = run.incarnation;
        }
    }
    auto intervals = slot.intervals;
    std::sort(intervals.begin(), intervals.end(), [](const Interval& a, const Interval& b) { return a.from < b.from; });
    std::map<std::uint64_t, std::int64_t> latestEnds;
    for (const auto& interval : intervals) {
        violations += static_cast<std::uint64_t>(std::count_if(latestEnds.begin(), latestEnds.end(), [&](const auto& other) {
            return other.first != interval.incarnation && other.second > interval.from;
        }));
        auto& end = latestEnds[interval.incarnation];
        end = std::max(end, interval.to);
    }
    return violations;
}

CheckResult RecordChecker::evaluate() const
{
    CheckResult result;
    result.malformed = this->malformed;
    this->countRequests(result);
    for (const auto& [id, slot] : this->slots) {
        result.wrongOwner += countOwnershipViolations(slot);
    }
    return result;
}
