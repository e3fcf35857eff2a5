#include "adapters/threads/WorkerPool.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <latch>

using teaselturn::WorkerPool;

TEST_CASE("worker pool finishes queued tasks on stop", "[threads]")
{
    // Tasks that were accepted must run even if the pool shuts down.
    std::atomic<int> done { 0 };
    WorkerPool pool { 4, 1000 };
    for (int i = 0; i < 500; ++i) {
        REQUIRE(pool.submit([&done] { done.fetch_add(1); }));
    }
    pool.stop();
    CHECK(done.load() == 500);
    CHECK_FALSE(pool.submit([] {}));
}

TEST_CASE("worker pool refuses tasks beyond its queue limit", "[threads]")
{
    // An unbounded queue would exhaust memory under overload.
    std::latch started { 1 };
    std::latch release { 1 };
    WorkerPool pool { 1, 2 };
    REQUIRE(pool.submit([&] {
        started.count_down();
        release.wait();
    }));
    started.wait();
    CHECK(pool.submit([] {}));
    CHECK(pool.submit([] {}));
    CHECK_FALSE(pool.submit([] {}));
    release.count_down();
}
