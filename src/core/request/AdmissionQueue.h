#pragma once

#include "teaselturn/Types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace teaselturn {

/// A request that needs a permit of the concurrency limiter.
struct AdmissionRequest {
    /// Requests with a larger number are admitted first.
    std::uint8_t priority {};
    /// Hash of the customer's name. Requests without a customer are queued as one customer.
    std::uint64_t customer {};
    Instant deadline;
};

/// The present rate of admission.
struct AdmissionRate {
    /// Mean time between two permits that become available.
    Duration permitInterval {};
    /// Expected time from admission to response.
    Duration latency {};
};

/// Bounded queue of requests that wait for a permit. Requests are ordered by priority; customers of the same priority
/// are served round robin by start-time fair queuing, and requests of one customer in order of arrival. The queue sheds
/// a request if its deadline cannot be met at the present rate. Deterministic; not thread-safe. Memory is bounded by
/// the capacity.
class AdmissionQueue {
public:
    using Ticket = std::uint64_t;

    enum class Verdict : std::uint8_t {
        Queued,
        /// The queue is full of requests that go before this one.
        Full,
        /// The deadline cannot be met at the present rate.
        TooLate,
    };

    struct EnqueueResult {
        Verdict verdict {};
        /// Set if the verdict is Queued.
        Ticket ticket {};
        /// The request that was removed from a full queue to make room for this one. It has not run.
        std::optional<Ticket> displaced;
    };

    struct DequeuedRequest {
        Ticket ticket {};
        /// False if the request must be shed and reported as not run; it uses no permit.
        bool canMeetDeadline {};
    };

    /// @param capacity Maximum number of waiting requests.
    explicit AdmissionQueue(std::size_t capacity);

    /// Adds a request unless its deadline cannot be met or the queue is full of requests that go before it.
    EnqueueResult enqueue(Instant now, const AdmissionRequest& request, AdmissionRate rate);

    /// Removes and returns the first request in the queue.
    /// @return The next request; empty if the queue is empty.
    std::optional<DequeuedRequest> dequeue(Instant now, AdmissionRate rate);

    /// Removes a request that was cancelled.
    /// @return False if it is not in the queue.
    bool remove(Ticket ticket);

    std::size_t size() const noexcept { return this->waiters.size(); }

private:
    struct Waiter {
        AdmissionRequest request;
        std::uint64_t startTag {};
        Ticket ticket {};
    };
    /// Virtual time of a priority that has waiters: the start tag of the request admitted last.
    struct PriorityClock {
        std::uint8_t priority {};
        std::uint64_t virtualTime {};
    };
    /// Lowest start tag of the next request of a customer that was served at the present virtual time. Without it, a
    /// customer that sends one request at a time would always go before a customer with several waiting requests.
    struct NextStartTag {
        std::uint8_t priority {};
        std::uint64_t customer {};
        std::uint64_t startTag {};
    };

    static bool goesBefore(const Waiter& left, const Waiter& right) noexcept;
    std::uint64_t startTagFor(const AdmissionRequest& request) const noexcept;
    std::uint64_t virtualTime(std::uint8_t priority) const noexcept;
    void advanceVirtualTime(const Waiter& waiter);
    void clearUnusedPriority(std::uint8_t priority);

    const std::size_t capacity;
    Ticket lastTicket {};
    /// In the order of admission.
    std::vector<Waiter> waiters;
    std::vector<PriorityClock> clocks;
    std::vector<NextStartTag> nextStartTags;
};

}
