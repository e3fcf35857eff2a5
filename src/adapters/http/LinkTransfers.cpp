#include "adapters/http/LinkTransfers.h"

#include <algorithm>

namespace teaselturn {

namespace {

    /// Largest window that connections are limited to. It needs no window scaling. The links of larger ones are left to the
    /// kernel's own limits, which adapt to the round trip.
    constexpr std::size_t maxLimitedWindow = 64 * 1'024 - 1;

    TransitLimits limitsFor(const TransferSchedule& schedule)
    {
        if (!schedule.isLimited() || schedule.windowBytes() > maxLimitedWindow) {
            return {};
        }
        return { schedule.windowBytes(), TransferSchedule::smallBodyBytes };
    }

}

LinkTransfer::~LinkTransfer()
{
    if (this->owner != nullptr) {
        this->owner->end(this->transferId);
    }
}

bool LinkTransfer::recordRead(std::size_t bytes)
{
    return this->owner == nullptr || this->owner->recordRead(this->transferId, bytes);
}

LinkTransfers::LinkTransfers(Reactor& reactor, std::size_t bytesPerSecond)
    : reactor(reactor)
    , hasLimit(bytesPerSecond > 0)
    , limits(limitsFor(TransferSchedule { bytesPerSecond }))
    , schedule(bytesPerSecond)
{
}

LinkTransfer LinkTransfers::begin(TransferUrgency urgency, std::optional<std::uint64_t> bytesLeft, std::function<void()> resumed)
{
    if (!this->hasLimit) {
        return {};
    }
    const MutexLock lock { this->mutex };
    const TransferId id { ++this->lastId };
    this->handlers.emplace(id, std::make_shared<const std::function<void()>>(std::move(resumed)));
    std::vector<TransferId> changes;
    this->schedule.begin(this->reactor.now(), id, urgency, bytesLeft, changes);
    this->applyChanges(changes);
    return { *this, id };
}

void LinkTransfers::setUrgency(TransferId id, TransferUrgency urgency)
{
    const MutexLock lock { this->mutex };
    std::vector<TransferId> changes;
    this->schedule.setUrgency(this->reactor.now(), id, urgency, changes);
    this->applyChanges(changes);
}

bool LinkTransfers::recordRead(TransferId id, std::size_t bytes)
{
    const MutexLock lock { this->mutex };
    if (bytes > 0) {
        std::vector<TransferId> changes;
        this->schedule.recordRead(this->reactor.now(), id, bytes, changes);
        this->applyChanges(changes);
    }
    return this->schedule.mayRead(id);
}

void LinkTransfers::end(TransferId id)
{
    const MutexLock lock { this->mutex };
    this->handlers.erase(id);
    std::vector<TransferId> changes;
    this->schedule.end(this->reactor.now(), id, changes);
    this->applyChanges(changes);
}

void LinkTransfers::advance()
{
    const MutexLock lock { this->mutex };
    this->nextAdvanceAt.reset();
    std::vector<TransferId> changes;
    this->schedule.advance(this->reactor.now(), changes);
    this->applyChanges(changes);
}

void LinkTransfers::applyChanges(const std::vector<TransferId>& resumed)
{
    for (const auto id : resumed) {
        // The caller may hold the lock of a connection.
        this->reactor.after(Duration::zero(), [handler = this->handlers.at(id)](Instant) { (*handler)(); });
    }
    this->counters.paused.set(static_cast<std::int64_t>(this->schedule.pausedCount()));
    this->counters.pauses.add(this->schedule.pauseCount() - this->counters.pauses.value());
    const auto next = this->schedule.nextAdvance();
    if (next && (!this->nextAdvanceAt || *next < *this->nextAdvanceAt)) {
        this->nextAdvanceAt = next;
        this->reactor.after(std::max<Duration>(*next - this->reactor.now(), Duration::zero()), [this](Instant) { this->advance(); });
    }
}

}
