#include "adapters/clock/ThreadTimerService.h"

#include <algorithm>

namespace teaselturn {

ThreadTimerService::ThreadTimerService()
    : thread([this] { this->run(); })
{
}

ThreadTimerService::~ThreadTimerService()
{
    {
        const MutexLock lock { this->mutex };
        this->isStopping = true;
    }
    this->queueChanged.notifyAll();
    this->thread.join();
}

TimerId ThreadTimerService::every(Duration interval, Callback callback)
{
    return this->add(interval, interval, std::move(callback));
}

TimerId ThreadTimerService::after(Duration delay, Callback callback)
{
    return this->add(delay, Duration::zero(), std::move(callback));
}

TimerId ThreadTimerService::add(Duration delay, Duration interval, Callback callback)
{
    const auto due = this->clock.now() + delay;
    TimerId id;
    {
        const MutexLock lock { this->mutex };
        id = TimerId { ++this->lastId };
        this->queue.emplace(due, Subscription { id, interval, std::move(callback) });
    }
    this->queueChanged.notifyOne();
    return id;
}

void ThreadTimerService::cancel(TimerId id)
{
    const MutexLock lock { this->mutex };
    if (this->runningId == id) {
        this->isRunningCancelled = true;
    }
    std::erase_if(this->queue, [id](const auto& item) { return item.second.id == id; });
}

void ThreadTimerService::run()
{
    this->mutex.lock();
    while (!this->isStopping) {
        if (this->queue.empty()) {
            this->queueChanged.wait(this->mutex);
            continue;
        }
        const auto now = this->clock.now();
        const auto first = this->queue.begin();
        if (first->first > now) {
            this->queueChanged.waitFor(this->mutex, first->first - now);
            continue;
        }
        auto subscription = std::move(first->second);
        this->queue.erase(first);
        this->runningId = subscription.id;
        this->isRunningCancelled = false;
        this->mutex.unlock();
        subscription.callback(now);
        this->mutex.lock();
        this->runningId = TimerId {};
        if (subscription.interval > Duration::zero() && !this->isRunningCancelled) {
            const auto due = std::max(now + subscription.interval, this->clock.now());
            this->queue.emplace(due, std::move(subscription));
        }
    }
    this->mutex.unlock();
}

}
