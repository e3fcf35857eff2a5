#include "core/request/AdmissionQueue.h"

#include <algorithm>

namespace teaselturn {

AdmissionQueue::AdmissionQueue(std::size_t capacity)
    : capacity(capacity)
{
    this->waiters.reserve(capacity);
}

bool AdmissionQueue::goesBefore(const Waiter& left, const Waiter& right) noexcept
{
    if (left.request.priority != right.request.priority) {
        return left.request.priority > right.request.priority;
    }
    return left.startTag != right.startTag ? left.startTag < right.startTag : left.ticket < right.ticket;
}

std::uint64_t AdmissionQueue::virtualTime(std::uint8_t priority) const noexcept
{
    const auto found = std::find_if(this->clocks.begin(), this->clocks.end(),
        [priority](const PriorityClock& clock) { return clock.priority == priority; });
    return found == this->clocks.end() ? 0 : found->virtualTime;
}

std::uint64_t AdmissionQueue::startTagFor(const AdmissionRequest& request) const noexcept
{
    auto startTag = this->virtualTime(request.priority);
    for (const auto& next : this->nextStartTags) {
        if (next.priority == request.priority && next.customer == request.customer) {
            startTag = std::max(startTag, next.startTag);
        }
    }
    for (const auto& waiter : this->waiters) {
        if (waiter.request.priority == request.priority && waiter.request.customer == request.customer) {
            startTag = std::max(startTag, waiter.startTag + 1);
        }
    }
    return startTag;
}

AdmissionQueue::EnqueueResult AdmissionQueue::enqueue(Instant now, const AdmissionRequest& request, AdmissionRate rate)
{
    const Waiter waiter { request, this->startTagFor(request), this->lastTicket + 1 };
    const auto position = std::upper_bound(this->waiters.begin(), this->waiters.end(), waiter, goesBefore);
    const auto permitsNeeded = position - this->waiters.begin() + 1;
    if (now + rate.permitInterval * permitsNeeded + rate.latency >= request.deadline) {
        return { Verdict::TooLate, {}, {} };
    }
    if (this->waiters.size() >= this->capacity && position == this->waiters.end()) {
        return { Verdict::Full, {}, {} };
    }
    EnqueueResult result { Verdict::Queued, ++this->lastTicket, {} };
    const auto index = position - this->waiters.begin();
    if (this->waiters.size() >= this->capacity) {
        const auto last = this->waiters.back();
        this->waiters.pop_back();
        result.displaced = last.ticket;
        this->waiters.insert(this->waiters.begin() + index, waiter);
        this->clearUnusedPriority(last.request.priority);
    } else {
        this->waiters.insert(this->waiters.begin() + index, waiter);
    }
    return result;
}

std::optional<AdmissionQueue::DequeuedRequest> AdmissionQueue::dequeue(Instant now, AdmissionRate rate)
{
    if (this->waiters.empty()) {
        return std::nullopt;
    }
    const auto waiter = this->waiters.front();
    this->waiters.erase(this->waiters.begin());
    const bool canMeetDeadline = now + rate.latency < waiter.request.deadline;
    if (canMeetDeadline) {
        this->advanceVirtualTime(waiter);
    }
    this->clearUnusedPriority(waiter.request.priority);
    return DequeuedRequest { waiter.ticket, canMeetDeadline };
}

void AdmissionQueue::advanceVirtualTime(const Waiter& waiter)
{
    const auto priority = waiter.request.priority;
    const auto clock = std::find_if(this->clocks.begin(), this->clocks.end(),
        [priority](const PriorityClock& other) { return other.priority == priority; });
    if (clock == this->clocks.end()) {
        this->clocks.push_back({ priority, waiter.startTag });
    } else {
        clock->virtualTime = waiter.startTag;
    }
    std::erase_if(this->nextStartTags, [&](const NextStartTag& next) {
        return next.priority == priority
            && (next.startTag <= waiter.startTag || next.customer == waiter.request.customer);
    });
    if (this->nextStartTags.size() >= this->capacity) {
        // A customer whose start tag is dropped may be served at most one request ahead of its fair share.
        this->nextStartTags.erase(this->nextStartTags.begin());
    }
    this->nextStartTags.push_back({ priority, waiter.request.customer, waiter.startTag + 1 });
}

bool AdmissionQueue::remove(Ticket ticket)
{
    const auto found = std::find_if(this->waiters.begin(), this->waiters.end(),
        [ticket](const Waiter& waiter) { return waiter.ticket == ticket; });
    if (found == this->waiters.end()) {
        return false;
    }
    const auto priority = found->request.priority;
    this->waiters.erase(found);
    this->clearUnusedPriority(priority);
    return true;
}

void AdmissionQueue::clearUnusedPriority(std::uint8_t priority)
{
    if (std::any_of(this->waiters.begin(), this->waiters.end(),
            [priority](const Waiter& waiter) { return waiter.request.priority == priority; })) {
        return;
    }
    std::erase_if(this->clocks, [priority](const PriorityClock& clock) { return clock.priority == priority; });
    std::erase_if(this->nextStartTags, [priority](const NextStartTag& next) { return next.priority == priority; });
}

}
