#include "core/ownership/AppliedIndexHistory.h"

namespace teaselturn {

void AppliedIndexHistory::reset(Instant now, LogIndex applied)
{
    this->intervals.clear();
    this->appliedBefore = {};
    this->recordApplied(now, applied);
}

void AppliedIndexHistory::recordApplied(Instant now, LogIndex index)
{
    if (!this->intervals.empty() && now < this->intervals.back().since + intervalLength) {
        this->intervals.back().until = now;
        this->intervals.back().index = index;
        return;
    }
    this->intervals.push_back({ now, now, index });
}

LogIndex AppliedIndexHistory::appliedBeforeDelegations(Instant now)
{
    while (!this->intervals.empty() && this->intervals.front().until + timing::withDrift(timing::delegationLength) <= now) {
        this->appliedBefore = this->intervals.front().index;
        this->intervals.pop_front();
    }
    return this->appliedBefore;
}

}
