#pragma once

#include "adapters/codec/RegistryCodec.h"
#include "adapters/log/Logger.h"
#include "adapters/peer/PeerTable.h"
#include "adapters/random/SystemRandom.h"
#include "core/Mutex.h"
#include "core/registry/RegistryService.h"
#include "node/LedgerNode.h"
#include "teaselturn/Ports.h"

#include <functional>
#include <utility>

namespace teaselturn {

/// Callbacks of a RegistryNode. They are called with no lock held.
struct RegistryCallbacks {
    std::function<void(ControlResponse response)> onResponse;
    /// The member cannot continue because its disk failed or its state cannot be read.
    std::function<void(const Failure& failure)> onFailure;
};

/// Runs the I/O of a registry member. Any thread may pass in messages, control requests and ticks. A thread that finds
/// no other thread executing effects executes them itself; otherwise it leaves its effects to that thread. So writes
/// keep one order, no lock is held during I/O, and the node needs no thread of its own.
/// @tparam Sender Sends messages to other processes.
/// @tparam Store Stores the log and its snapshots.
/// @tparam ClockType Always read under the lock.
template <PeerSender Sender, LogStore Store, Clock ClockType>
class RegistryNode {
public:
    using Service = RegistryService<SystemRandom, BinaryRegistryCodec>;

    static constexpr std::chrono::milliseconds tickInterval { 25 };

    /// The references must outlive the node.
    RegistryNode(Sender& sender, Store store, MemberState state, std::vector<NodeId> seeds, const ClockType& clock, Logger& logger, RegistryCallbacks callbacks, RegistryOptions options = {})
        : sender(sender)
        , store(std::move(store))
        , clock(clock)
        , logger(logger)
        , callbacks(std::move(callbacks))
        , service(std::move(state), std::move(seeds), SystemRandom {}, BinaryRegistryCodec {}, clock.now(), options)
    {
    }

    /// @return SnapshotCorrupt if the state passed to the constructor cannot be read.
    Status checkStart()
    {
        const MutexLock lock { this->mutex };
        const auto& failure = this->service.startFailure();
        return failure ? Status { *failure } : success();
    }

    /// Replaces the members to which the process sends join requests while it is not a member.
    void setSeeds(std::span<const NodeId> seeds)
    {
        const MutexLock lock { this->mutex };
        this->service.setSeeds(seeds);
    }

    void tick()
    {
        this->processInput([this](Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { this->service.tick(now); });
    }

    void receive(NodeId from, const PeerMessage& message)
    {
        this->processInput([&](Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { this->service.receive(now, from, message); });
    }

    void heartbeat(ControlRequestId requestId, KeyHeartbeat heartbeat)
    {
        this->processInput([&](Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { this->service.heartbeat(now, requestId, std::move(heartbeat)); });
    }

    void depart(ControlRequestId requestId, std::string_view upstream, std::optional<std::uint64_t> incarnation)
    {
        this->processInput([&](Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { this->service.depart(now, requestId, upstream, incarnation); });
    }

    void changeItems(ControlRequestId requestId, ChangeItems change)
    {
        this->processInput([&](Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { this->service.changeItems(now, requestId, std::move(change)); });
    }

    void evacuate(ControlRequestId requestId, EvacuateZone order)
    {
        this->processInput([&](Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { this->service.evacuate(now, requestId, std::move(order)); });
    }

    /// Calls read with the state if this member is the leader. The lock is held during the call.
    /// @return Nothing if read was called, otherwise a redirect to the leader or LeaderUnavailable.
    template <typename Read>
    std::optional<ControlResult> read(Read&& read)
    {
        const MutexLock lock { this->mutex };
        auto refusal = this->service.redirectForRead(this->clock.now());
        if (!refusal) {
            std::forward<Read>(read)(this->service.state());
        }
        return refusal;
    }

private:
    template <typename Input>
    void processInput(Input&& input)
    {
        this->mutex.lock();
        input(this->clock.now());
        this->hasNewInput = true;
        if (this->isExecuting || this->isFailed) {
            this->mutex.unlock();
            return;
        }
        this->isExecuting = true;
        while (this->hasNewInput && !this->isFailed) {
            this->hasNewInput = false;
            auto effects = this->service.takeEffects(this->clock.now());
            const auto role = this->service.ledgerMember().role();
            const auto term = this->service.ledgerMember().term();
            const auto failure = this->service.startFailure();
            const bool isConfirmed = this->service.isConfirmedMember(this->clock.now());
            this->mutex.unlock();
            this->logRole(role, term);
            this->logMembership(isConfirmed);
            const bool isWritten = !failure && this->executeEffects(effects);
            if (failure) {
                this->handleFailure(*failure);
            }
            this->mutex.lock();
            this->isFailed = !isWritten;
        }
        this->isExecuting = false;
        this->mutex.unlock();
    }

    /// @return False if the disk failed.
    bool executeEffects(RegistryEffects& effects)
    {
        for (auto& response : effects.responses) {
            this->callbacks.onResponse(std::move(response));
        }
        for (const auto& message : effects.immediate) {
            this->sender.send(message.to, message.message);
        }
        this->logApplied(effects.applied);
        if (effects.storage.needsWrite()) {
            if (const auto written = this->store.write(effects.storage); !written) {
                this->handleFailure(written.failure());
                return false;
            }
            const MutexLock lock { this->mutex };
            this->service.persisted(this->clock.now());
            this->hasNewInput = true;
        }
        for (const auto& message : effects.afterPersist) {
            this->sender.send(message.to, message.message);
        }
        if (!effects.snapshot) {
            return true;
        }
        if (const auto saved = this->store.saveSnapshot(*effects.snapshot); !saved) {
            this->handleFailure(saved.failure());
            return false;
        }
        this->logger.log(LogEvent::SnapshotWritten, "", { { "index", effects.snapshot->lastIndex }, { "bytes", effects.snapshot->bytes.size() } });
        const MutexLock lock { this->mutex };
        this->service.snapshotSaved(*effects.snapshot);
        return true;
    }

    void handleFailure(const Failure& failure)
    {
        this->logger.log(LogEvent::LogUnusable, failure.describe(), { { "code", failure.code.value() } });
        if (this->callbacks.onFailure) {
            this->callbacks.onFailure(failure);
        }
    }

    /// Called only by the thread that executes effects.
    void logRole(MemberRole role, Term term)
    {
        if (role == this->loggedRole && term == this->loggedTerm) {
            return;
        }
        if (role == MemberRole::Leader) {
            this->logger.log(LogEvent::LeaderElected, "", { { "term", term } });
        } else if (this->loggedRole == MemberRole::Leader) {
            this->logger.log(LogEvent::LeaderSteppedDown, "", { { "term", term } });
        } else if (role == MemberRole::Candidate) {
            this->logger.log(LogEvent::ElectionStarted, "", { { "term", term } });
        }
        this->loggedRole = role;
        this->loggedTerm = term;
    }

    /// Called only by the thread that executes effects.
    void logMembership(bool isConfirmed)
    {
        if (isConfirmed != std::exchange(this->loggedConfirmation, isConfirmed)) {
            this->logger.log(isConfirmed ? LogEvent::MembershipConfirmed : LogEvent::MembershipUnconfirmed);
        }
    }

    /// @return The nodes of the members of one kind, separated by commas.
    static std::string listNodes(std::span<const MemberSpec> members, bool isVoter)
    {
        std::string list;
        for (const auto& member : members) {
            if (member.voter == isVoter) {
                list += (list.empty() ? "" : ",") + addressOfNode(member.node);
            }
        }
        return list;
    }

    void logApplied(const std::vector<AppliedCommand>& applied)
    {
        for (const auto& [entry, outcome] : applied) {
            if (const auto* change = std::get_if<ChangeItems>(&entry.command)) {
                this->logger.log(LogEvent::ItemsChanged, "", { { "index", entry.index }, { "set", change->upserts.size() }, { "dropped", change->deletions.size() }, { "code", static_cast<unsigned>(outcome.code) } });
            } else if (const auto* registered = std::get_if<RegisterUpstream>(&entry.command)) {
                this->logger.log(LogEvent::UpstreamRegistered, "", { { "index", entry.index }, { "name", registered->key.name }, { "incarnation", registered->key.incarnation }, { "draining", registered->isDraining ? 1 : 0 }, { "code", static_cast<unsigned>(outcome.code) } });
            } else if (const auto* removed = std::get_if<RemoveUpstream>(&entry.command)) {
                this->logger.log(LogEvent::UpstreamRemoved, "", { { "index", entry.index }, { "name", removed->key.name }, { "left", removed->hasLeft ? 1 : 0 }, { "code", static_cast<unsigned>(outcome.code) } });
            } else if (const auto* assigned = std::get_if<AssignKeyRanges>(&entry.command)) {
                this->logger.log(LogEvent::KeysAssigned, "", { { "index", entry.index }, { "service", assigned->service }, { "ranges", assigned->grants.size() } });
            } else if (const auto* moved = std::get_if<BeginKeyMoves>(&entry.command)) {
                this->logger.log(LogEvent::KeyMovesBegun, "", { { "index", entry.index }, { "service", moved->service }, { "ranges", moved->moves.size() } });
            } else if (const auto* order = std::get_if<EvacuateZone>(&entry.command)) {
                this->logger.log(LogEvent::EvacuationRecorded, "", { { "index", entry.index }, { "zone", order->zone }, { "evacuated", order->isEvacuated ? 1 : 0 }, { "code", static_cast<unsigned>(outcome.code) } });
            } else if (const auto* warmUp = std::get_if<BeginWarmUp>(&entry.command); warmUp != nullptr && warmUp->timeLeft > Duration::zero()) {
                this->logger.log(LogEvent::WarmUpBegun, "", { { "index", entry.index }, { "name", warmUp->key.name }, { "incarnation", warmUp->key.incarnation }, { "leftMs", std::chrono::duration_cast<std::chrono::milliseconds>(warmUp->timeLeft).count() } });
            } else if (const auto* members = std::get_if<ChangeMembers>(&entry.command)) {
                this->logger.log(LogEvent::MembersChanged, "", { { "index", entry.index }, { "members", members->members.size() }, { "voters", listNodes(members->members, true) }, { "learners", listNodes(members->members, false) } });
            }
        }
    }

    Sender& sender;
    /// Used only by the thread that executes effects.
    Store store;
    const ClockType& clock;
    Logger& logger;
    const RegistryCallbacks callbacks;
    MemberRole loggedRole { MemberRole::Follower };
    Term loggedTerm;
    /// Empty until the first effects.
    std::optional<bool> loggedConfirmation;

    Mutex mutex;
    Service service ABSL_GUARDED_BY(mutex);
    bool hasNewInput ABSL_GUARDED_BY(mutex) {};
    bool isExecuting ABSL_GUARDED_BY(mutex) {};
    bool isFailed ABSL_GUARDED_BY(mutex) {};
};

}
