#pragma once

#include "teaselturn/Types.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace teaselturn::model {

/// The simulated clock. Events run in order of time, and those of one instant in the order in which they were added.
class EventQueue {
public:
    Instant now() const noexcept { return this->clock; }

    void at(Instant time, std::function<void()> action) { this->events.push({ std::max(time, this->clock), ++this->lastNumber, std::move(action) }); }
    void after(Duration delay, std::function<void()> action) { this->at(this->clock + delay, std::move(action)); }

    /// Runs every event up to the instant.
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
