#pragma once

#include "adapters/clock/SteadyClock.h"
#include "core/Mutex.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <thread>
#include <utility>

namespace teaselturn {

/// Timer service with one thread that sleeps until the next timer is due. Models TimerService.
/// The thread runs the callbacks one after another. They must not block; long tasks go to the worker pool.
class ThreadTimerService {
public:
    using Callback = std::function<void(Instant)>;

    ThreadTimerService();
    /// Stops the thread. No callback runs afterwards.
    ~ThreadTimerService();
    ThreadTimerService(const ThreadTimerService&) = delete;
    ThreadTimerService& operator=(const ThreadTimerService&) = delete;

    /// Runs the callback periodically, first after one interval. Missed calls are skipped, not made up for.
    TimerId every(Duration interval, Callback callback);

    /// Runs the callback once after a delay.
    TimerId after(Duration delay, Callback callback);

    /// Cancels a timer. A callback that is already running finishes.
    void cancel(TimerId id);

    Instant now() const noexcept { return this->clock.now(); }

private:
    struct Subscription {
        TimerId id;
        /// Zero for a one-shot timer.
        Duration interval {};
        Callback callback;
    };

    TimerId add(Duration delay, Duration interval, Callback callback);
    void run();

    SteadyClock clock;
    Mutex mutex;
    ConditionVariable queueChanged;
    bool isStopping ABSL_GUARDED_BY(mutex) {};
    std::uint64_t lastId ABSL_GUARDED_BY(mutex) {};
    TimerId runningId ABSL_GUARDED_BY(mutex) {};
    bool isRunningCancelled ABSL_GUARDED_BY(mutex) {};
    std::multimap<Instant, Subscription> queue ABSL_GUARDED_BY(mutex);
    std::thread thread;
};

}
