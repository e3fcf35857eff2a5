#include "adapters/reactor/Reactor.h"

#include "core/Mutex.h"

#include <catch2/catch.hpp>
#include <sys/eventfd.h>
#include <unistd.h>

using namespace teaselturn;
using std::chrono::milliseconds;

namespace {

/// Counts calls and waits for a number of them.
class CallCounter {
public:
    void add()
    {
        const MutexLock lock { this->mutex };
        ++this->count;
        this->changed.notifyAll();
    }

    /// @return False if fewer calls came within ten seconds.
    bool waitFor(int wanted)
    {
        const MutexLock lock { this->mutex };
        const SteadyClock clock;
        const auto end = clock.now() + std::chrono::seconds { 10 };
        while (this->count < wanted && clock.now() < end) {
            this->changed.waitFor(this->mutex, end - clock.now());
        }
        return this->count >= wanted;
    }

private:
    Mutex mutex;
    ConditionVariable changed;
    int count ABSL_GUARDED_BY(mutex) {};
};

}

TEST_CASE("the reactor runs one-shot and periodic timers that are added while it waits")
{
    Reactor reactor { 2 };
    CallCounter single;
    CallCounter repeated;
    CallCounter cancelled;
    reactor.start();
    reactor.after(milliseconds { 1 }, [&](Instant) { single.add(); });
    reactor.every(milliseconds { 1 }, [&](Instant) { repeated.add(); });
    const auto id = reactor.after(std::chrono::hours { 1 }, [&](Instant) { cancelled.add(); });
    reactor.cancel(id);
    CHECK(single.waitFor(1));
    CHECK(repeated.waitFor(3));
    reactor.stop();
}

TEST_CASE("the reactor reports sockets until they are removed")
{
    Reactor reactor { 2 };
    const FileDescriptor event { eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC) };
    CallCounter calls;
    const auto id = reactor.add(event, [&](std::uint32_t) { calls.add(); });
    REQUIRE(id != 0);
    reactor.start();
    const std::uint64_t one = 1;
    REQUIRE(::write(event.number(), &one, sizeof one) == sizeof one);
    CHECK(calls.waitFor(1));
    reactor.remove(event, id);
    reactor.stop();
}
