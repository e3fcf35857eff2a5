#pragma once

#include "core/registry/RegistryService.h"

#include <utility>

/// Heartbeats of RegistryService, with replies that are delayed until the sender's keys change or a deadline passes.
namespace teaselturn {

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::heartbeat(Instant now, ControlRequestId requestId, KeyHeartbeat heartbeat)
{
    if (auto redirect = this->redirectForRead(now)) {
        this->respond(requestId, std::move(*redirect));
        return;
    }
    const auto* service = this->registry.findService(heartbeat.announcement.service);
    if (service != nullptr && service->isSharded && !heartbeat.listsKeys) {
        // Another writer's: it must not register a new incarnation, which would end the lease of the present one.
        this->respond(requestId, HeartbeatRefused {});
        return;
    }
    if (auto command = this->coordinator.registrationFor(heartbeat, this->registry)) {
        const bool hasItems = this->registry.itemsChangedAt() != LogIndex {};
        if (hasItems && service == nullptr) {
            // No route leads to the service, and a registration would take the address from the upstream that has it.
            this->respond(requestId, KeyHeartbeatReply {});
            return;
        }
        const auto* registered = this->registry.findUpstream(heartbeat.announcement.key.name);
        const bool isRegistered = registered != nullptr && registered->announcement.key == heartbeat.announcement.key && registered->state != UpstreamState::Dead;
        if (!this->propose(now, std::move(*command), HeartbeatWaiter { requestId, heartbeat })) {
            this->respond(requestId, LeaderUnavailable {});
        } else if (!isRegistered) {
            // Committed together with the registration, so that entry VMs learn both at the same time.
            this->proposeWarmUp(now, heartbeat, false);
        }
        return;
    }
    this->handleRegisteredHeartbeat(now, requestId, std::move(heartbeat));
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::proposeWarmUp(Instant now, const KeyHeartbeat& heartbeat, bool isRegistered)
{
    auto& warmUps = this->coordinator.warmUps();
    const auto command = warmUps.commandFor(now, heartbeat, isRegistered, this->registry);
    if (command && this->propose(now, *command, NoWaiter {})) {
        const auto* service = this->registry.findService(heartbeat.announcement.service);
        warmUps.recordProposed(now, *command, service == nullptr ? Duration::zero() : service->warmUpTime);
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::handleRegisteredHeartbeat(Instant now, ControlRequestId requestId, KeyHeartbeat heartbeat)
{
    const auto& announcement = heartbeat.announcement;
    const auto* registered = this->registry.findUpstream(announcement.key.name);
    const bool isKnown = registered != nullptr && registered->announcement.key == announcement.key;
    if (!isKnown || !this->coordinator.recordHeartbeat(now, heartbeat)) {
        this->respond(requestId, KeyHeartbeatReply {});
        return;
    }
    this->proposeWarmUp(now, heartbeat, true);
    this->coordinator.recordReleases(now, heartbeat, this->registry);
    const auto* service = this->registry.findService(announcement.service);
    const bool mayHoldKeys = service != nullptr && service->isSharded && this->registry.isAlive(announcement.key);
    if (!mayHoldKeys || this->coordinator.hasUpdate(heartbeat, this->registry)) {
        // A reply to the earlier heartbeat that is made after this one could be taken in its place.
        if (const auto earlier = this->heldHeartbeats.take(announcement.key.name)) {
            this->respond(earlier->requestId, KeyHeartbeatReply {});
        }
        this->respond(requestId, this->coordinator.makeReply(heartbeat, this->registry));
        return;
    }
    const auto replyBy = now + (announcement.isDraining ? this->options.leases.drainingReplyHold : this->options.leases.replyHold);
    this->coordinator.recordDelayedReply(announcement.key, replyBy);
    if (const auto earlier = this->heldHeartbeats.add({ requestId, std::move(heartbeat), replyBy })) {
        this->respond(earlier->requestId, KeyHeartbeatReply {});
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::replyToHeartbeats(Instant now)
{
    const auto redirect = this->redirectForRead(now);
    const auto respondToHeld = [&](const auto& held) {
        this->respond(held->requestId, redirect ? *redirect : ControlResult { this->coordinator.makeReply(held->heartbeat, this->registry) });
    };
    for (const auto& name : std::exchange(this->updatedUpstreams, {})) {
        if (const auto held = this->heldHeartbeats.take(name)) {
            respondToHeld(held);
        }
    }
    while (const auto held = redirect ? this->heldHeartbeats.takeAny() : this->heldHeartbeats.takeDue(now)) {
        respondToHeld(held);
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::recordUpdatedUpstreams(const Command& command)
{
    if (const auto* assigned = std::get_if<AssignKeyRanges>(&command)) {
        for (const auto& grant : assigned->grants) {
            this->updatedUpstreams.insert(grant.owner.name);
        }
    } else if (const auto* begun = std::get_if<BeginKeyMoves>(&command)) {
        for (const auto& move : begun->moves) {
            if (const auto* range = this->registry.findRange(begun->service, move.first)) {
                this->updatedUpstreams.insert(range->owner.name);
            }
        }
    } else if (const auto* removed = std::get_if<RemoveUpstream>(&command)) {
        this->updatedUpstreams.insert(removed->key.name);
    } else if (const auto* registered = std::get_if<RegisterUpstream>(&command)) {
        this->updatedUpstreams.insert(registered->key.name);
    } else if (const auto* warmUp = std::get_if<BeginWarmUp>(&command)) {
        this->coordinator.warmUps().recordApplied(*warmUp);
    }
}

}
