#include "core/ownership/SlotLoadCounter.h"

#include <algorithm>
#include <memory>
#include <new>
#include <utility>

namespace teaselturn {

namespace {

    constexpr unsigned hotIndexBits = 31;

    constexpr bool isBusier(const SlotLoad& left, const SlotLoad& right) noexcept
    {
        return left.requests != right.requests ? left.requests > right.requests
                                               : std::pair { left.slot.service, left.slot.index } < std::pair { right.slot.service, right.slot.index };
    }

}

SlotLoadCounter::~SlotLoadCounter()
{
    for (auto& entry : this->directory) {
        delete entry.load(std::memory_order_relaxed);
    }
}

SlotLoadCounter::Block* SlotLoadCounter::blockOf(SlotId slot) noexcept
{
    const auto first = slot.index - slot.index % blockSize;
    // Blocks of one service are adjacent; services start far apart.
    const auto home = slot.service.value * 2'654'435'761U / blockSize + slot.index / blockSize;
    for (std::size_t probe = 0; probe < directorySize; ++probe) {
        auto& entry = this->directory[(home + probe) % directorySize];
        auto* block = entry.load(std::memory_order_acquire);
        if (block == nullptr) {
            std::unique_ptr<Block> fresh { new (std::nothrow) Block { slot.service, first } };
            if (!fresh) {
                return nullptr;
            }
            if (entry.compare_exchange_strong(block, fresh.get(), std::memory_order_acq_rel, std::memory_order_acquire)) {
                return fresh.release();
            }
        }
        if (block->service == slot.service && block->first == first) {
            return block;
        }
    }
    return nullptr;
}

void SlotLoadCounter::add(SlotId slot) noexcept
{
    if (slot.isHotKey()) {
        this->addHotKey(slot);
    } else if (auto* block = this->blockOf(slot)) {
        block->counts[slot.index - block->first].fetch_add(1, std::memory_order_relaxed);
    }
}

void SlotLoadCounter::addHotKey(SlotId slot) noexcept
{
    const std::uint64_t number = slot.index - firstHotKeySlot;
    const auto name = (std::uint64_t { slot.service.value } << hotIndexBits | number) << hotCountBits;
    constexpr auto countMask = (std::uint64_t { 1 } << hotCountBits) - 1;
    auto& cell = this->hotKeys[number % hotKeyCells];
    auto word = cell.load(std::memory_order_relaxed);
    auto next = word;
    do {
        const auto count = word & countMask;
        // A cell is reused for another key only after its count was drained. Until then the new key is not counted.
        if (count == countMask || (count > 0 && (word & ~countMask) != name)) {
            return;
        }
        next = name | (count + 1);
    } while (!cell.compare_exchange_weak(word, next, std::memory_order_relaxed));
}

void SlotLoadCounter::insertCandidate(std::vector<Candidate>& best, std::size_t maxSlots, Candidate candidate) const
{
    const auto isAbove = [](const Candidate& left, const Candidate& right) { return isBusier(left.load, right.load); };
    if (best.size() == maxSlots) {
        if (maxSlots == 0 || !isAbove(candidate, best.front())) {
            return;
        }
        std::pop_heap(best.begin(), best.end(), isAbove);
        best.pop_back();
    }
    best.push_back(candidate);
    std::push_heap(best.begin(), best.end(), isAbove);
}

std::uint32_t SlotLoadCounter::takeCount(const Candidate& candidate) noexcept
{
    const auto slot = candidate.load.slot;
    if (slot.isHotKey()) {
        constexpr auto countMask = (std::uint64_t { 1 } << hotCountBits) - 1;
        return static_cast<std::uint32_t>(this->hotKeys[candidate.cell].exchange(0, std::memory_order_relaxed) & countMask);
    }
    auto* block = this->directory[candidate.cell].load(std::memory_order_acquire);
    return block->counts[slot.index - block->first].exchange(0, std::memory_order_relaxed);
}

std::vector<SlotLoad> SlotLoadCounter::drain(std::size_t maxSlots)
{
    std::vector<Candidate> best;
    best.reserve(std::min<std::size_t>(maxSlots, limits::maxPartitions));
    for (std::size_t cell = 0; cell < directorySize; ++cell) {
        const auto* block = this->directory[cell].load(std::memory_order_acquire);
        for (std::uint32_t i = 0; block != nullptr && i < blockSize; ++i) {
            if (const auto count = block->counts[i].load(std::memory_order_relaxed); count > 0) {
                this->insertCandidate(best, maxSlots, { { { block->service, block->first + i }, count }, cell });
            }
        }
    }
    for (std::size_t cell = 0; cell < hotKeyCells; ++cell) {
        const auto word = this->hotKeys[cell].load(std::memory_order_relaxed);
        const auto count = static_cast<std::uint32_t>(word & ((std::uint64_t { 1 } << hotCountBits) - 1));
        const auto name = word >> hotCountBits;
        const auto number = static_cast<std::uint32_t>(name & ((std::uint64_t { 1 } << hotIndexBits) - 1));
        if (count > 0) {
            const ServiceId service { static_cast<std::uint16_t>(name >> hotIndexBits) };
            this->insertCandidate(best, maxSlots, { { { service, firstHotKeySlot + number }, count }, cell });
        }
    }
    std::vector<SlotLoad> loads;
    loads.reserve(best.size());
    for (const auto& candidate : best) {
        loads.push_back({ candidate.load.slot, this->takeCount(candidate) });
    }
    std::sort(loads.begin(), loads.end(), isBusier);
    return loads;
}

}
