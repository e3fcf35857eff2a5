#pragma once

#include "adapters/codec/RegistryCodec.h"
#include "core/registry/RegistryService.h"
#include "load-model/EventQueue.h"
#include "load-model/ModelRandom.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <utility>

namespace teaselturn::model {

/// The registry's decisions as one member takes them, on the simulated clock, and the copy that entry VMs have.
class RegistryModel {
public:
    /// @param changed Called after the copy changed.
    RegistryModel(EventQueue& events, std::uint64_t seed, RegistryOptions options, std::function<void()> changed)
        : events(events)
        , changed(std::move(changed))
        , service(firstState(), { self }, ModelRandom { seed }, {}, events.now(), options)
    {
        this->tick();
    }

    void changeItems(ChangeItems change)
    {
        this->service.changeItems(this->events.now(), ControlRequestId { ++this->lastRequestId }, std::move(change));
        this->drive();
    }

    void heartbeat(KeyHeartbeat heartbeat, const std::function<void(const KeyHeartbeatReply&)>& answered)
    {
        const ControlRequestId requestId { ++this->lastRequestId };
        this->waiting.emplace(requestId, answered);
        this->service.heartbeat(this->events.now(), requestId, std::move(heartbeat));
        this->drive();
    }

    void depart(const UpstreamKey& key)
    {
        this->service.depart(this->events.now(), ControlRequestId { ++this->lastRequestId }, key.name, key.incarnation);
        this->drive();
    }

    void report(NodeId entry, std::vector<ServiceKeyLoad> loads)
    {
        this->service.receive(this->events.now(), entry, KeyLoadReport { entry, std::move(loads) });
        this->drive();
    }

    const RegistryState& copy() const noexcept { return this->copied; }

private:
    static constexpr NodeId self { 1 };
    static constexpr std::chrono::milliseconds tickInterval { 25 };
    /// Time from a commit until entry VMs have it, across regions.
    static constexpr std::chrono::milliseconds feedDelay { 60 };

    static MemberState firstState()
    {
        MemberState state;
        state.node = self;
        state.disk = DiskId { 1 };
        state.initialMembers = { { self, DiskId { 1 }, true } };
        return state;
    }

    void tick()
    {
        this->service.tick(this->events.now());
        this->drive();
        this->events.after(tickInterval, [this] { this->tick(); });
    }

    void drive()
    {
        for (bool isDone = false; !isDone;) {
            auto effects = this->service.takeEffects(this->events.now());
            isDone = !effects.storage.needsWrite();
            if (!isDone) {
                this->service.persisted(this->events.now());
            }
            for (auto& applied : effects.applied) {
                this->events.after(feedDelay, [this, entry = std::move(applied.entry)] {
                    static_cast<void>(this->copied.apply(entry.index, entry.command));
                    this->changed();
                });
            }
            for (const auto& answer : effects.responses) {
                const auto found = this->waiting.find(answer.requestId);
                const auto* grants = std::get_if<KeyHeartbeatReply>(&answer.result);
                if (found != this->waiting.end()) {
                    auto answered = std::move(found->second);
                    this->waiting.erase(found);
                    this->events.after({}, [answered = std::move(answered), result = grants == nullptr ? KeyHeartbeatReply {} : *grants] { answered(result); });
                }
            }
        }
    }

    EventQueue& events;
    std::function<void()> changed;
    RegistryService<ModelRandom, BinaryRegistryCodec> service;
    RegistryState copied;
    std::uint64_t lastRequestId {};
    absl::flat_hash_map<ControlRequestId, std::function<void(const KeyHeartbeatReply&)>> waiting;
};

}
