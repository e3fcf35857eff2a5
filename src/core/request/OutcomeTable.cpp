#include "core/request/OutcomeTable.h"

#include <algorithm>
#include <utility>

namespace teaselturn {

OutcomeTable::OutcomeTable(std::size_t capacity)
    : capacity(capacity)
{
}

void OutcomeTable::expire(Instant now)
{
    while (!this->finished.empty() && now - this->finished.front().at >= outcomeRetention) {
        this->removeOldest();
    }
}

void OutcomeTable::removeOldest()
{
    const auto found = this->ids.find(this->finished.front().requestId);
    this->storedBytes -= found->second->body.size();
    this->ids.erase(found);
    this->finished.pop_front();
}

OutcomeLookup OutcomeTable::begin(Instant now, std::string_view requestId)
{
    this->expire(now);
    if (const auto found = this->ids.find(requestId); found != this->ids.end()) {
        return { found->second ? OutcomeLookup::Kind::Finished : OutcomeLookup::Kind::InProgress, found->second };
    }
    if (this->ids.size() >= this->capacity) {
        if (this->finished.empty()) {
            return { OutcomeLookup::Kind::Full, nullptr };
        }
        this->removeOldest();
        ++this->evictions;
    }
    this->ids.emplace(requestId, nullptr);
    return { OutcomeLookup::Kind::New, nullptr };
}

void OutcomeTable::finish(Instant now, std::string_view requestId, RecordedOutcome outcome)
{
    const auto found = this->ids.find(requestId);
    if (found == this->ids.end() || found->second) {
        return;
    }
    if (outcome.body.size() > std::min(maxStoredBodyBytes, maxStoredBytes - this->storedBytes)) {
        outcome.body = {};
        outcome.isBodyStored = false;
    }
    this->storedBytes += outcome.body.size();
    found->second = std::make_shared<const RecordedOutcome>(std::move(outcome));
    this->finished.push_back({ now, std::string { requestId } });
}

}
