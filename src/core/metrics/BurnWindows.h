#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselturn {

/// Numbers of requests that met their service's objective and that did not.
struct RequestCounts {
    std::uint64_t good {};
    std::uint64_t bad {};

    RequestCounts& operator+=(const RequestCounts& other) noexcept
    {
        this->good += other.good;
        this->bad += other.bad;
        return *this;
    }

    friend bool operator==(const RequestCounts&, const RequestCounts&) = default;
};

/// Lengths of the sliding windows of the burn-rate report.
inline constexpr std::array<std::chrono::seconds, 4> burnWindowLengths { std::chrono::minutes { 5 },
    std::chrono::hours { 1 }, std::chrono::hours { 6 }, std::chrono::hours { 72 } };

/// Ring buffer of request counts over a sliding window. It holds the last `intervals` intervals and the one in
/// progress, so that a request is counted for at least the length of the window and at most one interval longer.
/// @tparam intervals Number of intervals in the window.
template <std::size_t intervals>
class CountRing {
public:
    /// @param length Length of the window.
    explicit CountRing(std::chrono::seconds length) noexcept
        : interval(Duration { length } / intervals)
    {
    }

    /// Adds counts to the interval that contains now. Drops them if that interval is older than the window.
    void add(Instant now, const RequestCounts& counts) noexcept
    {
        const auto number = this->intervalNumber(now);
        const auto skipped = std::min<std::int64_t>(number - this->newest, this->buckets.size());
        for (std::int64_t i = 0; i < skipped; ++i) {
            this->bucket(number - i) = {};
        }
        this->newest = std::max(this->newest, number);
        if (number > this->newest - this->size()) {
            this->bucket(number) += counts;
        }
    }

    /// @return Sum of the counts in the window that ends now.
    RequestCounts total(Instant now) const noexcept
    {
        RequestCounts sum;
        const auto first = std::max(this->intervalNumber(now), this->newest) - this->size() + 1;
        for (auto number = first; number <= this->newest; ++number) {
            sum += this->buckets[this->indexOf(number)];
        }
        return sum;
    }

private:
    std::int64_t size() const noexcept { return static_cast<std::int64_t>(this->buckets.size()); }

    std::int64_t intervalNumber(Instant now) const noexcept { return now.time_since_epoch() / this->interval; }

    std::size_t indexOf(std::int64_t number) const noexcept
    {
        return static_cast<std::size_t>((number % this->size() + this->size()) % this->size());
    }

    RequestCounts& bucket(std::int64_t number) noexcept { return this->buckets[this->indexOf(number)]; }

    Duration interval;
    std::int64_t newest {};
    std::array<RequestCounts, intervals + 1> buckets {};
};

/// Good and bad requests of one service in one zone over the windows of the burn-rate report. It takes 3.7 KB.
/// Not thread-safe.
class BurnWindows {
public:
    /// Length of the shortest interval. The caller may sum up the counts of one such interval and add them at once.
    static constexpr std::chrono::seconds finestInterval { 10 };

    void add(Instant now, const RequestCounts& counts) noexcept
    {
        this->fiveMinutes.add(now, counts);
        this->hour.add(now, counts);
        this->sixHours.add(now, counts);
        this->threeDays.add(now, counts);
    }

    /// @return Counts in the order of burnWindowLengths.
    std::array<RequestCounts, burnWindowLengths.size()> totals(Instant now) const noexcept
    {
        return { this->fiveMinutes.total(now), this->hour.total(now), this->sixHours.total(now), this->threeDays.total(now) };
    }

private:
    CountRing<30> fiveMinutes { burnWindowLengths[0] };
    CountRing<60> hour { burnWindowLengths[1] };
    CountRing<72> sixHours { burnWindowLengths[2] };
    CountRing<72> threeDays { burnWindowLengths[3] };
};

/// @param objectivePerMillion Share of requests that must be good; less than 1,000,000.
/// @return (share of bad requests) / (1 - objective), or zero without requests. A burn rate of 1 uses up the error
/// budget exactly at the end of the objective's period.
inline double burnRate(const RequestCounts& counts, std::uint32_t objectivePerMillion) noexcept
{
    constexpr double million = 1e6;
    const auto all = static_cast<double>(counts.good) + static_cast<double>(counts.bad);
    return all == 0 ? 0 : static_cast<double>(counts.bad) / all * million / (million - objectivePerMillion);
}

}
