#include "core/request/AdmissionQueue.h"

#include "core/request/ConcurrencyLimiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1s };
constexpr AdmissionRate fastRate { 1ms, 1ms };

AdmissionQueue::Ticket enqueue(AdmissionQueue& queue, std::uint8_t priority, std::uint64_t customer)
{
    const auto result = queue.enqueue(start, { priority, customer, start + 10s }, fastRate);
    REQUIRE(result.verdict == AdmissionQueue::Verdict::Queued);
    return result.ticket;
}

/// Results of a simulated load on an upstream with four slots that takes 10 ms for each request.
struct LoadResult {
    int good {};
    int late {};
    int shed {};
    std::map<std::uint64_t, int> goodByCustomer;
    std::vector<Duration> latencies;
};

/// Simulates ten seconds in which one request arrives in each interval.
/// @param timeout Time from the arrival of a request to its deadline.
/// @param customerOf Returns the customer of a request from its number.
template <typename CustomerOf>
LoadResult simulateLoad(Duration interval, Duration timeout, bool shedsEarly, CustomerOf customerOf)
{
    struct Request {
        Instant arrivedAt;
        std::uint64_t customer {};
    };
    AdmissionQueue queue { 64 };
    ConcurrencyLimiter limiter { { 2, 4 } };
    std::map<AdmissionQueue::Ticket, Request> waiting;
    std::multimap<Instant, Request> running;
    LoadResult load;
    constexpr Duration serviceTime = 10ms;
    const auto rate = [&] {
        const auto latency = limiter.typicalLatency();
        return shedsEarly ? AdmissionRate { latency / limiter.currentLimit(), latency } : AdmissionRate {};
    };
    const auto admit = [&](Instant now) {
        while (queue.size() > 0 && limiter.tryAcquire()) {
            const auto dequeued = queue.dequeue(now, rate());
            const auto request = waiting.extract(dequeued->ticket).mapped();
            if (!dequeued->canMeetDeadline) {
                limiter.release(now, LimiterSample::Ignored, {});
                ++load.shed;
                continue;
            }
            running.emplace(now + serviceTime, request);
        }
    };
    const auto finishUntil = [&](Instant now) {
        while (!running.empty() && running.begin()->first <= now) {
            const auto [at, request] = *running.begin();
            running.erase(running.begin());
            limiter.release(at, LimiterSample::Good, serviceTime);
            load.latencies.push_back(at - request.arrivedAt);
            const bool isGood = at <= request.arrivedAt + timeout;
            ++(isGood ? load.good : load.late);
            load.goodByCustomer[request.customer] += isGood ? 1 : 0;
            admit(at);
        }
    };
    int number = 0;
    for (auto now = start; now < start + 10s; now += interval) {
        finishUntil(now);
        const std::uint64_t customer = customerOf(number++);
        const auto result = queue.enqueue(now, { 1, customer, now + timeout }, rate());
        if (result.verdict == AdmissionQueue::Verdict::Queued) {
            waiting[result.ticket] = { now, customer };
            if (result.displaced) {
                waiting.erase(*result.displaced);
                ++load.shed;
            }
            admit(now);
        } else {
            ++load.shed;
        }
    }
    finishUntil(start + 1h);
    return load;
}

}

TEST_CASE("admission queue orders by priority and then by arrival", "[request]")
{
    // Guards against a service of low priority that delays a service of high priority.
    AdmissionQueue queue { 8 };
    const auto low = enqueue(queue, 1, 1);
    const auto firstHigh = enqueue(queue, 2, 1);
    const auto secondHigh = enqueue(queue, 2, 1);
    CHECK(queue.dequeue(start, fastRate)->ticket == firstHigh);
    CHECK(queue.dequeue(start, fastRate)->ticket == secondHigh);
    CHECK(queue.dequeue(start, fastRate)->ticket == low);
    CHECK_FALSE(queue.dequeue(start, fastRate));
}

TEST_CASE("admission queue serves the customers of a priority round robin", "[request]")
{
    // Guards against a customer that takes more than its share, whether it sends many requests at once or one at a
    // time.
    AdmissionQueue queue { 8 };
    for (int i = 0; i < 4; ++i) {
        enqueue(queue, 1, 7);
    }
    std::map<std::uint64_t, int> served;
    auto single = enqueue(queue, 1, 8);
    for (int i = 0; i < 6; ++i) {
        if (queue.dequeue(start, fastRate)->ticket == single) {
            ++served[8];
            single = enqueue(queue, 1, 8);
        } else {
            ++served[7];
        }
    }
    CHECK(served[7] == 3);
    CHECK(served[8] == 3);
}

TEST_CASE("a full admission queue displaces its last request for one that goes before it", "[request]")
{
    // Guards against a queue full of requests of one customer, or of a service of low priority, that shuts out others.
    AdmissionQueue queue { 2 };
    enqueue(queue, 1, 7);
    const auto last = enqueue(queue, 1, 7);
    const AdmissionRequest sameCustomer { 1, 7, start + 10s };
    CHECK(queue.enqueue(start, sameCustomer, fastRate).verdict == AdmissionQueue::Verdict::Full);
    const auto other = queue.enqueue(start, { 1, 8, start + 10s }, fastRate);
    REQUIRE(other.verdict == AdmissionQueue::Verdict::Queued);
    CHECK(other.displaced == last);
    const auto high = queue.enqueue(start, { 2, 7, start + 10s }, fastRate);
    CHECK(high.displaced == other.ticket);
    CHECK(queue.size() == 2);
    CHECK_FALSE(queue.remove(last));
    CHECK(queue.remove(high.ticket));
}

TEST_CASE("admission queue sheds a request whose deadline cannot be met", "[request]")
{
    // Guards against a permit that is used for a request that will time out anyway.
    AdmissionQueue queue { 8 };
    const AdmissionRate slow { 10ms, 20ms };
    enqueue(queue, 1, 7);
    CHECK(queue.enqueue(start, { 1, 7, start + 40ms }, slow).verdict == AdmissionQueue::Verdict::TooLate);
    CHECK(queue.enqueue(start, { 1, 7, start + 41ms }, slow).verdict == AdmissionQueue::Verdict::Queued);
    CHECK(queue.dequeue(start, slow)->canMeetDeadline);
    CHECK_FALSE(queue.dequeue(start + 30ms, slow)->canMeetDeadline);
}

TEST_CASE("at twice the capacity, goodput is maintained and admitted requests meet their deadline", "[request]")
{
    // Guards against congestion collapse. Four slots with 10 ms for each request serve 4,000 requests in ten seconds.
    const auto load = simulateLoad(1250us, 50ms, true, [](int) { return 1; });
    auto latencies = load.latencies;
    std::sort(latencies.begin(), latencies.end());
    CAPTURE(load.good, load.late, load.shed);
    CHECK(load.good >= 3'900);
    CHECK(latencies[latencies.size() * 99 / 100] <= 50ms);
    CHECK(load.good + load.late + load.shed == 8'000);
    // Without early shedding, most requests miss their deadline, so the checks above can fail.
    const auto collapsed = simulateLoad(1250us, 50ms, false, [](int) { return 1; });
    CHECK(collapsed.late > collapsed.good);
}

TEST_CASE("under overload, a customer with few requests is served next to one with many", "[request]")
{
    // Guards against a customer that starves another one, which sends a tenth of the requests.
    const auto load = simulateLoad(1250us, 50ms, true, [](int number) { return number % 10 == 0 ? 2 : 1; });
    CAPTURE(load.good, load.shed);
    CHECK(load.goodByCustomer.at(2) >= 790);
}
