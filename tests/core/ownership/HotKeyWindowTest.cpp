#include "core/ownership/HotKeyWindow.h"

#include "core/support/OwnershipFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1h };

struct WindowFixture : OwnershipFixture {
    HotKeyWindow window;

    WindowFixture()
    {
        this->apply(AcceptBundle { this->bundle(1) });
        this->window.reset(start);
    }

    void report(Instant now, std::uint32_t total, const std::vector<HotKeySample>& samples)
    {
        const std::vector<SlotLoad> loads { { { tills, 0 }, total } };
        this->window.add(now, loads, samples);
    }

    std::vector<IsolateHotKey> hot(Instant now) { return this->window.hotKeys(now, this->state); }
};

}

TEST_CASE("a key is hot by its share of its service's requests in the window, and not by a few requests")
{
    WindowFixture fixture;
    fixture.report(start, 999, { { tills, "fabric", 900 } });
    CHECK(fixture.hot(start).empty());
    fixture.report(start + 1s, 1, { { catalogue, "fabric", 900 } });
    CHECK(fixture.hot(start + 1s) == std::vector<IsolateHotKey> { { tills, "fabric" } });
    // Exactly one in 200 is not above the threshold.
    fixture.report(start + 2s, 1'000, { { tills, "thread", 10 }, { tills, "needle", 11 } });
    CHECK(fixture.hot(start + 2s) == std::vector<IsolateHotKey> { { tills, "fabric" }, { tills, "needle" } });
    CHECK(fixture.hot(start + 11s + 500ms) == std::vector<IsolateHotKey> { { tills, "needle" }, { tills, "thread" } });
    CHECK(fixture.hot(start + 1min).empty());
}

TEST_CASE("at most maxIsolatedHotKeys keys are isolated, the most frequent first")
{
    // Guards against many samples filling the state with hot keys.
    WindowFixture fixture;
    std::vector<HotKeySample> samples;
    for (std::uint32_t i = 0; i < 6'000; ++i) {
        samples.push_back({ tills, "key-" + std::to_string(i), 10'000 + i % 4'096 });
    }
    samples.push_back({ tills, std::string(limits::maxKeyBytes + 1, 'k'), 1'000'000 });
    fixture.report(start, 1'000'000, samples);
    const auto hot = fixture.hot(start);
    REQUIRE(hot.size() == maxIsolatedHotKeys);
    CHECK(hot.front().key == "key-4095");
    for (const auto& isolation : hot) {
        fixture.apply(isolation);
    }
    CHECK(fixture.hot(start).empty());
}

TEST_CASE("a new leader merges no hot key before it has data for a whole window")
{
    // Guards against a leader change that merges every hot key into its partition and isolates it again.
    WindowFixture fixture;
    fixture.apply(IsolateHotKey { tills, "fabric" });
    CHECK(fixture.window.coldKeys(start + 10s - 1ns, fixture.state).empty());
    CHECK(fixture.window.coldKeys(start + 10s, fixture.state).size() == 1);
    fixture.report(start + 10s, 10'000, { { tills, "fabric", 10 } });
    CHECK(fixture.window.coldKeys(start + 11s, fixture.state).empty());
    fixture.report(start + 11s, 10'000, {});
    CHECK(fixture.window.coldKeys(start + 11s, fixture.state).size() == 1);
}
