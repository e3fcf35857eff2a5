#pragma once

#include "teaselturn/Types.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace teaselturn::model {

/// A simulated clock with its pending events. Events run in order of time; events of the same instant run in the order of
/// insertion.
class EventQueue {
public:
    Instant now() const noexcept { return this->clock; }

    void at(Instant time, std::function<void()> action) { this->events.push({ std::max(time, this->clock), ++this->lastNumber, std::move(action) }); }
    void after(Duration delay, std::function<void()> action) { this->at(this->clock + delay, std::move(action)); }

    /// Runs every event up to and including `end` and sets the clock to `end`.
    void runUntil(Instant end)
    {
        while (!this->events.empty() && this->events.top().time <= end) {
            auto action = this->events.top().action;
            this->clock = this->events.top().time;
            this->events.pop();
            action();
        }
        this->clock = end;
    }

private:
    struct Event {
        Instant time;
        std::uint64_t number {};
        std::function<void()> action;

        friend bool operator>(const Event& left, const Event& right) noexcept { return std::pair { left.time, left.number } > std::pair { right.time, right.number }; }
    };

    Instant clock { std::chrono::seconds { 1'000 } };
    std::uint64_t lastNumber {};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};

}
