#include "core/dispatch/WarmUpLimit.h"

#include <algorithm>
#include <cmath>

namespace teaselturn {

namespace {

    double seconds(Duration duration) { return std::chrono::duration<double> { duration }.count(); }

    /// Rounds up, so that a slot is never due before its time.
    Duration fromSeconds(double value) { return std::chrono::ceil<Duration>(std::chrono::duration<double> { value }); }

    const double recoveryExponent = std::log(WarmUpLimit::recoveryFactor);

}

double WarmUpLimit::slotsUntil(Instant time) const
{
    if (time <= this->coldEnd) {
        return this->rate * seconds(time - this->coldEnd);
    }
    const auto recoveryTime = seconds(this->limitEnd - this->coldEnd);
    const auto elapsed = seconds(std::min(time, this->limitEnd) - this->coldEnd);
    return this->rate * recoveryTime / recoveryExponent * std::expm1(recoveryExponent * elapsed / recoveryTime);
}

Instant WarmUpLimit::timeOfSlots(double slots) const
{
    if (this->rate <= 0 || slots >= this->slotsUntil(this->limitEnd)) {
        return this->limitEnd;
    }
    if (slots <= 0) {
        return this->coldEnd + fromSeconds(slots / this->rate);
    }
    const auto recoveryTime = seconds(this->limitEnd - this->coldEnd);
    const auto elapsed = recoveryTime / recoveryExponent * std::log1p(slots * recoveryExponent / (this->rate * recoveryTime));
    return std::min(this->limitEnd, this->coldEnd + fromSeconds(elapsed));
}

Instant WarmUpLimit::slotTime(double number) const
{
    return this->timeOfSlots(this->slotsUntil(this->countedFrom) + number - this->phase);
}

double WarmUpLimit::latestSlot(Instant now) const
{
    // The sum is exact except for rounding, which may miss the true number by one.
    auto number = std::max(0.0, std::floor(this->phase + this->slotsUntil(now) - this->slotsUntil(this->countedFrom)));
    while (number > 0 && this->slotTime(number) > now) {
        --number;
    }
    while (now < this->limitEnd && this->slotTime(number + 1) <= now) {
        ++number;
    }
    return number;
}

void WarmUpLimit::countFrom(Instant now)
{
    const auto passed = this->phase + this->slotsUntil(now) - this->slotsUntil(this->countedFrom);
    this->phase = std::clamp(passed - this->latestSlot(now), 0.0, 1.0);
    this->countedFrom = now;
}

void WarmUpLimit::begin(Instant now, Instant coldUntil, Duration recoveryTime, double newRate, double initialPhase)
{
    if (this->isLimited(now)) {
        this->countFrom(now);
    } else {
        this->phase = initialPhase;
        this->countedFrom = now;
    }
    this->rate = newRate;
    this->coldEnd = coldUntil;
    this->limitEnd = coldUntil + recoveryTime;
}

void WarmUpLimit::endWarmUp(Instant now)
{
    if (this->isCold(now)) {
        this->begin(now, now, this->limitEnd - this->coldEnd, this->rate, this->phase);
    }
}

bool WarmUpLimit::hasRoom(Instant now) const
{
    if (!this->isLimited(now)) {
        return true;
    }
    const auto number = this->latestSlot(now);
    return number > 0 && now - this->slotTime(number) < slotValidity;
}

void WarmUpLimit::recordSent(Instant now)
{
    if (this->isLimited(now)) {
        this->countFrom(now);
    }
}

Instant WarmUpLimit::sendTime(Instant now, std::size_t position) const
{
    if (!this->isLimited(now)) {
        return now;
    }
    const auto hasSlot = this->hasRoom(now);
    if (hasSlot && position == 0) {
        return now;
    }
    return this->slotTime(this->latestSlot(now) + static_cast<double>(position) + (hasSlot ? 0 : 1));
}

}
