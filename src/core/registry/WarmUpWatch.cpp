#include "core/registry/WarmUpWatch.h"

#include <algorithm>

namespace teaselturn {

namespace {

    /// An end that is later than the known one by less than this is the same: heartbeats take different times to arrive.
    /// A late heartbeat that exceeds it costs one needless command.
    constexpr std::chrono::milliseconds endTolerance { 300 };

}

const WarmUpWatch::Record* WarmUpWatch::find(const UpstreamKey& key) const
{
    const auto found = this->records.find(key.name);
    return found == this->records.end() || found->second.key != key ? nullptr : &found->second;
}

std::optional<BeginWarmUp> WarmUpWatch::commandFor(Instant now, const KeyHeartbeat& heartbeat, bool isRegistered, const RegistryState& state) const
{
    const auto& key = heartbeat.announcement.key;
    const auto* service = state.findService(heartbeat.announcement.service);
    if (service == nullptr || !service->hasWarmUp()) {
        return std::nullopt;
    }
    const BeginWarmUp command { key, heartbeat.warmUpLeft };
    const bool isCold = heartbeat.warmUpLeft > Duration::zero();
    const auto stated = state.warmUps().find(key);
    const auto* record = this->find(key);
    const bool isProposed = record != nullptr && record->isProposed;
    if (stated == state.warmUps().end() && !isProposed) {
        // Entry VMs take a new upstream for cold unless the registry says that it started warm.
        return isCold || !isRegistered ? std::optional { command } : std::nullopt;
    }
    if (record == nullptr) {
        const bool isWarmAsStated = !isCold && stated->second.timeLeft == Duration::zero();
        return isWarmAsStated ? std::nullopt : std::optional { command };
    }
    const bool isLater = isCold && (!record->coldUntil || now + heartbeat.warmUpLeft > *record->coldUntil + endTolerance);
    const bool hasEnded = !isCold && record->coldUntil;
    return isLater || hasEnded ? std::optional { command } : std::nullopt;
}

void WarmUpWatch::recordProposed(Instant now, const BeginWarmUp& command, Duration recoveryTime)
{
    const auto* previous = this->find(command.key);
    if (command.timeLeft > Duration::zero()) {
        const auto coldUntil = now + command.timeLeft;
        this->records[command.key.name] = Record { command.key, coldUntil, coldUntil + recoveryTime, true };
    } else {
        const auto limitedUntil = previous == nullptr ? now : std::min(previous->limitedUntil, now + recoveryTime);
        this->records[command.key.name] = Record { command.key, std::nullopt, limitedUntil, true };
    }
}

void WarmUpWatch::recordApplied(const BeginWarmUp& command)
{
    const auto found = this->records.find(command.key.name);
    if (found != this->records.end() && found->second.key == command.key) {
        found->second.isProposed = false;
    }
}

bool WarmUpWatch::isLimited(Instant now, const UpstreamKey& key, const RegistryState& state) const
{
    if (const auto* record = this->find(key)) {
        return now < record->limitedUntil;
    }
    const auto stated = state.warmUps().find(key);
    return stated != state.warmUps().end() && stated->second.timeLeft > Duration::zero();
}

}
