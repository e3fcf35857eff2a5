#include "core/ownership/SettledIndex.h"

namespace teaselturn {

void SettledIndex::reset(Instant now, LogIndex applied)
{
    this->marks.clear();
    this->settled = {};
    this->recordApplied(now, applied);
}

void SettledIndex::recordApplied(Instant now, LogIndex index)
{
    if (!this->marks.empty() && now < this->marks.back().since + markLength) {
        this->marks.back().until = now;
        this->marks.back().index = index;
        return;
    }
    this->marks.push_back({ now, now, index });
}

LogIndex SettledIndex::settledAt(Instant now)
{
    while (!this->marks.empty() && this->marks.front().until + timing::withDrift(timing::delegationLength) <= now) {
        this->settled = this->marks.front().index;
        this->marks.pop_front();
    }
    return this->settled;
}

}
