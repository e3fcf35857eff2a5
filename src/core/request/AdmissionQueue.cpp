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
    return left.turn != right.turn ? left.turn < right.turn : left.ticket < right.ticket;
}

std::uint64_t AdmissionQueue::virtualTime(std::uint8_t priority) const noexcept
{
    const auto found = std::find_if(this->clocks.begin(), this->clocks.end(),
        [priority](const PriorityClock& clock) { return clock.priority == priority; });
    return found == this->clocks.end() ? 0 : found->turn;
}

std::uint64_t AdmissionQueue::turnFor(const AdmissionRequest& request) const noexcept
{
    auto turn = this->virtualTime(request.priority);
    for (const auto& next : this->nextTurns) {
        if (next.priority == request.priority && next.customer == request.customer) {
            turn = std::max(turn, next.turn);
        }
    }
    for (const auto& waiter : this->waiters) {
        if (waiter.request.priority == request.priority && waiter.request.customer == request.customer) {
            turn = std::max(turn, waiter.turn + 1);
        }
    }
    return turn;
}

AdmissionQueue::Joined AdmissionQueue::enqueue(Instant now, const AdmissionRequest& request, AdmissionRate rate)
{
    const Waiter waiter { request, this->turnFor(request), this->lastTicket + 1 };
    const auto position = std::upper_bound(this->waiters.begin(), this->waiters.end(), waiter, goesBefore);
    const auto placesNeeded = position - this->waiters.begin() + 1;
    if (now + rate.perPlace * placesNeeded + rate.latency >= request.deadline) {
        return { Verdict::TooLate, {}, {} };
    }
    if (this->waiters.size() >= this->capacity && position == this->waiters.end()) {
        return { Verdict::Full, {}, {} };
    }
    Joined joined { Verdict::Queued, ++this->lastTicket, {} };
    const auto index = position - this->waiters.begin();
    if (this->waiters.size() >= this->capacity) {
        const auto last = this->waiters.back();
        this->waiters.pop_back();
        joined.displaced = last.ticket;
        this->waiters.insert(this->waiters.begin() + index, waiter);
        this->forgetIfIdle(last.request.priority);
    } else {
        this->waiters.insert(this->waiters.begin() + index, waiter);
    }
    return joined;
}

std::optional<AdmissionQueue::Turn> AdmissionQueue::dequeue(Instant now, AdmissionRate rate)
{
    if (this->waiters.empty()) {
        return std::nullopt;
    }
    const auto waiter = this->waiters.front();
    this->waiters.erase(this->waiters.begin());
    const bool canMeetDeadline = now + rate.latency < waiter.request.deadline;
    if (canMeetDeadline) {
        this->serve(waiter);
    }
    this->forgetIfIdle(waiter.request.priority);
    return Turn { waiter.ticket, canMeetDeadline };
}

void AdmissionQueue::serve(const Waiter& waiter)
{
    const auto priority = waiter.request.priority;
    const auto clock = std::find_if(this->clocks.begin(), this->clocks.end(),
        [priority](const PriorityClock& other) { return other.priority == priority; });
    if (clock == this->clocks.end()) {
        this->clocks.push_back({ priority, waiter.turn });
    } else {
        clock->turn = waiter.turn;
    }
    std::erase_if(this->nextTurns, [&](const NextTurn& next) {
        return next.priority == priority
            && (next.turn <= waiter.turn || next.customer == waiter.request.customer);
    });
    if (this->nextTurns.size() >= this->capacity) {
        // Costs the others at most one turn of the customer forgotten.
        this->nextTurns.erase(this->nextTurns.begin());
    }
    this->nextTurns.push_back({ priority, waiter.request.customer, waiter.turn + 1 });
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
    this->forgetIfIdle(priority);
    return true;
}

void AdmissionQueue::forgetIfIdle(std::uint8_t priority)
{
    if (std::any_of(this->waiters.begin(), this->waiters.end(),
            [priority](const Waiter& waiter) { return waiter.request.priority == priority; })) {
        return;
    }
    std::erase_if(this->clocks, [priority](const PriorityClock& clock) { return clock.priority == priority; });
    std::erase_if(this->nextTurns, [priority](const NextTurn& next) { return next.priority == priority; });
}

}
