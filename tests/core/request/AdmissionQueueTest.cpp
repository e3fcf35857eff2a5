#include "core/request/AdmissionQueue.h"

#include "core/request/ConcurrencyLimiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1s };
constexpr AdmissionRate fast { 1ms, 1ms };

AdmissionQueue::Ticket joined(AdmissionQueue& queue, std::uint8_t priority, std::uint64_t customer)
{
    const auto result = queue.enqueue(start, { priority, customer, start + 10s }, fast);
    REQUIRE(result.verdict == AdmissionQueue::Verdict::Queued);
    return result.ticket;
}

/// What came of requests at a stand-in upstream of four slots and 10 ms a request.
struct Load {
    int good {};
    int late {};
    int shed {};
    std::map<std::uint64_t, int> goodByCustomer;
    std::vector<Duration> latencies;
};

/// Offers one request each interval for ten seconds of fake time.
/// @param customerOf Tells the customer of a request by its number.
template <typename CustomerOf>
Load offer(Duration interval, Duration allowed, bool shedsEarly, CustomerOf customerOf)
{
    struct Request {
        Instant arrivedAt;
        std::uint64_t customer {};
    };
    AdmissionQueue queue { 64 };
    ConcurrencyLimiter limiter { { 2, 4 } };
    std::map<AdmissionQueue::Ticket, Request> waiting;
    std::multimap<Instant, Request> running;
    Load load;
    constexpr Duration runTime = 10ms;
    const auto rate = [&] {
        const auto latency = limiter.typicalLatency();
        return shedsEarly ? AdmissionRate { latency / limiter.currentLimit(), latency } : AdmissionRate {};
    };
    const auto admit = [&](Instant now) {
        while (queue.size() > 0 && limiter.tryAcquire()) {
            const auto turn = queue.dequeue(now, rate());
            const auto request = waiting.extract(turn->ticket).mapped();
            if (!turn->canMeetDeadline) {
                limiter.release(now, LimiterSample::Ignored, {});
                ++load.shed;
                continue;
            }
            running.emplace(now + runTime, request);
        }
    };
    const auto finishUntil = [&](Instant now) {
        while (!running.empty() && running.begin()->first <= now) {
            const auto [at, request] = *running.begin();
            running.erase(running.begin());
            limiter.release(at, LimiterSample::Good, runTime);
            load.latencies.push_back(at - request.arrivedAt);
            const bool isGood = at <= request.arrivedAt + allowed;
            ++(isGood ? load.good : load.late);
            load.goodByCustomer[request.customer] += isGood ? 1 : 0;
            admit(at);
        }
    };
    int number = 0;
    for (auto now = start; now < start + 10s; now += interval) {
        finishUntil(now);
        const std::uint64_t customer = customerOf(number++);
        const auto result = queue.enqueue(now, { 1, customer, now + allowed }, rate());
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
    // Guards against a service of low priority that delays one of high priority.
    AdmissionQueue queue { 8 };
    const auto low = joined(queue, 1, 1);
    const auto firstHigh = joined(queue, 2, 1);
    const auto secondHigh = joined(queue, 2, 1);
    CHECK(queue.dequeue(start, fast)->ticket == firstHigh);
    CHECK(queue.dequeue(start, fast)->ticket == secondHigh);
    CHECK(queue.dequeue(start, fast)->ticket == low);
    CHECK_FALSE(queue.dequeue(start, fast));
}

TEST_CASE("admission queue serves customers in turn", "[request]")
{
    // Guards against one customer that takes a service, by many requests at once or by one after the other.
    AdmissionQueue queue { 8 };
    for (int i = 0; i < 4; ++i) {
        joined(queue, 1, 7);
    }
    std::map<std::uint64_t, int> served;
    auto single = joined(queue, 1, 8);
    for (int i = 0; i < 6; ++i) {
        if (queue.dequeue(start, fast)->ticket == single) {
            ++served[8];
            single = joined(queue, 1, 8);
        } else {
            ++served[7];
        }
    }
    CHECK(served[7] == 3);
    CHECK(served[8] == 3);
}

TEST_CASE("a full admission queue gives up the request that would go last", "[request]")
{
    // Guards against a queue filled by one customer or by a service of low priority that shuts the others out.
    AdmissionQueue queue { 2 };
    joined(queue, 1, 7);
    const auto last = joined(queue, 1, 7);
    const AdmissionRequest sameCustomer { 1, 7, start + 10s };
    CHECK(queue.enqueue(start, sameCustomer, fast).verdict == AdmissionQueue::Verdict::Full);
    const auto other = queue.enqueue(start, { 1, 8, start + 10s }, fast);
    REQUIRE(other.verdict == AdmissionQueue::Verdict::Queued);
    CHECK(other.displaced == last);
    const auto high = queue.enqueue(start, { 2, 7, start + 10s }, fast);
    CHECK(high.displaced == other.ticket);
    CHECK(queue.size() == 2);
    CHECK_FALSE(queue.remove(last));
    CHECK(queue.remove(high.ticket));
}

TEST_CASE("admission queue sheds a request whose deadline cannot be met", "[request]")
{
    // Guards against a place taken by a request that can only time out.
    AdmissionQueue queue { 8 };
    const AdmissionRate slow { 10ms, 20ms };
    joined(queue, 1, 7);
    CHECK(queue.enqueue(start, { 1, 7, start + 40ms }, slow).verdict == AdmissionQueue::Verdict::TooLate);
    CHECK(queue.enqueue(start, { 1, 7, start + 41ms }, slow).verdict == AdmissionQueue::Verdict::Queued);
    CHECK(queue.dequeue(start, slow)->canMeetDeadline);
    CHECK_FALSE(queue.dequeue(start + 30ms, slow)->canMeetDeadline);
}

TEST_CASE("at twice the capacity goodput stays and accepted requests meet their deadline", "[request]")
{
    // Guards against collapse under overload. Four places of 10 ms serve 4,000 requests in the ten seconds.
    const auto load = offer(1250us, 50ms, true, [](int) { return 1; });
    auto latencies = load.latencies;
    std::sort(latencies.begin(), latencies.end());
    CAPTURE(load.good, load.late, load.shed);
    CHECK(load.good >= 3'900);
    CHECK(latencies[latencies.size() * 99 / 100] <= 50ms);
    CHECK(load.good + load.late + load.shed == 8'000);
    // The check can fail: without early shedding, requests run that are too late already when they start.
    const auto collapsed = offer(1250us, 50ms, false, [](int) { return 1; });
    CHECK(collapsed.late > collapsed.good);
}

TEST_CASE("under overload a small customer is served beside a flooding one", "[request]")
{
    // Guards against a flood of one customer that starves another, which sends a tenth of the requests.
    const auto load = offer(1250us, 50ms, true, [](int number) { return number % 10 == 0 ? 2 : 1; });
    CAPTURE(load.good, load.shed);
    CHECK(load.goodByCustomer.at(2) >= 790);
}
