#include "core/dispatch/WarmUpLimit.h"

#include "core/dispatch/WarmUpShare.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <vector>

using namespace teaselturn;
using std::chrono::milliseconds;

namespace {

const Instant begin { std::chrono::seconds { 1'000 } };
constexpr milliseconds warmUpTime { 3'000 };

DispatchOptions options()
{
    DispatchOptions result;
    result.warmUpOverage = 1.5;
    result.warmUpSlack = 8;
    return result;
}

ServiceItem service(std::uint32_t milliRequestsPerSecond)
{
    ServiceItem item;
    item.warmUpTime = warmUpTime;
    item.warmUpMilliRequestsPerSecond = milliRequestsPerSecond;
    return item;
}

double shareOf(std::uint32_t entryCount, std::uint32_t milliRequestsPerSecond)
{
    const auto settings = options();
    WarmUpShare share { settings };
    share.recordEntryCount(entryCount);
    return share.sendsPerSecond(service(milliRequestsPerSecond));
}

WarmUpLimit coldLimit(double rate, double phase)
{
    WarmUpLimit limit;
    limit.begin(begin, begin + warmUpTime, warmUpTime, rate, phase);
    return limit;
}

/// Sends that entry VMs make to one cold upstream, where each has a request waiting at the times that hasRequest accepts.
/// The entry VMs learn of the warm-up up to 100 ms apart.
template <typename HasRequest>
std::vector<double> simulate(std::uint32_t entryCount, double rate, milliseconds time, std::mt19937_64& random, HasRequest hasRequest)
{
    std::uniform_real_distribution<double> phases { 0, 1 };
    std::uniform_int_distribution<int> delays { 0, 100 };
    std::vector<double> sends;
    for (std::uint32_t entry = 0; entry < entryCount; ++entry) {
        WarmUpLimit limit;
        const auto learnedAt = begin + milliseconds { delays(random) };
        limit.begin(learnedAt, learnedAt + warmUpTime, warmUpTime, rate, phases(random));
        for (auto now = learnedAt; now < begin + time;) {
            if (limit.hasRoom(now)) {
                if (hasRequest(now)) {
                    limit.recordSent(now);
                    sends.push_back(std::chrono::duration<double> { now - begin }.count());
                }
                now += milliseconds { 10 };
            } else {
                now = std::max<Instant>(now + milliseconds { 1 }, limit.sendTime(now, 0));
            }
        }
    }
    std::ranges::sort(sends);
    return sends;
}

/// @return The largest number of sends in any second.
std::size_t busiestSecond(const std::vector<double>& sends)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < sends.size(); ++last) {
        while (sends[last] - sends[first] > 1) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

}

TEST_CASE("entry VMs that decide independently stay under the bound of a cold upstream in every second")
{
    // Guards against shares that are right on average only: a cold upstream crashes if one second has too many requests.
    std::mt19937_64 random { 20'261 };
    constexpr int seeds = 300;
    const auto rate = GENERATE(std::uint32_t { 5'200 }, std::uint32_t { 6'100 });
    const auto bound = static_cast<std::size_t>(std::floor(rate / 1'000.0 * 1.5 + 8));
    for (const std::uint32_t entryCount : { 1, 2, 3, 4, 5, 7, 10, 12, 15, 16, 20, 32, 40, 63, 68, 80, 120, 160, 200 }) {
        const auto share = shareOf(entryCount, rate);
        std::size_t most = 0;
        std::size_t total = 0;
        for (int seed = 0; seed < seeds; ++seed) {
            const auto sends = simulate(entryCount, share, warmUpTime, random, [](Instant) { return true; });
            total += sends.size();
            most = std::max(most, busiestSecond(sends));
            // All requests come in bursts every 800 ms, and meet the slots that are still valid.
            const auto isBurst = [](Instant now) { return (now - begin) % milliseconds { 800 } < milliseconds { 40 }; };
            most = std::max(most, busiestSecond(simulate(entryCount, share, warmUpTime, random, isBurst)));
        }
        CAPTURE(entryCount, rate, most, total);
        CHECK(most <= bound);
        // The upstream gets at least a third of what it tolerates.
        CHECK(static_cast<double>(total) >= rate / 1'000.0 / 3 * 3 * seeds);
    }
}

TEST_CASE("a count of entry VMs that is out of date by a fifth does not exceed the bound")
{
    std::mt19937_64 random { 7 };
    for (const std::uint32_t known : { 10, 20, 63, 160 }) {
        std::size_t most = 0;
        for (int seed = 0; seed < 300; ++seed) {
            most = std::max(most, busiestSecond(simulate(known + known / 5, shareOf(known, 5'200), warmUpTime, random, [](Instant) { return true; })));
        }
        CAPTURE(known, most);
        CHECK(most <= 15);
    }
}

TEST_CASE("an entry VM that was idle does not send a burst to a cold upstream")
{
    auto limit = coldLimit(4, 0);
    const auto now = begin + milliseconds { 2'900 };
    std::size_t sends = 0;
    while (sends < 10 && limit.hasRoom(now)) {
        limit.recordSent(now);
        ++sends;
    }
    CHECK(sends <= 1);
    // A slot that lapsed stays unused.
    const auto slow = coldLimit(1, 0.5);
    CHECK(slow.hasRoom(begin + milliseconds { 510 }));
    CHECK(!slow.hasRoom(begin + milliseconds { 510 } + WarmUpLimit::slotValidity));
}

TEST_CASE("the time of a later send follows the earlier ones, and a send is possible at that time")
{
    // Guards against timers that fire before the request can be sent.
    auto limit = coldLimit(0.7, 0.13);
    const auto third = limit.sendTime(begin, 2);
    auto now = begin;
    for (int i = 0; i < 3; ++i) {
        const auto next = limit.sendTime(now, 0);
        REQUIRE(next > now);
        CHECK(!limit.hasRoom(next - milliseconds { 1 }));
        REQUIRE(limit.hasRoom(next));
        limit.recordSent(next);
        now = next;
    }
    CHECK(now - third < milliseconds { 1 });
    CHECK(third - now < milliseconds { 1 });
}

TEST_CASE("load returns after a warm-up without a step")
{
    std::mt19937_64 random { 3 };
    constexpr std::uint32_t entryCount = 63;
    std::vector<double> halves(12);
    constexpr int seeds = 400;
    for (int seed = 0; seed < seeds; ++seed) {
        for (const auto at : simulate(entryCount, shareOf(entryCount, 5'200), 2 * warmUpTime, random, [](Instant) { return true; })) {
            halves[std::min<std::size_t>(halves.size() - 1, static_cast<std::size_t>(at * 2))] += 2.0 / seeds;
        }
    }
    for (std::size_t i = 1; i < halves.size(); ++i) {
        CAPTURE(i, halves[i - 1], halves[i]);
        CHECK(halves[i] < halves[i - 1] * 2.5);
    }
    CHECK(halves[5] < 5.2);
    CHECK(halves.back() > 20);
    CHECK(!coldLimit(1, 0).isLimited(begin + 2 * warmUpTime));
}

TEST_CASE("a warm-up that begins during the recovery limits the rate again")
{
    auto limit = coldLimit(0.05, 0);
    const auto now = begin + 2 * warmUpTime - milliseconds { 1 };
    limit.begin(now, now + warmUpTime, warmUpTime, 0.05, 0);
    CHECK(limit.isCold(now + milliseconds { 2'900 }));
    CHECK(limit.sendTime(now, 1) - now > warmUpTime);
    limit.endWarmUp(now + milliseconds { 100 });
    CHECK(!limit.isCold(now + milliseconds { 100 }));
    CHECK(limit.isLimited(now + milliseconds { 3'000 }));
    CHECK(!limit.isLimited(now + milliseconds { 3'100 }));
}

TEST_CASE("the highest of the latest counts of entry VMs decides the share")
{
    // Guards against a new leader, whose first counts include only the entry VMs that have reported to it.
    const auto settings = options();
    WarmUpShare share { settings };
    CHECK(share.entryCount() == WarmUpShare::assumedEntryCount);
    share.recordEntryCount(63);
    for (const std::uint32_t count : { 1, 20, 63 }) {
        share.recordEntryCount(count);
        CHECK(share.entryCount() == 63);
    }
    for (int i = 0; i < 8; ++i) {
        share.recordEntryCount(40);
    }
    CHECK(share.entryCount() == 40);
}

TEST_CASE("the share of a service without slack is small, not zero")
{
    const DispatchOptions settings;
    WarmUpShare share { settings };
    share.recordEntryCount(50);
    const auto rate = share.sendsPerSecond(service(20'000));
    CHECK(rate > 0);
    CHECK(rate * 50 < 20);
}
