#pragma once

#include "adapters/codec/RegistryCodec.h"
#include "core/registry/RegistryService.h"
#include "load-model/EventQueue.h"
#include "load-model/ModelRandom.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <utility>

namespace teaselturn::model {

/// Runs a RegistryService with a single ledger member on the simulated clock, and the replica of its state that entry
/// VMs receive over the feed.
class RegistryModel {
public:
    /// @param onReplicaChanged Called after each change of the replica.
    RegistryModel(EventQueue& events, std::uint64_t seed, RegistryOptions options, std::function<void()> onReplicaChanged)
        : events(events)
        , onReplicaChanged(std::move(onReplicaChanged))
        , service(initialState(), { self }, ModelRandom { seed }, {}, events.now(), options)
    {
        this->tick();
    }

    void changeItems(ChangeItems change)
    {
        this->service.changeItems(this->events.now(), ControlRequestId { ++this->lastRequestId }, std::move(change));
        this->executeEffects();
    }

    void heartbeat(KeyHeartbeat heartbeat, const std::function<void(const KeyHeartbeatReply&)>& onReply)
    {
        const ControlRequestId requestId { ++this->lastRequestId };
        this->pendingHeartbeats.emplace(requestId, onReply);
        this->service.heartbeat(this->events.now(), requestId, std::move(heartbeat));
        this->executeEffects();
    }

    void depart(const UpstreamKey& key)
    {
        this->service.depart(this->events.now(), ControlRequestId { ++this->lastRequestId }, key.name, key.incarnation);
        this->executeEffects();
    }

    void report(NodeId entry, std::vector<ServiceKeyLoad> loads)
    {
        this->service.receive(this->events.now(), entry, KeyLoadReport { entry, std::move(loads) });
        this->executeEffects();
    }

    const RegistryState& replicaState() const noexcept { return this->replica; }

private:
    static constexpr NodeId self { 1 };
    static constexpr std::chrono::milliseconds tickInterval { 25 };
    /// Delay between a commit and its application on entry VMs, across regions.
    static constexpr std::chrono::milliseconds feedDelay { 60 };

    static MemberState initialState()
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
        this->executeEffects();
        this->events.after(tickInterval, [this] { this->tick(); });
    }

    void executeEffects()
    {
        for (bool isDone = false; !isDone;) {
            auto effects = this->service.takeEffects(this->events.now());
            isDone = !effects.storage.needsWrite();
            if (!isDone) {
                this->service.persisted(this->events.now());
            }
            for (auto& applied : effects.applied) {
                this->events.after(feedDelay, [this, entry = std::move(applied.entry)] {
                    static_cast<void>(this->replica.apply(entry.index, entry.command));
                    this->onReplicaChanged();
                });
            }
            for (const auto& response : effects.responses) {
                const auto found = this->pendingHeartbeats.find(response.requestId);
                const auto* reply = std::get_if<KeyHeartbeatReply>(&response.result);
                if (found != this->pendingHeartbeats.end()) {
                    auto onReply = std::move(found->second);
                    this->pendingHeartbeats.erase(found);
                    this->events.after({}, [onReply = std::move(onReply), result = reply == nullptr ? KeyHeartbeatReply {} : *reply] { onReply(result); });
                }
            }
        }
    }

    EventQueue& events;
    std::function<void()> onReplicaChanged;
    RegistryService<ModelRandom, BinaryRegistryCodec> service;
    RegistryState replica;
    std::uint64_t lastRequestId {};
    absl::flat_hash_map<ControlRequestId, std::function<void(const KeyHeartbeatReply&)>> pendingHeartbeats;
};

}
