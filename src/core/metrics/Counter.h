#pragma once

#include <atomic>
#include <cstdint>

/// Metrics that many threads update without a lock. All operations use relaxed memory order: each value is read
/// atomically, but two values that are read one after the other may be from different points in time.
namespace teaselturn {

/// A monotonically increasing count.
class Counter {
public:
    void add(std::uint64_t amount = 1) noexcept { this->count.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const noexcept { return this->count.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> count {};
};

/// A value that can increase and decrease.
class Gauge {
public:
    void set(std::int64_t value) noexcept { this->level.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) noexcept { this->level.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const noexcept { return this->level.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> level {};
};

}
