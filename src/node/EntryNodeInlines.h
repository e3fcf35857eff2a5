#pragma once

#include "node/AppliedLog.h"
#include "node/EntryNode.h"

#include <algorithm>
#include <type_traits>

namespace teaselturn {

template <PeerSender Sender, Clock ClockType>
template <typename Input>
auto EntryNode<Sender, ClockType>::processInput(Input&& input)
{
    EntryEffects effects;
    bool isRouteChanged = false;
    const auto collect = [&](Instant now) {
        this->mutex.assertHeld();
        const auto wasTableFreshBefore = this->wasTableFresh;
        effects = this->collectEffects(now);
        isRouteChanged = effects.isRestored || !effects.applied.empty() || wasTableFreshBefore != this->wasTableFresh;
    };
    if constexpr (std::is_void_v<std::invoke_result_t<Input, Instant>>) {
        {
            const MutexLock lock { this->mutex };
            const auto now = this->clock.now();
            input(now);
            collect(now);
        }
        this->executeEffects(effects, isRouteChanged);
    } else {
        auto result = [&] {
            const MutexLock lock { this->mutex };
            const auto now = this->clock.now();
            auto value = input(now);
            collect(now);
            return value;
        }();
        this->executeEffects(effects, isRouteChanged);
        return result;
    }
}

template <PeerSender Sender, Clock ClockType>
void EntryNode<Sender, ClockType>::receive(NodeId from, const PeerMessage& message)
{
    this->processInput([&](Instant now) {
        this->mutex.assertHeld();
        this->service.receive(now, from, message);
    });
}

template <PeerSender Sender, Clock ClockType>
void EntryNode<Sender, ClockType>::tick()
{
    this->processInput([&](Instant now) {
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
EntryEffects EntryNode<Sender, ClockType>::collectEffects(Instant now)
{
    auto effects = this->service.takeEffects();
    const auto& state = this->service.state();
    const auto isBundle = [](const AppliedEntry& applied) { return std::holds_alternative<AcceptBundle>(applied.entry.command) || std::holds_alternative<AdvanceRollout>(applied.entry.command); };
    const auto mayHaveNewLocation = effects.isRestored || std::ranges::any_of(effects.applied, isBundle);
    if (mayHaveNewLocation) {
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
    this->wasTableFresh = this->service.isTableFresh(now);
    for (auto& result : effects.finished) {
        if (const auto found = this->pendingProposals.find(result.sequence); found != this->pendingProposals.end()) {
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
void EntryNode<Sender, ClockType>::executeEffects(const EntryEffects& effects, bool isRouteChanged)
{
    for (const auto& message : effects.messages) {
        this->sender.send(message.to, message.message);
    }
    if (isRouteChanged) {
        this->routes.notifyChanged();
    }
    if (!effects.finished.empty()) {
        this->proposalCompleted.notifyAll();
    }
    if (this->logger != nullptr) {
        logApplied(*this->logger, effects.applied);
    }
}

template <PeerSender Sender, Clock ClockType>
std::optional<Heartbeat> EntryNode<Sender, ClockType>::toHeartbeat(const HeartbeatMessage& message)
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
HeartbeatReplyMessage EntryNode<Sender, ClockType>::handleHeartbeat(const HeartbeatMessage& message)
{
    return this->processInput([&](Instant now) {
        this->mutex.assertHeld();
        HeartbeatReplyMessage replyMessage;
        replyMessage.incarnation = message.incarnation;
        replyMessage.sequence = message.sequence;
        const auto heartbeat = this->toHeartbeat(message);
        if (!heartbeat) {
            replyMessage.code = static_cast<std::uint32_t>(ResultCode::HeartbeatInvalid);
            return replyMessage;
        }
        auto code = ResultCode::Ok;
        const auto reply = this->service.handleHeartbeat(now, *heartbeat, code);
        // The upstream counts its lease from before it sent the heartbeat. Counting from this instant therefore covers
        // the whole lease, and a delay before the reply is sent cannot shorten the lease recorded here.
        this->service.handleHeartbeatReplySent(now, reply);
        const auto toSlotMessages = [](const std::vector<SlotRelease>& slots) {
            std::vector<SlotMessage> list;
            list.reserve(slots.size());
            std::ranges::transform(slots, std::back_inserter(list), [](const SlotRelease& slot) { return SlotMessage { slot.slot.index, slot.fence.value }; });
            return list;
        };
        replyMessage = { static_cast<std::uint32_t>(code), reply.incarnation, reply.sequence, reply.upstream.value, reply.session.value, static_cast<std::uint32_t>(reply.lease.count()),
            reply.grantsVersion, reply.grantsIncluded, toSlotMessages(reply.grants), toSlotMessages(reply.releaseWanted) };
        return replyMessage;
    });
}

template <PeerSender Sender, Clock ClockType>
Result<ApplyOutcome> EntryNode<Sender, ClockType>::propose(Command command)
{
    const auto sequence = this->processInput([&](Instant now) -> std::optional<std::uint64_t> {
        this->mutex.assertHeld();
        if (this->pendingProposals.size() >= maxPendingProposals) {
            return std::nullopt;
        }
        const auto number = this->service.propose(now, std::move(command));
        this->pendingProposals.emplace(number, std::nullopt);
        return number;
    });
    if (!sequence) {
        return ResultCode::QueueFull;
    }
    const MutexLock lock { this->mutex };
    // The service abandons every proposal after a timeout, so this loop ends.
    while (!this->pendingProposals.at(*sequence)) {
        this->proposalCompleted.wait(this->mutex);
    }
    const auto result = std::move(*this->pendingProposals.at(*sequence));
    this->pendingProposals.erase(*sequence);
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
