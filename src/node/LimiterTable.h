#pragma once

#include "core/Mutex.h"
#include "core/request/AdmissionQueue.h"
#include "core/request/CircuitBreaker.h"
#include "core/request/ConcurrencyLimiter.h"
#include "core/request/RetryBudget.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace teaselturn {

/// Result of waiting for a request slot of an upstream.
enum class Admission : std::uint8_t {
    Granted,
    /// The queue is full, or the deadline cannot be met.
    Shed,
    CircuitOpen,
    /// No slot became free within maxWait; look up the route again.
    WaitTimedOut,
};

/// Holds the concurrency limiter, circuit breaker and waiting requests of each upstream, and the retry budget of each
/// service. Shared by all workers; its mutex is LimiterTable in the lock order.
/// @tparam ClockType Clock of all timeouts; read again after each wait.
template <Clock ClockType>
class LimiterTable {
public:
    /// @param maxWaiting Maximum number of requests that wait for a slot of one upstream.
    explicit LimiterTable(const ClockType& clock, std::uint32_t maxWaiting = 64)
        : clock(clock)
        , maxWaiting(maxWaiting)
    {
    }

    /// Acquires a request slot of an upstream. Waits in AdmissionQueue order until the deadline or for maxWait,
    /// whichever is sooner.
    Admission acquire(UpstreamId upstream, UpstreamCapacity capacity, const AdmissionRequest& request)
    {
        const MutexLock lock { this->mutex };
        auto& entry = this->find(upstream, capacity);
        const auto now = this->clock.now();
        entry.lastUsed = now;
        if (!entry.breaker.tryAcquire(now)) {
            return Admission::CircuitOpen;
        }
        if (entry.queue.size() == 0 && entry.limiter.tryAcquire()) {
            return Admission::Granted;
        }
        entry.breaker.cancelAttempt(now);
        const auto queued = entry.queue.enqueue(now, request, entry.rate());
        if (queued.verdict != AdmissionQueue::Verdict::Queued) {
            return Admission::Shed;
        }
        if (queued.displaced) {
            entry.resolve(*queued.displaced, Admission::Shed);
        }
        return this->wait(entry, queued.ticket, std::min(request.deadline, now + maxWait));
    }

    /// What the end of an attempt shows about the upstream.
    enum class Health : std::uint8_t {
        /// The upstream sent a response or refused the request.
        Responds,
        Fails,
        /// The attempt was not made, or its end says nothing about the upstream.
        Ignored,
    };

    /// Releases a slot and records how the attempt ended.
    /// @return True if this opened the circuit.
    bool release(UpstreamId upstream, LimiterSample sample, Duration latency, Health health)
    {
        const MutexLock lock { this->mutex };
        const auto found = this->upstreams.find(upstream);
        if (found == this->upstreams.end()) {
            return false;
        }
        auto& entry = *found->second;
        const auto now = this->clock.now();
        entry.limiter.release(now, sample, latency);
        bool hasOpened = false;
        if (health == Health::Responds) {
            entry.breaker.recordSuccess();
        } else if (health == Health::Fails) {
            hasOpened = entry.breaker.recordFailure(now);
        } else {
            entry.breaker.cancelAttempt(now);
        }
        admitWaiting(entry, now);
        return hasOpened;
    }

    /// Counts a request of a service, which increases its retry budget.
    /// @param percent Retries allowed per hundred requests.
    void countRequest(ServiceId service, std::uint32_t percent)
    {
        const MutexLock lock { this->mutex };
        auto& budget = this->budgets.try_emplace(service, percent).first->second;
        budget.setPercent(percent);
        budget.recordRequest();
    }

    bool tryRetry(ServiceId service)
    {
        const MutexLock lock { this->mutex };
        const auto found = this->budgets.find(service);
        return found != this->budgets.end() && found->second.tryRetry();
    }

    /// @return A typical latency of the upstream; zero if unknown.
    Duration typicalLatency(UpstreamId upstream)
    {
        const MutexLock lock { this->mutex };
        const auto found = this->upstreams.find(upstream);
        return found == this->upstreams.end() ? Duration::zero() : found->second->limiter.typicalLatency();
    }

    /// Removes upstreams without a request for a minute.
    void removeUnused(Instant now)
    {
        const MutexLock lock { this->mutex };
        absl::erase_if(this->upstreams, [now](const auto& item) {
            const auto& entry = *item.second;
            return entry.queue.size() == 0 && entry.limiter.inFlight() == 0 && now - entry.lastUsed > unusedRetention;
        });
    }

private:
    static constexpr std::chrono::minutes unusedRetention { 1 };
    /// An unresponsive upstream keeps its request slots occupied while its routing slots move to another upstream.
    static constexpr std::chrono::milliseconds maxWait { 50 };

    /// A waiting worker. It lives on the stack of wait() while its ticket is in the entry.
    struct Waiter {
        std::optional<Admission> verdict;
        ConditionVariable changed;
    };

    struct Entry {
        Entry(UpstreamCapacity capacity, std::size_t maxWaiting)
            : limiter(capacity)
            , queue(maxWaiting)
        {
        }

        AdmissionRate rate() const noexcept
        {
            const auto latency = this->limiter.typicalLatency();
            return { latency / std::max(1U, this->limiter.currentLimit()), latency };
        }

        void resolve(AdmissionQueue::Ticket ticket, Admission verdict)
        {
            const auto found = this->waiters.find(ticket);
            found->second->verdict = verdict;
            found->second->changed.notifyOne();
            this->waiters.erase(found);
        }

        ConcurrencyLimiter limiter;
        CircuitBreaker breaker;
        AdmissionQueue queue;
        /// One waiter for each ticket in the queue.
        absl::flat_hash_map<AdmissionQueue::Ticket, Waiter*> waiters;
        Instant lastUsed;
    };

    Admission wait(Entry& entry, AdmissionQueue::Ticket ticket, Instant waitEnd) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        Waiter waiter;
        entry.waiters.emplace(ticket, &waiter);
        while (!waiter.verdict) {
            const auto remaining = waitEnd - this->clock.now();
            if (remaining <= Duration::zero()) {
                entry.queue.remove(ticket);
                entry.waiters.erase(ticket);
                return Admission::WaitTimedOut;
            }
            waiter.changed.waitFor(this->mutex, remaining);
        }
        return *waiter.verdict;
    }

    /// Assigns free slots to waiting requests. Acquires each slot on behalf of the waiting worker, so that a request
    /// that arrives before the worker runs cannot take the slot.
    static void admitWaiting(Entry& entry, Instant now)
    {
        while (entry.queue.size() > 0) {
            if (!entry.breaker.tryAcquire(now)) {
                resolveNext(entry, now, Admission::CircuitOpen);
                continue;
            }
            if (!entry.limiter.tryAcquire()) {
                entry.breaker.cancelAttempt(now);
                return;
            }
            if (!resolveNext(entry, now, Admission::Granted)) {
                entry.limiter.release(now, LimiterSample::Ignored, {});
                entry.breaker.cancelAttempt(now);
            }
        }
    }

    /// @return False if the next request could not meet its deadline and was shed.
    static bool resolveNext(Entry& entry, Instant now, Admission verdict)
    {
        const auto next = entry.queue.dequeue(now, entry.rate());
        entry.resolve(next->ticket, next->canMeetDeadline ? verdict : Admission::Shed);
        return next->canMeetDeadline;
    }

    Entry& find(UpstreamId upstream, UpstreamCapacity capacity) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        auto& entry = this->upstreams[upstream];
        if (!entry) {
            entry = std::make_unique<Entry>(capacity, this->maxWaiting);
        }
        entry->limiter.setCapacity(capacity);
        return *entry;
    }

    const ClockType& clock;
    const std::uint32_t maxWaiting;
    Mutex mutex;
    absl::flat_hash_map<UpstreamId, std::unique_ptr<Entry>> upstreams ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<ServiceId, RetryBudget> budgets ABSL_GUARDED_BY(mutex);
};

}
