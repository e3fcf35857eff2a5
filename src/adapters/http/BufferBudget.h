#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace teaselturn {

/// Limits the bytes of messages that a process holds: partly received ones, and complete ones until they are sent on.
/// Thread-safe.
class BufferBudget {
public:
    static constexpr std::size_t defaultLimit = 64 * 1'024 * 1'024;

    explicit BufferBudget(std::size_t limit) noexcept
        : limit(limit)
    {
    }
    BufferBudget(const BufferBudget&) = delete;
    BufferBudget& operator=(const BufferBudget&) = delete;

    /// @return False if the limit would be exceeded; nothing is reserved then.
    bool tryReserve(std::size_t bytes) noexcept
    {
        auto reserved = this->reservedBytes.load(std::memory_order_relaxed);
        do {
            if (bytes > this->limit - reserved) {
                return false;
            }
        } while (!this->reservedBytes.compare_exchange_weak(reserved, reserved + bytes, std::memory_order_relaxed));
        return true;
    }
    void release(std::size_t bytes) noexcept { this->reservedBytes.fetch_sub(bytes, std::memory_order_relaxed); }
    std::size_t reserved() const noexcept { return this->reservedBytes.load(std::memory_order_relaxed); }

private:
    const std::size_t limit;
    std::atomic<std::size_t> reservedBytes {};
};

/// The part of a budget that one message occupies. It moves with the message and is returned when the message is destroyed.
class BufferReservation {
public:
    /// Messages up to this size are not counted, so that large ones cannot keep ordinary ones out.
    static constexpr std::size_t uncountedBytes = 16 * 1'024;

    /// @param budget Must outlive the reservation.
    explicit BufferReservation(BufferBudget& budget) noexcept
        : budget(budget)
    {
    }
    ~BufferReservation() { this->budget.release(this->bytes); }
    BufferReservation(const BufferReservation&) = delete;
    BufferReservation& operator=(const BufferReservation&) = delete;

    /// Grows the reservation of a message, and makes one if it needs one.
    /// @param reservation Null for a message without a reservation.
    /// @param bytes Bytes that the message occupies now.
    /// @return False if the budget is exhausted.
    static bool grow(std::shared_ptr<BufferReservation>& reservation, BufferBudget& budget, std::size_t bytes)
    {
        if (bytes <= uncountedBytes) {
            return true;
        }
        if (!reservation) {
            reservation = std::make_shared<BufferReservation>(budget);
        }
        if (bytes > reservation->bytes) {
            if (!budget.tryReserve(bytes - reservation->bytes)) {
                return false;
            }
            reservation->bytes = bytes;
        }
        return true;
    }

private:
    BufferBudget& budget;
    std::size_t bytes {};
};

}
