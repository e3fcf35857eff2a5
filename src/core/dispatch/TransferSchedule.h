#pragma once

#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <tuple>
#include <vector>

namespace teaselturn {

/// Identifies a large body that crosses the link of an entry VM. Ids are unique within a process.
using TransferId = StrongId<struct TransferIdTag, std::uint64_t>;

/// How urgent the body of a request or response is.
struct TransferUrgency {
    /// Priority of the route. Zero is the highest.
    std::uint32_t priority { std::numeric_limits<std::uint32_t>::max() };
    /// When the caller stops waiting. Empty if it is not known.
    std::optional<Instant> deadline {};
};

/// Decides which large bodies are read while many cross a slow link at the same time. Without it, each of them has a full
/// window of bytes in transit, and the datagrams of the registry's feed and small urgent messages wait behind all of these
/// bytes for seconds. It lets as many bodies be read as together have transitTime of the link in transit; the others are
/// paused. More urgent routes come first, then bodies that are being read, then the one with the least left, then the one
/// with the earliest deadline. Bodies that cannot arrive by their deadline come last. Reads no clock; not thread-safe.
class TransferSchedule {
public:
    /// Bodies up to this size are not scheduled.
    static constexpr std::size_t smallBodyBytes = 16 * 1'024;
    /// Time in which the link carries all bytes in transit. It delays a small urgent message by no more than that.
    static constexpr std::chrono::milliseconds transitTime { 100 };
    /// A body that was paused for a quarter of the time to its deadline, within these bounds, is read next. Upstreams abort a
    /// response that stays unread for some seconds.
    static constexpr std::chrono::milliseconds minPauseLimit { 100 };
    static constexpr std::chrono::milliseconds maxPauseLimit { 1'000 };

    /// @param bytesPerSecond Speed of the link in each direction. Zero means unlimited: every body may be read at any time.
    explicit TransferSchedule(std::size_t bytesPerSecond) noexcept;

    bool isLimited() const noexcept { return this->linkSpeed > 0; }
    /// @return Bytes that one body may have in transit. Two bodies fill the link, and one alone does so over a round trip of
    /// half of transitTime.
    std::size_t windowBytes() const noexcept { return this->window; }

    /// Begins a transfer.
    /// @param bytesLeft Bytes of the body that have not been read. Empty if its length is not declared.
    /// @param resumed Receives the paused transfers that may be read from now on. The same holds for the functions below.
    void begin(Instant now, TransferId id, TransferUrgency urgency, std::optional<std::uint64_t> bytesLeft, std::vector<TransferId>& resumed);
    /// Changes the urgency of a transfer. This function and the next two do nothing if it has ended.
    void setUrgency(Instant now, TransferId id, TransferUrgency urgency, std::vector<TransferId>& resumed);
    /// Records that bytes of a body were read.
    void recordRead(Instant now, TransferId id, std::size_t bytes, std::vector<TransferId>& resumed);
    /// Ends a transfer, because its body is complete or one of its partners has left.
    void end(Instant now, TransferId id, std::vector<TransferId>& resumed);
    /// Applies the passing of time.
    void advance(Instant now, std::vector<TransferId>& resumed);

    /// @return True if the body may be read now, or the transfer has ended.
    bool mayRead(TransferId id) const;
    /// @return When to call advance() next; empty if nothing is paused.
    std::optional<Instant> nextAdvance() const noexcept { return this->nextAdvanceAt; }
    std::size_t pausedCount() const noexcept { return this->paused; }
    /// @return The number of pauses so far.
    std::uint64_t pauseCount() const noexcept { return this->pauses; }

private:
    struct Transfer {
        TransferUrgency urgency;
        std::optional<std::uint64_t> bytesLeft;
        Instant pausedSince {};
        Duration pauseLimit { maxPauseLimit };
        bool isReading {};
        /// It was paused for the pause limit, and may be read for one interval or up to smallBodyBytes.
        bool isOverdue {};
        /// Bytes read in the interval that began at intervalStart.
        Instant intervalStart {};
        std::size_t intervalBytes {};
        /// Bytes read in the interval before, also if a pause lies between. The window before the first interval has passed.
        std::size_t previousBytes {};
    };

    /// Order in which transfers are read: overdue ones by the beginning of their pause, then the others.
    using Rank = std::tuple<bool, Instant, bool, std::uint32_t, bool, std::uint64_t, Instant, TransferId>;

    void setUrgency(Instant now, Transfer& transfer, TransferUrgency urgency) const;
    Rank rankOf(Instant now, TransferId id, const Transfer& transfer) const;
    /// @return True if the link cannot carry the rest of the body by its deadline.
    bool isHopeless(Instant now, const Transfer& transfer) const;
    /// @return Bytes that a body has in transit while it is read.
    std::uint64_t bytesInTransit(const Transfer& transfer) const;
    /// Begins a new interval of a transfer that is being read if the last one has passed.
    static void beginInterval(Instant now, Transfer& transfer);
    /// Decides again which transfers are read.
    void assign(Instant now, std::vector<TransferId>& resumed);

    std::size_t linkSpeed;
    std::size_t transitBytes;
    std::size_t window;
    absl::flat_hash_map<TransferId, Transfer> transfers;
    std::optional<Instant> nextAdvanceAt;
    std::size_t paused {};
    std::uint64_t pauses {};
};

}
