#include "core/routing/RouteTable.h"

#include "core/support/OwnershipFixture.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace teaselturn;

namespace {

/// Reads routes on a thread until `isDone` is set. Each route must have existed in the state at some time: an owner
/// with its own fence.
class Reader {
public:
    Reader(const RouteTable& table, const std::atomic<bool>& isDone)
        : thread([this, &table, &isDone] {
            for (int i = 0; !isDone; ++i) {
                const auto service = table.findService("tills");
                const auto route = service ? table.find(*service, "key-" + std::to_string(i % 50)) : std::nullopt;
                if (!route) {
                    continue;
                }
                ++this->found;
                // Upstreams attach first, so a slot's fence is above its owner's id; a torn read would mix two records.
                this->tornReads += route->owner != UpstreamId {} && route->fence.value <= route->owner.value ? 1 : 0;
                if (!route->slot.isHotKey()) {
                    auto& newest = this->newestFences[route->slot.index];
                    this->fenceRegressions += route->fence < newest ? 1 : 0;
                    newest = route->fence;
                }
            }
        })
    {
    }
    ~Reader() { this->join(); }
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    void join()
    {
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    std::atomic<std::uint64_t> found { 0 };
    std::uint64_t tornReads {};
    std::uint64_t fenceRegressions {};

private:
    std::array<Fence, fixturePartitions> newestFences {};
    std::thread thread;
};

}

TEST_CASE("readers of the route table see consistent routes and no decreasing fence while one thread applies entries")
{
    // Guards against torn reads of a route and against a request sent with a fence that was already replaced.
    OwnershipFixture fixture;
    RouteTable table;
    fixture.onApplied = [&](const LogEntry& entry) { table.update(fixture.state, entry, wcape); };
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    const std::vector<ApplyOutcome> upstreams { fixture.attach("a", tills), fixture.attach("b", tills) };
    fixture.assignAll(tills, upstreams[0].upstream);
    std::atomic<bool> isDone { false };
    Reader first { table, isDone };
    Reader second { table, isDone };
    std::uint64_t version = 1;
    for (std::uint32_t i = 0; i < 2'000 || first.found < 1'000 || second.found < 1'000; ++i) {
        const SlotId slot { tills, i % fixturePartitions };
        const auto owner = fixture.state.findSlot(slot)->owner;
        const auto& from = owner == upstreams[0].upstream ? upstreams[0] : upstreams[1];
        const auto& to = owner == upstreams[0].upstream ? upstreams[1] : upstreams[0];
        fixture.move(slot, to.upstream);
        fixture.release(from, slot);
        if (i % 100 == 0) {
            fixture.apply(IsolateHotKey { tills, "key-7" });
            fixture.apply(AcceptBundle { fixture.bundle(++version) });
        } else if (const auto* hotKey = fixture.state.findHotKey(tills, "key-7")) {
            fixture.apply(MergeHotKey { hotKey->slot });
        }
    }
    isDone = true;
    first.join();
    second.join();
    CHECK(first.tornReads + second.tornReads == 0);
    CHECK(first.fenceRegressions + second.fenceRegressions == 0);
}
