#include "core/metrics/LatencyHistogram.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <vector>

using namespace teaselturn;
using namespace std::chrono_literals;

// Guards against a bucket that is wider than documented at some magnitude.
TEST_CASE("Percentiles are not below the exact values and exceed them at most by the error bound")
{
    constexpr std::uint32_t seed = 41;
    CAPTURE(seed);
    std::mt19937_64 random { seed };
    std::uniform_real_distribution<double> exponent { 0, std::log(130e9) };
    LatencyHistogram histogram;
    std::vector<Duration> exact;
    for (int i = 0; i < 20'000; ++i) {
        exact.emplace_back(static_cast<Duration::rep>(std::exp(exponent(random))));
        histogram.record(exact.back());
    }
    std::ranges::sort(exact);
    for (const auto share : { 0.0001, 0.01, 0.25, 0.5, 0.9, 0.99, 0.999, 1.0 }) {
        CAPTURE(share);
        const auto expected = exact[static_cast<std::size_t>(std::ceil(share * 20'000)) - 1];
        const auto found = histogram.percentile(share);
        CHECK(found >= expected);
        CHECK(found <= expected + expected / LatencyHistogram::bucketsPerPower + 1us);
    }
}

TEST_CASE("Each bucket includes its upper bound and nothing above it")
{
    for (std::int64_t microseconds = 1; microseconds <= std::int64_t { 1 } << 26U; microseconds *= 2) {
        CAPTURE(microseconds);
        LatencyHistogram histogram;
        const Duration bound = std::chrono::microseconds { microseconds };
        histogram.record(bound);
        histogram.record(bound + 1ns);
        CHECK(histogram.countUpTo(bound) == 1);
        CHECK(histogram.percentile(0.5) == bound);
        CHECK(histogram.count() == 2);
    }
}

// Guards against an out-of-range bucket index.
TEST_CASE("Latencies outside the range count in the first or the last bucket")
{
    LatencyHistogram histogram;
    CHECK(histogram.percentile(0.99) == 0ns);
    histogram.record(-5ns);
    histogram.record(0ns);
    histogram.record(Duration::max());
    CHECK(histogram.count() == 3);
    CHECK(histogram.percentile(0.5) == 1us);
    CHECK(histogram.percentile(1) == std::chrono::microseconds { 134'217'728 });
}
