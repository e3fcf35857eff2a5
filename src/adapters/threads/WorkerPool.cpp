#include "adapters/threads/WorkerPool.h"

#include <utility>

namespace teaselturn {

WorkerPool::WorkerPool(std::size_t workerCount, std::size_t queueLimit)
    : queueLimit(queueLimit)
{
    this->threads.reserve(workerCount);
    for (std::size_t i = 0; i < workerCount; ++i) {
        this->threads.emplace_back([this] { this->run(); });
    }
}

WorkerPool::~WorkerPool()
{
    this->stop();
}

bool WorkerPool::submit(Task task)
{
    {
        const MutexLock lock { this->mutex };
        if (this->isStopping || this->queue.size() >= this->queueLimit) {
            return false;
        }
        this->queue.push_back(std::move(task));
    }
    this->queueChanged.notifyOne();
    return true;
}

void WorkerPool::stop()
{
    {
        const MutexLock lock { this->mutex };
        this->isStopping = true;
    }
    this->queueChanged.notifyAll();
    for (auto& thread : this->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

std::size_t WorkerPool::queueLength()
{
    const MutexLock lock { this->mutex };
    return this->queue.size();
}

void WorkerPool::run()
{
    this->mutex.lock();
    while (true) {
        if (!this->queue.empty()) {
            auto task = std::move(this->queue.front());
            this->queue.pop_front();
            this->mutex.unlock();
            task();
            this->mutex.lock();
        } else if (this->isStopping) {
            break;
        } else {
            this->queueChanged.wait(this->mutex);
        }
    }
    this->mutex.unlock();
}

}
