#include "load-model/UpstreamModel.h"

#include "core/dispatch/ScaledDuration.h"

#include <algorithm>
#include <cmath>

namespace teaselturn::model {

namespace {

    /// Calls visit(first, last) for each range of adjacent keys with the same non-zero value.
    template <typename Visit>
    void forEachRun(const std::vector<std::uint64_t>& values, Visit visit)
    {
        for (std::size_t first = 0; first < values.size();) {
            auto end = first + 1;
            while (end < values.size() && values[end] == values[first]) {
                ++end;
            }
            if (values[first] != 0) {
                visit(static_cast<KeyNumber>(first), static_cast<KeyNumber>(end - 1));
            }
            first = end;
        }
    }

}

UpstreamModel::UpstreamModel(EventQueue& events, ModelRandom& random, const Pattern& pattern, RegisterUpstream announcement, double speed)
    : events(events)
    , random(random)
    , pattern(pattern)
    , announcement(std::move(announcement))
    , ownSpeed(speed)
    , startedAt(events.now())
    , fences(keyNumberCount)
    , isGranted(keyNumberCount)
{
}

bool UpstreamModel::holds(std::optional<KeyNumber> requestedKey) const noexcept
{
    return !requestedKey || (this->isGranted[*requestedKey] && this->events.now() < this->leaseEnd);
}

std::optional<ReportedLoad> UpstreamModel::load() const
{
    if (!this->pattern.reportsLoad) {
        return std::nullopt;
    }
    const auto factor = this->slowness * (this->events.now() < this->slowUntil ? this->momentarySlowness : 1);
    return ReportedLoad { this->running, static_cast<std::uint32_t>(this->waiting.size()), this->pattern.slots, static_cast<std::uint32_t>(std::lround(100 * factor)) };
}

void UpstreamModel::receive(UpstreamWork work)
{
    if (this->hasStopped) {
        work.onEnded(AttemptOutcome::NotSent, std::nullopt);
        return;
    }
    if (this->isPartitioned) {
        ++this->ignoredRequests;
        return;
    }
    ++this->arrived;
    ++this->windows[windowOf(this->events.now())];
    if (!this->holds(work.key)) {
        ++this->misdirections;
        work.onEnded(AttemptOutcome::Misdirected, this->load());
        return;
    }
    const bool isRefused = this->refusedShare > 0 && this->random.share() < this->refusedShare;
    if (isRefused || (this->running >= this->pattern.slots && this->waiting.size() >= this->pattern.queueLength)) {
        if (this->pattern.isSilentWhenFull) {
            ++this->ignoredRequests;
        } else {
            work.onEnded(AttemptOutcome::Overloaded, this->load());
        }
    } else if (this->running < this->pattern.slots) {
        this->begin(std::move(work));
    } else {
        this->waiting.push_back(std::move(work));
    }
}

void UpstreamModel::cancel(std::uint64_t number)
{
    std::erase_if(this->waiting, [number](const UpstreamWork& work) { return work.number == number; });
}

Duration UpstreamModel::drawWorkingTime(double mean)
{
    constexpr double tailShare = 0.03;
    constexpr double tailFactor = 7;
    auto length = mean;
    switch (this->pattern.workDistribution) {
    case WorkDistribution::Gamma:
        length = this->random.workingTime(mean);
        break;
    case WorkDistribution::Constant:
        break;
    case WorkDistribution::Uniform:
        length = mean * this->random.between(1 - this->pattern.workSpread, 1 + this->pattern.workSpread);
        break;
    case WorkDistribution::LongTail:
        length = this->random.workingTime(mean / (1 + tailShare * (tailFactor - 1))) * (this->random.share() < tailShare ? tailFactor : 1);
        break;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { length });
}

void UpstreamModel::begin(UpstreamWork work)
{
    ++this->running;
    if (work.key) {
        ++this->busyKeys[*work.key];
    }
    const bool isCold = this->events.now() - this->startedAt < this->pattern.coldTime;
    const auto saturationFactor = 1 + this->pattern.saturationSlowdown * (this->running - 1) / this->pattern.slots;
    const auto mean = std::chrono::duration<double> { work.work }.count() * this->slowness * saturationFactor * (isCold ? this->pattern.coldFactor : 1) / this->ownSpeed;
    auto length = this->drawWorkingTime(mean);
    if (const auto slowTime = this->slowUntil - this->events.now(); slowTime > Duration::zero()) {
        length = std::min(scaled(length, this->momentarySlowness), slowTime + std::max<Duration>(length - scaled(slowTime, 1 / this->momentarySlowness), Duration::zero()));
    }
    this->events.after(length, [this, key = work.key, onEnded = std::move(work.onEnded)] {
        this->finish(key);
        onEnded(AttemptOutcome::Answered, this->load());
    });
}

void UpstreamModel::finish(const std::optional<KeyNumber>& finishedKey)
{
    --this->running;
    if (finishedKey && --this->busyKeys[*finishedKey] == 0) {
        this->busyKeys.erase(*finishedKey);
    }
    while (!this->waiting.empty() && this->running < this->pattern.slots) {
        auto work = std::move(this->waiting.front());
        this->waiting.pop_front();
        if (work.deadline < this->events.now()) {
            continue;
        }
        if (this->holds(work.key)) {
            this->begin(std::move(work));
        } else {
            ++this->misdirections;
            work.onEnded(AttemptOutcome::Misdirected, this->load());
        }
    }
}

KeyHeartbeat UpstreamModel::heartbeat()
{
    KeyHeartbeat heartbeat { this->announcement, ++this->sequence, {}, std::exchange(this->released, {}) };
    forEachRun(this->fences, [&](KeyNumber first, KeyNumber last) { heartbeat.held.push_back({ first, last, Fence { this->fences[first] } }); });
    return heartbeat;
}

bool UpstreamModel::handleReply(Instant sentAt, const KeyHeartbeatReply& reply)
{
    if (!reply.hasGrants || this->hasStopped) {
        return false;
    }
    this->leaseEnd = sentAt + reply.lease;
    std::vector<std::uint64_t> grantedFences(keyNumberCount);
    for (const auto& range : reply.grants) {
        std::fill(grantedFences.begin() + range.first, grantedFences.begin() + range.last + 1, range.fence.value);
    }
    std::vector<std::uint64_t> keysToRelease(keyNumberCount);
    bool isBusy = false;
    for (std::size_t key = 0; key < keyNumberCount; ++key) {
        this->isGranted[key] = grantedFences[key] != 0;
        if (this->fences[key] != 0 && grantedFences[key] == 0) {
            if (this->busyKeys.contains(static_cast<KeyNumber>(key))) {
                isBusy = true;
                continue;
            }
            keysToRelease[key] = 1;
        }
        this->fences[key] = grantedFences[key];
    }
    forEachRun(keysToRelease, [this](KeyNumber first, KeyNumber last) { this->released.push_back({ first, last, "handover" }); });
    return isBusy || !this->released.empty();
}

}
