#pragma once

#include "adapters/clock/SteadyClock.h"
#include "adapters/peer/Socket.h"
#include "core/Mutex.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace teaselturn {

/// A pool of workers that wait on one shared epoll instance for sockets and timers. The worker that receives an event
/// runs its handler, so no event is queued for another thread. Models TimerService.
///
/// Sockets are edge-triggered: a handler reads and writes until the socket would block. Two workers may run the handler
/// of one socket at the same time, so handlers must lock the state that they share.
class Reactor {
public:
    using EventHandler = std::function<void(std::uint32_t events)>;
    using TimerHandler = std::function<void(Instant)>;

    /// @param workerCount Number of threads, at least 1. start() starts them.
    explicit Reactor(std::size_t workerCount);
    /// Calls stop().
    ~Reactor();
    Reactor(const Reactor&) = delete;
    Reactor& operator=(const Reactor&) = delete;

    void start();
    /// Stops the workers and waits until running handlers have returned. Must not be called from a handler.
    void stop();

    /// Registers a socket for readability, writability and the end of either direction.
    /// @param handler Called with the epoll events. It stays alive while it runs, even if it is removed meanwhile.
    /// @return The id to pass to remove(), or zero if the socket could not be registered.
    std::uint64_t add(const FileDescriptor& socket, EventHandler handler);
    /// Removes the registration. The socket may be closed afterwards.
    void remove(const FileDescriptor& socket, std::uint64_t id);

    TimerId every(Duration interval, TimerHandler handler);
    TimerId after(Duration delay, TimerHandler handler);
    void cancel(TimerId id);

    Instant now() const noexcept { return this->clock.now(); }

private:
    struct Subscription {
        TimerId id;
        /// Zero for a one-shot timer.
        Duration interval {};
        std::shared_ptr<TimerHandler> handler;
    };

    TimerId subscribe(Duration delay, Duration interval, TimerHandler handler);
    void wake();
    void run();
    int waitTimeout();
    void runDueTimers();
    void dispatch(std::uint64_t id, std::uint32_t events);

    const std::size_t workerCount;
    SteadyClock clock;
    FileDescriptor epoll;
    FileDescriptor wakeUp;
    std::atomic<bool> isStopping { false };

    Mutex mutex;
    std::uint64_t lastId ABSL_GUARDED_BY(mutex) {};
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<EventHandler>> handlers ABSL_GUARDED_BY(mutex);
    std::multimap<Instant, Subscription> timers ABSL_GUARDED_BY(mutex);
    std::vector<std::thread> workers;
};

}
