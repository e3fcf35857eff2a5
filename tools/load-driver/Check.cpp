#include "Check.h"

#include <algorithm>
#include <sstream>

std::string CheckResult::summary() const
{
    return std::to_string(this->sent) + " sent, " + std::to_string(this->answered) + " answered, "
        + std::to_string(this->shed) + " shed, " + std::to_string(this->unknown) + " unknown, "
        + std::to_string(this->lost) + " lost, " + std::to_string(this->doubled) + " doubled, "
        + std::to_string(this->wrongOwner) + " wrong owner";
}

void Check::read(std::istream& input)
{
    for (std::string line; std::getline(input, line);) {
        // A killed process leaves its last line unfinished.
        const bool isUnfinished = input.eof();
        if (!isUnfinished && !this->readLine(line)) {
            ++this->malformed;
        }
    }
}

bool Check::readLine(const std::string& line)
{
    std::istringstream fields { line };
    std::string kind;
    std::string service;
    std::string id;
    std::string repeatable;
    std::uint32_t slot = 0;
    fields >> kind;
    if (kind == "req") {
        std::int64_t from = 0;
        std::int64_t to = 0;
        std::string outcome;
        if (!(fields >> from >> to >> id >> service >> repeatable >> outcome)) {
            return false;
        }
        auto& request = this->requests[id];
        request = { repeatable == "yes", outcome, request.seen + 1 };
        return request.seen == 1;
    }
    if (kind == "run") {
        Run run;
        if (!(fields >> run.at >> id >> service >> slot >> run.fence >> run.incarnation >> repeatable)) {
            return false;
        }
        ++this->runs[id];
        this->isIdempotent[id] = repeatable == "yes";
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

void Check::countRequests(CheckResult& result) const
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
    // Counted from the upstreams' records alone, so that a request whose sender was lost counts too.
    for (const auto& [id, count] : this->runs) {
        result.doubled += count > 1 && !this->isIdempotent.at(id) ? 1 : 0;
    }
}

std::uint64_t Check::countWrongOwner(const Slot& slot)
{
    std::uint64_t wrong = 0;
    auto runs = slot.runs;
    std::stable_sort(runs.begin(), runs.end(), [](const Run& a, const Run& b) { return a.at < b.at; });
    std::uint64_t highest = 0;
    std::uint64_t holder = 0;
    for (const auto& run : runs) {
        if (run.fence < highest || (run.fence == highest && run.incarnation != holder)) {
            ++wrong;
        } else {
            highest = run.fence;
            holder = run.incarnation;
        }
    }
    auto intervals = slot.intervals;
    std::sort(intervals.begin(), intervals.end(), [](const Interval& a, const Interval& b) { return a.from < b.from; });
    std::map<std::uint64_t, std::int64_t> endOf;
    for (const auto& interval : intervals) {
        wrong += static_cast<std::uint64_t>(std::count_if(endOf.begin(), endOf.end(), [&](const auto& other) {
            return other.first != interval.incarnation && other.second > interval.from;
        }));
        auto& end = endOf[interval.incarnation];
        end = std::max(end, interval.to);
    }
    return wrong;
}

CheckResult Check::finish() const
{
    CheckResult result;
    result.malformed = this->malformed;
    this->countRequests(result);
    for (const auto& [id, slot] : this->slots) {
        result.wrongOwner += countWrongOwner(slot);
    }
    return result;
}
