#pragma once

#include "core/Mutex.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace teaselturn {

/// A fixed number of worker threads over one bounded queue. Idle workerCount wait on a condition variable.
class WorkerPool {
public:
    using Task = std::function<void()>;

    /// @param workerCount Number of threads.
    /// @param queueLimit Most tasks that wait for a worker.
    WorkerPool(std::size_t workerCount, std::size_t queueLimit);
    /// Finishes the queued tasks and stops.
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// Queues a task.
    /// @return False where the queue is full or the pool is stopping; the task is then not run.
    [[nodiscard]] bool submit(Task task);

    /// Takes no more tasks, finishes the queued ones and joins the threads.
    void stop();

    /// @return The number of tasks waiting for a worker.
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
