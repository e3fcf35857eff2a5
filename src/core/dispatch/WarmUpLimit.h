#pragma once

#include "teaselturn/Types.h"

#include <chrono>
#include <cstddef>

namespace teaselturn {

/// Bounds the rate at which this entry VM sends to one upstream while the upstream is cold, and while load returns to it
/// afterwards. Answers upstreams that crash if they get full load after a start. Sends are due at regular times (slots) whose
/// phase differs between entry VMs. A slot that is not used within slotValidity lapses, so that idle entry VMs save up
/// no burst. After the warm-up, the rate rises exponentially during the recovery time, then the limit ends.
/// Deterministic, allocates nothing; not thread-safe.
class WarmUpLimit {
public:
    /// Time for which a slot can be used. A request that arrives just after a slot is sent at once, and a timer may be late.
    static constexpr std::chrono::milliseconds slotValidity { 250 };
    /// Factor by which the rate rises during the recovery. 63 entry VMs then have 2.7 slots per second each, so that
    /// nearly all requests, which arrive at random, find one in their time, and the end of the limit is no step.
    static constexpr double recoveryFactor = 64;

    /// Begins a warm-up, or changes the end of the current one.
    /// @param coldUntil When the upstream is warm.
    /// @param recoveryTime Time after the warm-up during which load returns.
    /// @param rate Sends per second of this entry VM while the upstream is cold.
    /// @param initialPhase Fraction of the interval between slots that has passed; used if no limit is in effect.
    void begin(Instant now, Instant coldUntil, Duration recoveryTime, double rate, double initialPhase);
    /// Ends the warm-up now; load returns during the recovery time.
    void endWarmUp(Instant now);
    /// Removes the limit at once.
    void clear() noexcept { *this = WarmUpLimit {}; }
    /// @param rate Sends per second of this entry VM while the upstream is cold.
    void setRate(double rate) noexcept { this->rate = rate; }

    bool isCold(Instant now) const noexcept { return now < this->coldEnd; }
    /// @return True during the warm-up and the recovery.
    bool isLimited(Instant now) const noexcept { return now < this->limitEnd; }
    /// @return When the upstream is warm; in the past if it is.
    Instant coldUntil() const noexcept { return this->coldEnd; }
    /// @return When the limit ends; in the past if there is none.
    Instant limitedUntil() const noexcept { return this->limitEnd; }

    /// @return True if a request may be sent now.
    bool hasRoom(Instant now) const;
    /// Uses the current slot.
    void recordSent(Instant now);
    /// @param position Number of requests that are sent earlier.
    /// @return When a request can be sent; now if it can be sent at once.
    Instant sendTime(Instant now, std::size_t position) const;

private:
    /// @return Slots from the end of the warm-up to a time; negative before it.
    double slotsUntil(Instant time) const;
    /// @return Inverse of slotsUntil(), limitEnd at the latest.
    Instant timeOfSlots(double slots) const;
    /// @return When the slot with this number is due, counted from 1 at the first one after `countedFrom`.
    Instant slotTime(double number) const;
    /// @return Number of the latest slot; 0 if there was none since `countedFrom`.
    double latestSlot(Instant now) const;
    void countFrom(Instant now);

    double rate {};
    Instant coldEnd {};
    Instant limitEnd {};
    /// Fraction of a slot that had passed at `countedFrom`.
    double phase {};
    Instant countedFrom {};
};

}
