#include "core/dispatch/TransferSchedule.h"

#include <algorithm>
#include <utility>

namespace teaselturn {

namespace {

    constexpr std::size_t transitsPerSecond = std::chrono::seconds { 1 } / TransferSchedule::transitTime;
    /// Bodies that fill the link together.
    constexpr std::size_t concurrentBodies = 2;
    /// A body counts with this multiple of the bytes that arrived in the last interval, at most with its window. One that
    /// shares the link counts with its window then, and a slow sender leaves the link to others.
    constexpr std::size_t rateReserve = 2;
    constexpr int pausesPerDeadline = 4;

}

TransferSchedule::TransferSchedule(std::size_t bytesPerSecond) noexcept
    : linkSpeed(bytesPerSecond)
    , transitBytes(bytesPerSecond / transitsPerSecond)
    , window(std::max(this->transitBytes / concurrentBodies, smallBodyBytes))
{
}

void TransferSchedule::setUrgency(Instant now, Transfer& transfer, TransferUrgency urgency) const
{
    transfer.urgency = urgency;
    const auto timeLeft = urgency.deadline ? *urgency.deadline - now : maxPauseLimit * pausesPerDeadline;
    transfer.pauseLimit = std::clamp<Duration>(timeLeft / pausesPerDeadline, minPauseLimit, maxPauseLimit);
}

void TransferSchedule::begin(Instant now, TransferId id, TransferUrgency urgency, std::optional<std::uint64_t> bytesLeft, std::vector<TransferId>& resumed)
{
    if (!this->isLimited()) {
        return;
    }
    Transfer transfer;
    transfer.bytesLeft = bytesLeft;
    transfer.pausedSince = now;
    transfer.previousBytes = this->window;
    this->setUrgency(now, transfer, urgency);
    this->transfers.insert_or_assign(id, transfer);
    this->assign(now, resumed);
    if (std::erase(resumed, id) == 0) {
        ++this->pauses;
    }
}

void TransferSchedule::setUrgency(Instant now, TransferId id, TransferUrgency urgency, std::vector<TransferId>& resumed)
{
    const auto found = this->transfers.find(id);
    if (found != this->transfers.end()) {
        this->setUrgency(now, found->second, urgency);
        this->assign(now, resumed);
    }
}

void TransferSchedule::recordRead(Instant now, TransferId id, std::size_t bytes, std::vector<TransferId>& resumed)
{
    const auto found = this->transfers.find(id);
    if (found == this->transfers.end() || bytes == 0) {
        return;
    }
    auto& transfer = found->second;
    if (transfer.bytesLeft) {
        *transfer.bytesLeft -= std::min<std::uint64_t>(*transfer.bytesLeft, bytes);
    }
    beginInterval(now, transfer);
    transfer.intervalBytes += bytes;
    transfer.isOverdue = transfer.isOverdue && transfer.intervalBytes < smallBodyBytes;
    this->assign(now, resumed);
}

void TransferSchedule::end(Instant now, TransferId id, std::vector<TransferId>& resumed)
{
    if (this->transfers.erase(id) > 0) {
        this->assign(now, resumed);
    }
}

void TransferSchedule::advance(Instant now, std::vector<TransferId>& resumed)
{
    this->assign(now, resumed);
}

bool TransferSchedule::mayRead(TransferId id) const
{
    const auto found = this->transfers.find(id);
    return found == this->transfers.end() || found->second.isReading;
}

bool TransferSchedule::isHopeless(Instant now, const Transfer& transfer) const
{
    if (!transfer.urgency.deadline) {
        return false;
    }
    const std::chrono::duration<double> transferTime { static_cast<double>(transfer.bytesLeft.value_or(0)) / static_cast<double>(this->linkSpeed) };
    return now + std::chrono::duration_cast<Duration>(transferTime) >= *transfer.urgency.deadline;
}

TransferSchedule::Rank TransferSchedule::rankOf(Instant now, TransferId id, const Transfer& transfer) const
{
    const auto unknown = std::numeric_limits<std::uint64_t>::max();
    return { !transfer.isOverdue, transfer.isOverdue ? transfer.pausedSince : Instant {}, this->isHopeless(now, transfer), transfer.urgency.priority, !transfer.isReading, transfer.bytesLeft.value_or(unknown), transfer.urgency.deadline.value_or(Instant::max()), id };
}

std::uint64_t TransferSchedule::bytesInTransit(const Transfer& transfer) const
{
    const std::uint64_t left = transfer.bytesLeft.value_or(this->window);
    return std::min<std::uint64_t>({ left, this->window, rateReserve * std::max(transfer.previousBytes, transfer.intervalBytes) });
}

void TransferSchedule::beginInterval(Instant now, Transfer& transfer)
{
    const auto intervals = (now - transfer.intervalStart) / transitTime;
    if (transfer.isReading && intervals > 0) {
        transfer.previousBytes = intervals == 1 ? transfer.intervalBytes : 0;
        transfer.intervalBytes = 0;
        transfer.isOverdue = false;
        transfer.intervalStart += intervals * transitTime;
    }
}

void TransferSchedule::assign(Instant now, std::vector<TransferId>& resumed)
{
    std::vector<std::pair<Rank, Transfer*>> order;
    order.reserve(this->transfers.size());
    for (auto& [id, transfer] : this->transfers) {
        beginInterval(now, transfer);
        transfer.isOverdue = transfer.isOverdue || (!transfer.isReading && now - transfer.pausedSince >= transfer.pauseLimit);
        order.emplace_back(this->rankOf(now, id, transfer), &transfer);
    }
    std::ranges::sort(order);
    std::uint64_t inTransit = 0;
    this->paused = 0;
    this->nextAdvanceAt.reset();
    std::optional<Instant> nextChange;
    const auto expectChange = [&nextChange](Instant at) { nextChange = std::min(at, nextChange.value_or(at)); };
    for (const auto& [rank, transfer] : order) {
        const auto bytes = this->bytesInTransit(*transfer);
        const bool mayRead = inTransit == 0 || inTransit + bytes <= this->transitBytes;
        if (mayRead) {
            inTransit += bytes;
        }
        if (mayRead && !transfer->isReading) {
            transfer->isReading = true;
            transfer->intervalStart = now;
            resumed.push_back(std::get<TransferId>(rank));
        } else if (!mayRead && transfer->isReading) {
            transfer->isReading = false;
            transfer->pausedSince = now;
            transfer->previousBytes = std::max(transfer->previousBytes, std::exchange(transfer->intervalBytes, 0));
            ++this->pauses;
        }
        if (!mayRead) {
            ++this->paused;
        }
        if (mayRead && bytes > 0) {
            expectChange(transfer->intervalStart + transitTime);
        } else if (!mayRead && !transfer->isOverdue) {
            expectChange(transfer->pausedSince + transfer->pauseLimit);
        }
    }
    if (this->paused > 0) {
        this->nextAdvanceAt = nextChange;
    }
}

}
