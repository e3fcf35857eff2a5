#pragma once

#include "core/Mutex.h"
#include "core/request/CircuitBreaker.h"
#include "core/request/ConcurrencyLimiter.h"
#include "core/request/RetryBudget.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <cstdint>
#include <memory>
#include <vector>

namespace teaselturn {

/// What became of a request for a place at an upstream.
enum class Admission : std::uint8_t {
    Granted,
    /// The queue is full, or the deadline cannot be met.
    Shed,
    CircuitOpen,
    /// No place came free for a while; the route should be looked up again.
    Waited,
};

/// Limiter, breaker and waiting requests of each upstream, and the retry budget of each service. Shared by all workers;
/// its mutex is LimiterTable in the lock order.
/// @tparam Clock Reads the time after a wait.
template <Clock ClockType>
class LimiterTable {
public:
    /// @param maxWaiting Most requests that wait for a place at one upstream.
    explicit LimiterTable(const ClockType& clock, std::uint32_t maxWaiting = 64)
        : clock(clock)
        , maxWaiting(maxWaiting)
    {
    }

    /// Takes a place at an upstream; waits for one until the deadline or for the longest wait, whichever is sooner.
    Admission acquire(UpstreamId upstream, UpstreamCapacity capacity, Instant deadline)
    {
        const MutexLock lock { this->mutex };
        auto entry = this->find(upstream, capacity);
        const auto waitEnd = std::min(deadline, this->clock.now() + longestWait);
        while (true) {
            const auto now = this->clock.now();
            entry->lastUsed = now;
            const bool mayPass = entry->breaker.state() == CircuitBreaker::State::Closed;
            if (!mayPass && !entry->breaker.tryAcquire(now)) {
                return Admission::CircuitOpen;
            }
            if (entry->limiter.tryAcquire()) {
                return Admission::Granted;
            }
            entry->breaker.abandoned(now);
            const auto remaining = deadline - now;
            const auto queued = static_cast<std::int64_t>(entry->waiting) + 1;
            const auto expected = entry->limiter.typicalLatency() * queued / std::max(1U, entry->limiter.currentLimit());
            // Shed early: a request that would only time out in the queue takes a place from others.
            if (entry->waiting >= this->maxWaiting || expected >= remaining) {
                return Admission::Shed;
            }
            if (now >= waitEnd) {
                return Admission::Waited;
            }
            ++entry->waiting;
            entry->changed.waitFor(this->mutex, waitEnd - now);
            --entry->waiting;
        }
    }

    /// Returns a place and notes how the attempt ended.
    enum class Health : std::uint8_t {
        /// The upstream answered or refused.
        Responds,
        Fails,
        /// The attempt was not made, or says nothing.
        Ignored,
    };

    /// @return True where the circuit opened by this.
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
            entry.breaker.succeeded();
        } else if (health == Health::Fails) {
            hasOpened = entry.breaker.failed(now);
        } else {
            entry.breaker.abandoned(now);
        }
        if (hasOpened) {
            entry.changed.notifyAll();
        } else {
            entry.changed.notifyOne();
        }
        return hasOpened;
    }

    /// Counts a request of a service for its retry budget.
    void countRequest(ServiceId service, std::uint32_t percent)
    {
        const MutexLock lock { this->mutex };
        auto& budget = this->budgets.try_emplace(service, percent).first->second;
        budget.setPercent(percent);
        budget.request();
    }

    bool tryRetry(ServiceId service)
    {
        const MutexLock lock { this->mutex };
        const auto found = this->budgets.find(service);
        return found != this->budgets.end() && found->second.tryRetry();
    }

    /// @return A typical latency of the upstream; zero where it is not known.
    Duration typicalLatency(UpstreamId upstream)
    {
        const MutexLock lock { this->mutex };
        const auto found = this->upstreams.find(upstream);
        return found == this->upstreams.end() ? Duration::zero() : found->second->limiter.typicalLatency();
    }

    /// Forgets upstreams that have had no request for a minute.
    void forgetUnused(Instant now)
    {
        const MutexLock lock { this->mutex };
        absl::erase_if(this->upstreams, [now](const auto& item) {
            const auto& entry = *item.second;
            return entry.waiting == 0 && entry.limiter.inFlight() == 0 && now - entry.lastUsed > unusedTime;
        });
    }

private:
    static constexpr std::chrono::minutes unusedTime { 1 };
    /// A frozen upstream keeps its places taken while its slots move to another one.
    static constexpr std::chrono::milliseconds longestWait { 50 };

    struct Entry {
        explicit Entry(UpstreamCapacity capacity)
            : limiter(capacity)
        {
        }

        ConcurrencyLimiter limiter;
        CircuitBreaker breaker;
        std::uint32_t waiting {};
        Instant lastUsed;
        ConditionVariable changed;
    };

    Entry* find(UpstreamId upstream, UpstreamCapacity capacity) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        auto& entry = this->upstreams[upstream];
        if (!entry) {
            entry = std::make_unique<Entry>(capacity);
        }
        entry->limiter.setCapacity(capacity);
        return entry.get();
    }

    const ClockType& clock;
    const std::uint32_t maxWaiting;
    Mutex mutex;
    absl::flat_hash_map<UpstreamId, std::unique_ptr<Entry>> upstreams ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<ServiceId, RetryBudget> budgets ABSL_GUARDED_BY(mutex);
};

}
