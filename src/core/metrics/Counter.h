#pragma once

#include <atomic>
#include <cstdint>

/// Numbers that many threads change without a lock. The operations are relaxed: a reader sees each number whole, and
/// two numbers read one after the other need not belong to the same moment.
namespace teaselturn {

/// A count that only grows.
class Counter {
public:
    void add(std::uint64_t amount = 1) noexcept { this->count.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const noexcept { return this->count.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> count {};
};

/// A level that goes up and down.
class Gauge {
public:
    void set(std::int64_t value) noexcept { this->level.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) noexcept { this->level.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const noexcept { return this->level.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> level {};
};

}
