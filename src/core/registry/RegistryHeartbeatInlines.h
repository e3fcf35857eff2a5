#pragma once

#include "core/registry/RegistryService.h"

#include <utility>

/// Heartbeats of RegistryService: what they tell, and answers that wait for news.
namespace teaselturn {

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::heartbeat(Instant now, ControlRequestId requestId, KeyHeartbeat heartbeat)
{
    if (auto refusal = this->redirectForRead(now)) {
        this->answer(requestId, std::move(*refusal));
        return;
    }
    if (auto command = this->coordinator.registration(heartbeat, this->registry)) {
        if (!this->propose(now, std::move(*command), WaitingHeartbeat { requestId, std::move(heartbeat) })) {
            this->answer(requestId, LeaderUnavailable {});
        }
        return;
    }
    this->takeHeartbeat(now, requestId, std::move(heartbeat));
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::takeHeartbeat(Instant now, ControlRequestId requestId, KeyHeartbeat heartbeat)
{
    const auto& announcement = heartbeat.announcement;
    const auto* registered = this->registry.findUpstream(announcement.key.name);
    const bool isKnown = registered != nullptr && registered->announcement.key == announcement.key;
    if (!isKnown || !this->coordinator.note(now, heartbeat)) {
        this->answer(requestId, KeyHeartbeatReply {});
        return;
    }
    this->coordinator.takeReleases(now, heartbeat, this->registry);
    const auto* service = this->registry.findService(announcement.service);
    const bool mayHoldKeys = service != nullptr && service->isSharded && this->registry.isAlive(announcement.key);
    if (!mayHoldKeys || this->coordinator.hasNews(heartbeat, this->registry)) {
        this->answer(requestId, this->coordinator.answer(heartbeat, this->registry));
        return;
    }
    const auto answerBy = now + (announcement.isDraining ? this->options.leases.leavingAnswerHold : this->options.leases.answerHold);
    this->coordinator.answerHeld(announcement.key, answerBy);
    if (const auto earlier = this->heldHeartbeats.add({ requestId, std::move(heartbeat), answerBy })) {
        this->answer(earlier->requestId, KeyHeartbeatReply {});
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::answerHeartbeats(Instant now)
{
    const auto refusal = this->redirectForRead(now);
    const auto answerHeld = [&](const auto& held) {
        this->answer(held->requestId, refusal ? *refusal : ControlResult { this->coordinator.answer(held->heartbeat, this->registry) });
    };
    for (const auto& name : std::exchange(this->upstreamsWithNews, {})) {
        if (const auto held = this->heldHeartbeats.take(name)) {
            answerHeld(held);
        }
    }
    while (const auto held = refusal ? this->heldHeartbeats.takeAny() : this->heldHeartbeats.takeDue(now)) {
        answerHeld(held);
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::noteNews(const Command& command)
{
    if (const auto* assigned = std::get_if<AssignKeyRanges>(&command)) {
        for (const auto& grant : assigned->grants) {
            this->upstreamsWithNews.insert(grant.owner.name);
        }
    } else if (const auto* begun = std::get_if<BeginKeyMoves>(&command)) {
        for (const auto& move : begun->moves) {
            if (const auto* range = this->registry.findRange(begun->service, move.first)) {
                this->upstreamsWithNews.insert(range->owner.name);
            }
        }
    } else if (const auto* removed = std::get_if<RemoveUpstream>(&command)) {
        this->upstreamsWithNews.insert(removed->key.name);
    } else if (const auto* registered = std::get_if<RegisterUpstream>(&command)) {
        this->upstreamsWithNews.insert(registered->key.name);
    }
}

}
