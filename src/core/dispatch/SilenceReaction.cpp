#include "core/dispatch/SilenceReaction.h"

#include "core/dispatch/ScaledDuration.h"
#include "core/dispatch/UnresponsiveUpstream.h"

#include <algorithm>
#include <utility>

namespace teaselturn {

void SilenceReaction::recordSent(Instant now, PendingDispatch& pending, DispatchUpstream& target)
{
    pending.silentAt = silentAfter(now, pending, target);
    if (!UnresponsiveUpstream::isConcerned(now, pending, target)) {
        return;
    }
    if (UnresponsiveUpstream::isUnresponsive(now, pending, target)) {
        pending.isTrial = true;
        target.load.responses().setTrial(true);
    }
    const auto overdueAt = now + UnresponsiveUpstream::tolerance(pending, target);
    if (overdueAt < pending.expiresAt) {
        pending.overdueAt = overdueAt;
        this->overdueChecks.emplace(overdueAt, pending.request.id);
    }
}

void SilenceReaction::recordEnded(Instant now, PendingDispatch& pending, std::optional<AttemptOutcome> outcome, Duration latency)
{
    auto& service = *pending.service;
    auto* const target = this->upstreams.find(pending.sentTo);
    this->clearOverdue(pending, target);
    if (std::exchange(pending.isTrial, false) && target != nullptr) {
        target->load.responses().setTrial(false);
    }
    if (outcome == AttemptOutcome::Overloaded) {
        service.suspicion.recordRefusal(now);
    } else if (outcome == AttemptOutcome::Answered) {
        service.silence.recordAnswered(latency);
        service.suspicion.recordAnswered(now);
        const bool isConcerned = target != nullptr && UnresponsiveUpstream::isConcerned(now, pending, *target);
        if (isConcerned && !service.item.isSharded) {
            service.inFlightPerSlot.recordAnswered(now, latency, service.suspicion.isSilent(now));
        }
    }
}

void SilenceReaction::recordExpired(Instant now, const PendingDispatch& pending)
{
    pending.service->silence.recordUnanswered(now - pending.sentAt);
    pending.service->suspicion.recordSilence(now);
}

void SilenceReaction::recordResponseStarted(PendingDispatch& pending)
{
    pending.silentAt.reset();
    auto* const target = this->upstreams.find(pending.sentTo);
    this->clearOverdue(pending, target);
    if (target != nullptr) {
        target->load.responses().recordResponseBegun();
    }
}

std::optional<PendingRequestId> SilenceReaction::takeOverdue(Instant now)
{
    if (this->overdueChecks.empty() || this->overdueChecks.begin()->first > now) {
        return std::nullopt;
    }
    const auto id = this->overdueChecks.begin()->second;
    this->overdueChecks.erase(this->overdueChecks.begin());
    return id;
}

void SilenceReaction::recordOverdue(Instant now, PendingDispatch& pending)
{
    pending.overdueAt.reset();
    pending.isOverdue = true;
    auto& service = *pending.service;
    const bool isServiceSilent = service.suspicion.recordOverdue(service.inFlight);
    auto* const target = this->upstreams.find(pending.sentTo);
    if (target == nullptr) {
        return;
    }
    target->load.responses().recordOverdue();
    if (target->load.responses().hasSeveralOverdue()) {
        target->load.recordSilence(now);
    } else if (!isServiceSilent) {
        return;
    }
    service.suspicion.recordSilence(now);
    service.inFlightPerSlot.recordSilence(now);
}

std::optional<Instant> SilenceReaction::silentAfter(Instant now, const PendingDispatch& pending, const DispatchUpstream& target)
{
    const auto& service = *pending.service;
    const auto usual = service.silence.silentAfter();
    if (!usual) {
        return std::nullopt;
    }
    // An upstream that is slow for all requests is given proportionally more time.
    const auto slowness = static_cast<double>(target.load.averageLatency().count()) / static_cast<double>(std::max<Duration::rep>(1, service.averageLatency.count()));
    const auto at = now + scaled(*usual, std::max(1.0, slowness));
    return at < pending.expiresAt ? std::optional { at } : std::nullopt;
}

bool SilenceReaction::canResendNow(Instant now, PendingDispatch& pending)
{
    auto& service = *pending.service;
    if (!mayRepeat(pending.route().kind) || pending.attempts >= pending.route().attempts || now + service.averageLatency > pending.expiresAt) {
        return false;
    }
    if (service.item.isSharded) {
        const auto* range = pending.findRange();
        const auto* owner = range == nullptr ? nullptr : this->upstreams.find(range->owner);
        // The owner is full if other requests use the limit that this silence has lowered.
        return owner != nullptr && owner->announcement.key == pending.sentTo && owner->load.hasCapacityAfterCancel(now) && !service.queues.contains(owner->announcement.key) && this->eligibility.mayServeKey(now, pending, *owner);
    }
    pending.excludedUpstreams.push_back(pending.sentTo);
    const bool hasOther = this->choice.choose(now, pending, this->upstreams, this->eligibility) != nullptr;
    pending.excludedUpstreams.pop_back();
    return hasOther && service.queue.empty();
}

bool SilenceReaction::mayGiveUp(Instant now, PendingDispatch& pending)
{
    pending.silentAt.reset();
    auto& service = *pending.service;
    if (auto* const target = this->upstreams.find(pending.sentTo)) {
        target->load.recordSilence(now);
    }
    return !service.silence.isObserved() && this->canResendNow(now, pending);
}

void SilenceReaction::clearOverdue(PendingDispatch& pending, DispatchUpstream* target)
{
    if (pending.overdueAt) {
        this->overdueChecks.erase({ *pending.overdueAt, pending.request.id });
        pending.overdueAt.reset();
    }
    if (std::exchange(pending.isOverdue, false)) {
        pending.service->suspicion.recordOverdueEnded();
        if (target != nullptr) {
            target->load.responses().recordOverdueEnded();
        }
    }
}

}
