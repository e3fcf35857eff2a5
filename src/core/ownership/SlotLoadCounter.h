#pragma once

#include "core/ownership/LoadReport.h"
#include "teaselturn/Message.h"
#include "teaselturn/Types.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace teaselturn {

/// Counts the requests of each slot at one entry VM. Workers add without a lock; one thread drains. Counters of
/// partitions are kept in blocks that are allocated at the first request to one of their slots, so memory use is about
/// 4 bytes for each partition in use.
class SlotLoadCounter {
public:
    SlotLoadCounter() = default;
    ~SlotLoadCounter();
    SlotLoadCounter(const SlotLoadCounter&) = delete;
    SlotLoadCounter& operator=(const SlotLoadCounter&) = delete;

    /// Counts a request. Allocates only at the first request to a slot of a block; if that fails, the request is not
    /// counted.
    void add(SlotId slot) noexcept;

    /// Returns and clears the counts of the busiest slots. The other counts stay, so that every slot is reported
    /// eventually and the sums lose no request. Call from one thread at a time.
    /// @return At most maxSlots slots, busiest first.
    std::vector<SlotLoad> drain(std::size_t maxSlots = limits::maxReportedSlots);

private:
    static constexpr std::uint32_t blockSize = 1'024;
    /// Blocks of all partitions, plus one partly used block for each of 1,024 services, fill half of it.
    static constexpr std::size_t directorySize = 4'096;
    /// Hot-key slots are numbered consecutively over all services, so with this many cells two of them rarely share
    /// one.
    static constexpr std::size_t hotKeyCells = 4 * limits::maxHotKeys;
    static constexpr unsigned hotCountBits = 17;

    struct Block {
        ServiceId service;
        std::uint32_t first {};
        std::array<std::atomic<std::uint32_t>, blockSize> counts {};
    };
    struct Candidate {
        SlotLoad load;
        std::size_t cell {};
    };

    Block* blockOf(SlotId slot) noexcept;
    void addHotKey(SlotId slot) noexcept;
    void insertCandidate(std::vector<Candidate>& best, std::size_t maxSlots, Candidate candidate) const;
    std::uint32_t takeCount(const Candidate& candidate) noexcept;

    std::array<std::atomic<Block*>, directorySize> directory {};
    /// Service, number of the hot key and count in one word, so that a cell changes its slot atomically.
    std::array<std::atomic<std::uint64_t>, hotKeyCells> hotKeys {};
};

}
