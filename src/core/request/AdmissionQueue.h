#pragma once

#include "teaselturn/Types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace teaselturn {

/// A request that asks for a place.
struct AdmissionRequest {
    /// Larger numbers go first.
    std::uint8_t priority {};
    /// Hash of the customer's name. Requests without a customer share one turn.
    std::uint64_t customer {};
    Instant deadline;
};

/// How fast places come free at present.
struct AdmissionRate {
    /// Mean time between two places that come free.
    Duration perPlace {};
    /// Time that an admitted request takes.
    Duration latency {};
};

/// Requests that wait for a place: by priority, within a priority each customer in turn by virtual time, within a
/// customer in order of arrival. A request whose deadline cannot be met at the present rate is shed. Deterministic; not
/// thread-safe. Memory is bounded by the capacity.
class AdmissionQueue {
public:
    using Ticket = std::uint64_t;

    enum class Verdict : std::uint8_t {
        Queued,
        /// Every place in the queue is held by a request that goes first.
        Full,
        TooLate,
    };

    struct Joined {
        Verdict verdict {};
        /// Valid where queued.
        Ticket ticket {};
        /// The request that lost its place in a full queue to this one. It has not run.
        std::optional<Ticket> displaced;
    };

    struct Turn {
        Ticket ticket {};
        /// False where the request must be shed, as not run; the place stays free.
        bool canMeetDeadline {};
    };

    /// @param capacity Most requests that wait at a time.
    explicit AdmissionQueue(std::size_t capacity);

    /// Queues a request unless its deadline cannot be met.
    Joined enqueue(Instant now, const AdmissionRequest& request, AdmissionRate rate);

    /// Takes out the request whose turn it is.
    /// @return Nothing where none waits.
    std::optional<Turn> dequeue(Instant now, AdmissionRate rate);

    /// Takes out a request that waits no longer.
    /// @return False where it is not in the queue.
    bool remove(Ticket ticket);

    std::size_t size() const noexcept { return this->waiters.size(); }

private:
    struct Waiter {
        AdmissionRequest request;
        std::uint64_t turn {};
        Ticket ticket {};
    };
    /// Virtual time of a priority that has waiters: the turn last served.
    struct PriorityClock {
        std::uint8_t priority {};
        std::uint64_t turn {};
    };
    /// The turn that a customer served in the present virtual time gets next. Without it, a customer with one request
    /// after the other would always go before one with several waiting.
    struct NextTurn {
        std::uint8_t priority {};
        std::uint64_t customer {};
        std::uint64_t turn {};
    };

    static bool goesBefore(const Waiter& left, const Waiter& right) noexcept;
    std::uint64_t turnFor(const AdmissionRequest& request) const noexcept;
    std::uint64_t virtualTime(std::uint8_t priority) const noexcept;
    void serve(const Waiter& waiter);
    void forgetIfIdle(std::uint8_t priority);

    const std::size_t capacity;
    Ticket lastTicket {};
    /// In the order of their turns.
    std::vector<Waiter> waiters;
    std::vector<PriorityClock> clocks;
    std::vector<NextTurn> nextTurns;
};

}
