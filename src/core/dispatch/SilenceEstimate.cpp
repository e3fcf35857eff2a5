#include "core/dispatch/SilenceEstimate.h"

#include <algorithm>
#include <span>

namespace teaselturn {

void SilenceEstimate::record(Attempt attempt)
{
    this->window[this->count % windowSize] = attempt;
    ++this->count;
    if (this->count >= minSamples && this->count % updateInterval == 0) {
        this->update();
    }
}

void SilenceEstimate::update()
{
    auto sorted = this->window;
    const std::span attempts { sorted.data(), std::min(this->count, windowSize) };
    std::ranges::sort(attempts, {}, &Attempt::waited);
    const auto answered = static_cast<std::size_t>(std::ranges::count(attempts, true, &Attempt::isAnswered));
    /// Share of attempts without a response by the time that attempt i waited.
    std::array<double, windowSize> unanswered {};
    double current = 1;
    std::size_t end = 0;
    for (; end + minAtRisk <= attempts.size(); ++end) {
        if (attempts[end].isAnswered) {
            current *= 1 - 1 / static_cast<double>(attempts.size() - end);
        }
        unanswered[end] = current;
    }
    std::size_t shorter = 0;
    const auto shortest = std::ranges::find_if(attempts, [&shorter, answered](const Attempt& attempt) { return attempt.isAnswered && static_cast<double>(++shorter) > shortShare * static_cast<double>(answered); });
    this->shortest = shortest == attempts.end() ? Duration::zero() : shortest->waited;
    const auto left = attempts.subspan(end);
    const auto silent = current * static_cast<double>(std::ranges::count(left, false, &Attempt::isAnswered)) / static_cast<double>(left.size());
    this->threshold.reset();
    if (silent <= 0) {
        return;
    }
    std::size_t seen = 0;
    for (std::size_t i = 0; i < end; ++i) {
        seen += attempts[i].isAnswered ? 1 : 0;
        if (attempts[i].isAnswered && static_cast<double>(seen) >= usualShare * static_cast<double>(answered) && unanswered[i] <= 2 * silent) {
            this->threshold = attempts[i].waited;
            return;
        }
    }
}

}
