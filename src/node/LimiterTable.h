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
    /// No slot became free within the longest wait; look up the route again.
    Waited,
};

/// Limiter, breaker and waiting requests of each upstream, and the retry budget of each service. Shared by all workers;
/// its mutex is LimiterTable in the lock order.
/// @tparam Clock Reads the time after a wait.
template <Clock ClockType>
class LimiterTable {
public:
    /// @param maxWaiting Maximum number of requests that wait for a slot of one upstream.
    explicit LimiterTable(const ClockType& clock, std::uint32_t maxWaiting = 64)
        : clock(clock)
        , maxWaiting(maxWaiting)
    {
    }

    /// Acquires a request slot of an upstream. Waits in AdmissionQueue order until the deadline or for the longest wait,
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
        const auto joined = entry.queue.enqueue(now, request, entry.rate());
        if (joined.verdict != AdmissionQueue::Verdict::Queued) {
            return Admission::Shed;
        }
        if (joined.displaced) {
            entry.tell(*joined.displaced, Admission::Shed);
        }
        return this->wait(entry, joined.ticket, std::min(request.deadline, now + longestWait));
    }

    /// Releases a slot and records how the attempt ended.
    enum class Health : std::uint8_t {
        /// The upstream sent a response or refused the request.
        Responds,
        Fails,
        /// The attempt was not made, or its end says nothing about the upstream.
        Ignored,
    };

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

    /// Counts a request of a service for its retry budget.
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
    void forgetUnused(Instant now)
    {
        const MutexLock lock { this->mutex };
        absl::erase_if(this->upstreams, [now](const auto& item) {
            const auto& entry = *item.second;
            return entry.queue.size() == 0 && entry.limiter.inFlight() == 0 && now - entry.lastUsed > unusedTime;
        });
    }

private:
    static constexpr std::chrono::minutes unusedTime { 1 };
    /// An unresponsive upstream keeps its request slots occupied while its routing slots move to another upstream.
    static constexpr std::chrono::milliseconds longestWait { 50 };

    /// A worker that waits for its turn. It lives on the stack of acquire() while its ticket is in the entry.
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

        void tell(AdmissionQueue::Ticket ticket, Admission verdict)
        {
            const auto found = this->waiters.find(ticket);
            found->second->verdict = verdict;
            found->second->changed.notifyOne();
            this->waiters.erase(found);
        }

        ConcurrencyLimiter limiter;
        CircuitBreaker breaker;
        AdmissionQueue queue;
        /// One for each ticket in the queue.
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
                return Admission::Waited;
            }
            waiter.changed.waitFor(this->mutex, remaining);
        }
        return *waiter.verdict;
    }

    /// Gives free places to those that wait. Each place is taken here for its worker, so that none that arrives before
    /// the worker runs can take it.
    static void admitWaiting(Entry& entry, Instant now)
    {
        while (entry.queue.size() > 0) {
            if (!entry.breaker.tryAcquire(now)) {
                tellNext(entry, now, Admission::CircuitOpen);
                continue;
            }
            if (!entry.limiter.tryAcquire()) {
                entry.breaker.cancelAttempt(now);
                return;
            }
            if (!tellNext(entry, now, Admission::Granted)) {
                entry.limiter.release(now, LimiterSample::Ignored, {});
                entry.breaker.cancelAttempt(now);
            }
        }
    }

    /// @return False where the request whose turn it was cannot meet its deadline, and was shed.
    static bool tellNext(Entry& entry, Instant now, Admission verdict)
    {
        const auto turn = entry.queue.dequeue(now, entry.rate());
        entry.tell(turn->ticket, turn->canMeetDeadline ? verdict : Admission::Shed);
        return turn->canMeetDeadline;
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
