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

/// Timer service with one thread that waits until the next subscription is due. Models TimerService.
/// Callbacks run one after another on that thread and must not block; longer work goes to the worker pool.
class ThreadTimerService {
public:
    using Callback = std::function<void(Instant)>;

    ThreadTimerService();
    /// Stops the thread. No callback runs afterwards.
    ~ThreadTimerService();
    ThreadTimerService(const ThreadTimerService&) = delete;
    ThreadTimerService& operator=(const ThreadTimerService&) = delete;

    /// Calls back at each interval, first after one interval. A late call does not make up for missed ones.
    TimerId every(Duration interval, Callback callback);

    /// Calls back once after a delay.
    TimerId after(Duration delay, Callback callback);

    /// Ends a subscription. A callback that is runningId at the moment finishes.
    void cancel(TimerId id);

    Instant now() const noexcept { return this->clock.now(); }

private:
    struct Subscription {
        TimerId id;
        /// Zero for a single call.
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
