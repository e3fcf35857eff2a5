#pragma once

#include "core/Mutex.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace teaselturn {

/// A fixed number of worker threads with one bounded queue. Idle workers wait on a condition variable.
class WorkerPool {
public:
    using Task = std::function<void()>;

    /// @param workerCount Number of threads.
    /// @param queueLimit Maximum number of queued tasks.
    WorkerPool(std::size_t workerCount, std::size_t queueLimit);
    /// Calls stop().
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// Queues a task.
    /// @return False if the queue is full or the pool is stopping; the task is not run then.
    [[nodiscard]] bool submit(Task task);

    /// Refuses new tasks, runs the queued ones and joins the threads.
    void stop();

    /// @return The number of queued tasks.
    std::size_t queueLength();

private:
    void run();

    const std::size_t queueLimit;
    Mutex mutex;
    ConditionVariable queueChanged;
    bool isStopping ABSL_GUARDED_BY(mutex) {};
    std::deque<Task> queue ABSL_GUARDED_BY(mutex);
    std::vector<std::thread> threads;
};

}
