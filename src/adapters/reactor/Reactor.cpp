#include "adapters/reactor/Reactor.h"

#include <algorithm>
#include <array>
#include <limits>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace teaselturn {

namespace {

    /// Event id of the wake-up descriptor. Ids of sockets are greater.
    constexpr std::uint64_t wakeUpId = 0;
    constexpr std::size_t eventsPerWait = 64;

    /// Reactor whose worker runs on the current thread, or nullptr. A worker that adds a timer needs no wake-up,
    /// because it computes its wait timeout before it waits again.
    thread_local const Reactor* currentReactor = nullptr;

}

Reactor::Reactor(std::size_t workerCount)
    : workerCount(std::max<std::size_t>(1, workerCount))
    , epoll(epoll_create1(EPOLL_CLOEXEC))
    , wakeUp(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.u64 = wakeUpId;
    epoll_ctl(this->epoll.number(), EPOLL_CTL_ADD, this->wakeUp.number(), &event);
}

Reactor::~Reactor()
{
    this->stop();
}

void Reactor::start()
{
    for (std::size_t i = 0; i < this->workerCount; ++i) {
        this->workers.emplace_back([this] { this->run(); });
    }
}

void Reactor::stop()
{
    this->isStopping = true;
    this->wake();
    for (auto& worker : this->workers) {
        worker.join();
    }
    this->workers.clear();
}

void Reactor::wake()
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is full; a worker has been woken in that case.
    static_cast<void>(::write(this->wakeUp.number(), &one, sizeof one));
}

std::uint64_t Reactor::add(const FileDescriptor& socket, EventHandler handler)
{
    std::uint64_t id = 0;
    {
        const MutexLock lock { this->mutex };
        id = ++this->lastId;
        this->handlers.emplace(id, std::make_shared<EventHandler>(std::move(handler)));
    }
    epoll_event event {};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.u64 = id;
    if (epoll_ctl(this->epoll.number(), EPOLL_CTL_ADD, socket.number(), &event) != 0) {
        const MutexLock lock { this->mutex };
        this->handlers.erase(id);
        return 0;
    }
    return id;
}

void Reactor::remove(const FileDescriptor& socket, std::uint64_t id)
{
    std::shared_ptr<EventHandler> removed;
    {
        const MutexLock lock { this->mutex };
        const auto found = this->handlers.find(id);
        if (found == this->handlers.end()) {
            return;
        }
        removed = std::move(found->second);
        this->handlers.erase(found);
    }
    epoll_ctl(this->epoll.number(), EPOLL_CTL_DEL, socket.number(), nullptr);
}

TimerId Reactor::subscribe(Duration delay, Duration interval, TimerHandler handler)
{
    const auto due = this->clock.now() + delay;
    bool isEarliest = false;
    TimerId id;
    {
        const MutexLock lock { this->mutex };
        id = TimerId { ++this->lastId };
        isEarliest = this->timers.empty() || due < this->timers.begin()->first;
        this->timers.emplace(due, Subscription { id, interval, std::make_shared<TimerHandler>(std::move(handler)) });
    }
    if (isEarliest && currentReactor != this) {
        this->wake();
    }
    return id;
}

TimerId Reactor::every(Duration interval, TimerHandler handler)
{
    return this->subscribe(interval, interval, std::move(handler));
}

TimerId Reactor::after(Duration delay, TimerHandler handler)
{
    return this->subscribe(delay, Duration::zero(), std::move(handler));
}

void Reactor::cancel(TimerId id)
{
    const MutexLock lock { this->mutex };
    const auto found = std::ranges::find_if(this->timers, [id](const auto& timer) { return timer.second.id == id; });
    if (found != this->timers.end()) {
        this->timers.erase(found);
    }
}

/// @return Milliseconds until the next timer is due, or -1 without timers. Rounded up so that a worker does not wake
/// too early.
int Reactor::waitTimeout()
{
    const MutexLock lock { this->mutex };
    if (this->timers.empty()) {
        return -1;
    }
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(this->timers.begin()->first - this->clock.now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(remaining, 0, std::numeric_limits<int>::max()));
}

void Reactor::runDueTimers()
{
    const auto now = this->clock.now();
    while (true) {
        Subscription due;
        {
            const MutexLock lock { this->mutex };
            if (this->timers.empty() || this->timers.begin()->first > now) {
                return;
            }
            due = this->timers.begin()->second;
            this->timers.erase(this->timers.begin());
            if (due.interval > Duration::zero()) {
                this->timers.emplace(now + due.interval, due);
            }
        }
        (*due.handler)(now);
    }
}

void Reactor::dispatch(std::uint64_t id, std::uint32_t events)
{
    std::shared_ptr<EventHandler> handler;
    {
        const MutexLock lock { this->mutex };
        const auto found = this->handlers.find(id);
        if (found == this->handlers.end()) {
            return;
        }
        handler = found->second;
    }
    (*handler)(events);
}

void Reactor::run()
{
    currentReactor = this;
    std::array<epoll_event, eventsPerWait> readyEvents {};
    while (!this->isStopping) {
        const auto count = epoll_wait(this->epoll.number(), readyEvents.data(), readyEvents.size(), this->waitTimeout());
        for (int i = 0; i < count; ++i) {
            const auto& event = readyEvents[static_cast<std::size_t>(i)];
            if (event.data.u64 != wakeUpId) {
                this->dispatch(event.data.u64, event.events);
                continue;
            }
            if (!this->isStopping) {
                // The counter is not reset while the reactor stops, so that every worker wakes up.
                std::uint64_t wakeUps = 0;
                static_cast<void>(::read(this->wakeUp.number(), &wakeUps, sizeof wakeUps));
            }
        }
        this->runDueTimers();
    }
    currentReactor = nullptr;
}

static_assert(TimerService<Reactor>);

}
