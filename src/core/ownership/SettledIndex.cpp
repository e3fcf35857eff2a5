#include "core/ownership/SettledIndex.h"

namespace teaselturn {

void SettledIndex::reset(Instant now, LogIndex applied)
{
    this->intervals.clear();
    this->settled = {};
    this->recordApplied(now, applied);
}

void SettledIndex::recordApplied(Instant now, LogIndex index)
{
    if (!this->intervals.empty() && now < this->intervals.back().since + intervalLength) {
        this->intervals.back().until = now;
        this->intervals.back().index = index;
        return;
    }
    this->intervals.push_back({ now, now, index });
}

LogIndex SettledIndex::settledAt(Instant now)
{
    while (!this->intervals.empty() && this->intervals.front().until + timing::withDrift(timing::delegationLength) <= now) {
        this->settled = this->intervals.front().index;
        this->intervals.pop_front();
    }
    return this->settled;
}

}
