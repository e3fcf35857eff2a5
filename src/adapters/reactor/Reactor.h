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

/// A pool of workers that wait together in one epoll set for sockets and timers. Each event is handled by the worker
/// that received it, so nothing is handed over between threads. Models TimerService.
///
/// Sockets are watched edge-triggered: a handler reads and writes until the socket would block. Two workers may call
/// the handler of one socket at the same time; handlers lock what they share.
class Reactor {
public:
    using EventHandler = std::function<void(std::uint32_t events)>;
    using TimerHandler = std::function<void(Instant)>;

    /// @param workerCount Threads; at least 1. They start with start().
    explicit Reactor(std::size_t workerCount);
    /// Stops the workers.
    ~Reactor();
    Reactor(const Reactor&) = delete;
    Reactor& operator=(const Reactor&) = delete;

    void start();
    /// Ends the workers after the handlers that run at the moment. Not to be called by a handler.
    void stop();

    /// Watches a socket for reading, writing and the end of either direction.
    /// @param handler Stays alive while it runs, also where it is removed meanwhile.
    /// @return The number to remove it by. Zero where it could not be added.
    std::uint64_t add(const FileDescriptor& socket, EventHandler handler);
    /// Ends the watch. The socket may be closed afterwards.
    void remove(const FileDescriptor& socket, std::uint64_t id);

    TimerId every(Duration interval, TimerHandler handler);
    TimerId after(Duration delay, TimerHandler handler);
    void cancel(TimerId id);

    Instant now() const noexcept { return this->clock.now(); }

private:
    struct Subscription {
        TimerId id;
        /// Zero for a single call.
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
