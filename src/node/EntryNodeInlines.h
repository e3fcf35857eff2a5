#pragma once

#include "node/AppliedLog.h"
#include "node/EntryNode.h"

#include <algorithm>
#include <type_traits>

namespace teaselturn {

template <PeerSender Sender, Clock ClockType>
template <typename Input>
auto EntryNode<Sender, ClockType>::drive(Input&& input)
{
    EntryEffects effects;
    bool isRouteChanged = false;
    const auto settleAll = [&](Instant now) {
        this->mutex.assertHeld();
        const auto wasFreshBefore = this->wasFresh;
        effects = this->settle(now);
        isRouteChanged = effects.isRestored || !effects.applied.empty() || wasFreshBefore != this->wasFresh;
    };
    if constexpr (std::is_void_v<std::invoke_result_t<Input, Instant>>) {
        {
            const MutexLock lock { this->mutex };
            const auto now = this->clock.now();
            input(now);
            settleAll(now);
        }
        this->carryOut(effects, isRouteChanged);
    } else {
        auto result = [&] {
            const MutexLock lock { this->mutex };
            const auto now = this->clock.now();
            auto value = input(now);
            settleAll(now);
            return value;
        }();
        this->carryOut(effects, isRouteChanged);
        return result;
    }
}

template <PeerSender Sender, Clock ClockType>
void EntryNode<Sender, ClockType>::receive(NodeId from, const PeerMessage& message)
{
    this->drive([&](Instant now) {
        this->mutex.assertHeld();
        this->service.receive(now, from, message);
    });
}

template <PeerSender Sender, Clock ClockType>
void EntryNode<Sender, ClockType>::tick()
{
    this->drive([&](Instant now) {
        this->mutex.assertHeld();
        this->service.tick(now);
    });
}

template <PeerSender Sender, Clock ClockType>
template <typename Drain>
void EntryNode<Sender, ClockType>::reportLoad(Drain&& drain)
{
    {
        const MutexLock lock { this->mutex };
        if (!this->service.isLoadReported()) {
            return;
        }
    }
    LoadSummary summary = drain();
    const MutexLock lock { this->mutex };
    this->service.reportLoad(std::move(summary));
}

template <PeerSender Sender, Clock ClockType>
EntryEffects EntryNode<Sender, ClockType>::settle(Instant now)
{
    auto effects = this->service.takeEffects();
    const auto& state = this->service.state();
    const auto isBundle = [](const AppliedEntry& applied) { return std::holds_alternative<AcceptBundle>(applied.entry.command) || std::holds_alternative<AdvanceRollout>(applied.entry.command); };
    const auto mayHaveMoved = effects.isRestored || std::ranges::any_of(effects.applied, isBundle);
    if (mayHaveMoved) {
        this->setLocation();
        this->routes.rebuild(state, this->region);
        if (this->bundlesChanged) {
            this->bundlesChanged(state);
        }
    } else {
        for (const auto& applied : effects.applied) {
            this->routes.apply(state, applied, this->region);
        }
    }
    this->routes.setFreshUntil(this->service.tableFreshUntil());
    this->wasFresh = this->service.isTableFresh(now);
    for (auto& result : effects.finished) {
        if (const auto found = this->waiting.find(result.sequence); found != this->waiting.end()) {
            found->second = std::move(result);
        }
    }
    return effects;
}

template <PeerSender Sender, Clock ClockType>
void EntryNode<Sender, ClockType>::setLocation()
{
    const auto* accepted = this->service.state().acceptedBundle();
    if (accepted == nullptr) {
        return;
    }
    const auto& zones = accepted->bundle.zones;
    const auto zone = std::ranges::find(zones, this->names.zone, &ZoneSpec::name);
    if (zone != zones.end()) {
        this->region = zone->region;
        this->service.setLocation(zone->id, zone->region);
    }
}

template <PeerSender Sender, Clock ClockType>
void EntryNode<Sender, ClockType>::carryOut(const EntryEffects& effects, bool isRouteChanged)
{
    for (const auto& message : effects.messages) {
        this->sender.send(message.to, message.message);
    }
    if (isRouteChanged) {
        this->routes.notifyChanged();
    }
    if (!effects.finished.empty()) {
        this->finished.notifyAll();
    }
    if (this->logger != nullptr) {
        logApplied(*this->logger, effects.applied);
    }
}

template <PeerSender Sender, Clock ClockType>
std::optional<Heartbeat> EntryNode<Sender, ClockType>::translate(const HeartbeatMessage& message)
{
    const auto* inForce = this->service.state().bundleInForce(this->region);
    if (inForce == nullptr) {
        return std::nullopt;
    }
    const auto& bundle = inForce->bundle;
    const auto service = std::ranges::find(bundle.services, message.service, &ServiceSpec::name);
    const auto zone = std::ranges::find(bundle.zones, message.zone, &ZoneSpec::name);
    if (service == bundle.services.end() || zone == bundle.zones.end()) {
        return std::nullopt;
    }
    Heartbeat heartbeat { message.name, message.incarnation, message.sequence, SessionId { message.session }, service->id, zone->id, message.endpoint,
        message.requestSlots, message.connectionLimit, message.checksGrants, message.isLeaving, message.grantsVersion, {} };
    for (const auto& slot : message.released) {
        heartbeat.released.push_back({ SlotId { service->id, slot.slot }, Fence { slot.fence } });
    }
    return heartbeat;
}

template <PeerSender Sender, Clock ClockType>
HeartbeatReplyMessage EntryNode<Sender, ClockType>::heartbeat(const HeartbeatMessage& message)
{
    return this->drive([&](Instant now) {
        this->mutex.assertHeld();
        HeartbeatReplyMessage answer;
        answer.incarnation = message.incarnation;
        answer.sequence = message.sequence;
        const auto heartbeat = this->translate(message);
        if (!heartbeat) {
            answer.code = static_cast<std::uint32_t>(ResultCode::HeartbeatInvalid);
            return answer;
        }
        auto code = ResultCode::Ok;
        const auto reply = this->service.handleHeartbeat(now, *heartbeat, code);
        // The upstream counts the lease from before it asked, so counting from this instant covers it, and a delay
        // before the answer leaves cannot shorten what is counted here.
        this->service.handleHeartbeatReplySent(now, reply);
        const auto listed = [](const std::vector<SlotRelease>& slots) {
            std::vector<SlotMessage> list;
            list.reserve(slots.size());
            std::ranges::transform(slots, std::back_inserter(list), [](const SlotRelease& slot) { return SlotMessage { slot.slot.index, slot.fence.value }; });
            return list;
        };
        answer = { static_cast<std::uint32_t>(code), reply.incarnation, reply.sequence, reply.upstream.value, reply.session.value, static_cast<std::uint32_t>(reply.lease.count()),
            reply.grantsVersion, reply.grantsIncluded, listed(reply.grants), listed(reply.releaseWanted) };
        return answer;
    });
}

template <PeerSender Sender, Clock ClockType>
Result<ApplyOutcome> EntryNode<Sender, ClockType>::propose(Command command)
{
    const auto sequence = this->drive([&](Instant now) -> std::optional<std::uint64_t> {
        this->mutex.assertHeld();
        if (this->waiting.size() >= maxWaitingProposals) {
            return std::nullopt;
        }
        const auto number = this->service.propose(now, std::move(command));
        this->waiting.emplace(number, std::nullopt);
        return number;
    });
    if (!sequence) {
        return ResultCode::QueueFull;
    }
    const MutexLock lock { this->mutex };
    // The service gives every proposal up in the end, so this loop ends.
    while (!this->waiting.at(*sequence)) {
        this->finished.wait(this->mutex);
    }
    const auto result = std::move(*this->waiting.at(*sequence));
    this->waiting.erase(*sequence);
    if (result.code == ResultCode::NoQuorum) {
        return ResultCode::NoQuorum;
    }
    return result.outcome;
}

template <PeerSender Sender, Clock ClockType>
EntryView EntryNode<Sender, ClockType>::view()
{
    const MutexLock lock { this->mutex };
    const auto now = this->clock.now();
    return { this->service.isBehind(now), this->service.delegationEnd() - now, this->service.state().appliedIndex(), this->service.knownLeader() };
}

}
