#pragma once

#include "adapters/peer/Socket.h"
#include "adapters/reactor/Reactor.h"
#include "core/Mutex.h"
#include "core/dispatch/TransferSchedule.h"
#include "core/metrics/Counter.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace teaselturn {

/// Metrics of the large bodies on the link of a process.
struct TransferCounters {
    /// Bodies that are paused now.
    Gauge paused;
    /// Times that a body was paused.
    Counter pauses;
};

class LinkTransfers;

/// A large body on the link. The end of its life ends the transfer. One without a transfer may always be read.
class LinkTransfer {
public:
    LinkTransfer() = default;
    ~LinkTransfer();
    LinkTransfer(LinkTransfer&& other) noexcept
        : owner(std::exchange(other.owner, nullptr))
        , transferId(other.transferId)
    {
    }
    LinkTransfer& operator=(LinkTransfer&& other) noexcept
    {
        std::swap(this->owner, other.owner);
        std::swap(this->transferId, other.transferId);
        return *this;
    }

    explicit operator bool() const noexcept { return this->owner != nullptr; }
    TransferId id() const noexcept { return this->transferId; }
    /// Records bytes of the body that were read. They may be none.
    /// @return True if more may be read now. Otherwise the transfer's handler is called once it may.
    bool recordRead(std::size_t bytes);

private:
    friend class LinkTransfers;
    LinkTransfer(LinkTransfers& owner, TransferId id) noexcept
        : owner(&owner)
        , transferId(id)
    {
    }

    LinkTransfers* owner {};
    TransferId transferId;
};

/// The large bodies that cross the link of a process, and the turns that a TransferSchedule gives them. Thread-safe. Its
/// mutex may be taken while a connection's is held.
class LinkTransfers {
public:
    /// @param reactor Must outlive the object. Its workers must end first.
    /// @param bytesPerSecond Speed of the link in each direction. Zero means unlimited.
    LinkTransfers(Reactor& reactor, std::size_t bytesPerSecond);
    LinkTransfers(const LinkTransfers&) = delete;
    LinkTransfers& operator=(const LinkTransfers&) = delete;

    bool isLimited() const noexcept { return this->hasLimit; }
    /// @return Limits for the connections that share the link.
    const TransitLimits& transitLimits() const noexcept { return this->limits; }

    /// Begins a transfer, which the caller asks at once whether it may be read.
    /// @param bytesLeft Bytes of the body that have not been read. Empty if its length is not declared.
    /// @param resumed Called on a worker, with no lock held, when a paused transfer may be read. It may also be called for one
    /// that does not know of its pause, and after the transfer's end.
    LinkTransfer begin(TransferUrgency urgency, std::optional<std::uint64_t> bytesLeft, std::function<void()> resumed);
    void setUrgency(TransferId id, TransferUrgency urgency);

    const TransferCounters& statistics() const noexcept { return this->counters; }

private:
    friend class LinkTransfer;
    using Handler = std::shared_ptr<const std::function<void()>>;

    bool recordRead(TransferId id, std::size_t bytes);
    void end(TransferId id);
    void advance();
    /// Schedules the handlers of transfers that may be read, and the next advance().
    void applyChanges(const std::vector<TransferId>& resumed) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    Reactor& reactor;
    const bool hasLimit;
    TransferCounters counters;
    TransitLimits limits;
    Mutex mutex;
    TransferSchedule schedule ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<TransferId, Handler> handlers ABSL_GUARDED_BY(mutex);
    std::uint64_t lastId ABSL_GUARDED_BY(mutex) {};
    std::optional<Instant> nextAdvanceAt ABSL_GUARDED_BY(mutex);
};

}
