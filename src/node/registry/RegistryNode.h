#pragma once

#include "adapters/codec/RegistryCodec.h"
#include "adapters/log/Logger.h"
#include "adapters/random/SystemRandom.h"
#include "core/Mutex.h"
#include "core/registry/RegistryService.h"
#include "node/LedgerNode.h"
#include "teaselturn/Ports.h"

#include <functional>
#include <utility>

namespace teaselturn {

/// What a RegistryNode tells its owner, with no lock held.
struct RegistryCallbacks {
    std::function<void(ControlResponse response)> answered;
    /// The member cannot go on: its disk failed or its state cannot be read.
    std::function<void(const Failure& failure)> failed;
};

/// Drives a member of the registry. Any thread hands in messages, control requests and ticks. The thread that finds
/// nobody driving carries the effects out itself; others leave theirs to it. So writes have one order, no lock is held
/// during I/O, and no thread of its own is needed.
/// @tparam Sender Sends messages to other processes.
/// @tparam Store Holds the log.
/// @tparam ClockType Read once for each input, under the lock.
template <PeerSender Sender, LogStore Store, Clock ClockType>
class RegistryNode {
public:
    using Service = RegistryService<SystemRandom, BinaryRegistryCodec>;

    static constexpr std::chrono::milliseconds tickInterval { 25 };

    /// The references outlive the node.
    RegistryNode(Sender& sender, Store store, MemberState state, std::vector<NodeId> seeds, const ClockType& clock, Logger& logger, RegistryCallbacks callbacks, RegistryOptions options = {})
        : sender(sender)
        , store(std::move(store))
        , clock(clock)
        , logger(logger)
        , callbacks(std::move(callbacks))
        , service(std::move(state), std::move(seeds), SystemRandom {}, BinaryRegistryCodec {}, clock.now(), options)
    {
    }

    /// @return SnapshotCorrupt where the state that the node was made of cannot be read.
    Status checkStart()
    {
        const MutexLock lock { this->mutex };
        const auto& failure = this->service.startFailure();
        return failure ? Status { *failure } : success();
    }

    void tick()
    {
        this->step([this](Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { this->service.tick(now); });
    }

    void receive(NodeId from, const PeerMessage& message)
    {
        this->step([&](Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { this->service.receive(now, from, message); });
    }

    void heartbeat(ControlRequestId requestId, KeyHeartbeat heartbeat)
    {
        this->step([&](Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { this->service.heartbeat(now, requestId, std::move(heartbeat)); });
    }

    void depart(ControlRequestId requestId, std::string_view upstream, std::optional<std::uint64_t> incarnation)
    {
        this->step([&](Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { this->service.depart(now, requestId, upstream, incarnation); });
    }

    void changeItems(ControlRequestId requestId, ChangeItems change)
    {
        this->step([&](Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { this->service.changeItems(now, requestId, std::move(change)); });
    }

    /// Calls read with the state where this member leads.
    /// @return Nothing where it was called, otherwise who may answer.
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
    void step(Input&& input)
    {
        this->mutex.lock();
        input(this->clock.now());
        this->isDirty = true;
        if (this->isDriving || this->isFailed) {
            this->mutex.unlock();
            return;
        }
        this->isDriving = true;
        while (this->isDirty && !this->isFailed) {
            this->isDirty = false;
            auto effects = this->service.takeEffects(this->clock.now());
            const auto role = this->service.ledgerMember().role();
            const auto term = this->service.ledgerMember().term();
            const auto failure = this->service.startFailure();
            this->mutex.unlock();
            this->logRole(role, term);
            const bool isWritten = !failure && this->carryOut(effects);
            if (failure) {
                this->fail(*failure);
            }
            this->mutex.lock();
            this->isFailed = !isWritten;
        }
        this->isDriving = false;
        this->mutex.unlock();
    }

    /// @return False where the disk failed.
    bool carryOut(RegistryEffects& effects)
    {
        for (auto& response : effects.responses) {
            this->callbacks.answered(std::move(response));
        }
        for (const auto& message : effects.immediate) {
            this->sender.send(message.to, message.message);
        }
        this->logApplied(effects.applied);
        if (effects.storage.needsWrite()) {
            if (const auto written = this->store.write(effects.storage); !written) {
                this->fail(written.failure());
                return false;
            }
            const MutexLock lock { this->mutex };
            this->service.persisted(this->clock.now());
            this->isDirty = true;
        }
        for (const auto& message : effects.afterPersist) {
            this->sender.send(message.to, message.message);
        }
        if (!effects.snapshot) {
            return true;
        }
        if (const auto saved = this->store.saveSnapshot(*effects.snapshot); !saved) {
            this->fail(saved.failure());
            return false;
        }
        this->logger.log(LogEvent::SnapshotWritten, "", { { "index", effects.snapshot->lastIndex }, { "bytes", effects.snapshot->bytes.size() } });
        const MutexLock lock { this->mutex };
        this->service.snapshotSaved(*effects.snapshot);
        return true;
    }

    void fail(const Failure& failure)
    {
        this->logger.log(LogEvent::LogUnusable, failure.describe(), { { "code", failure.code.value() } });
        if (this->callbacks.failed) {
            this->callbacks.failed(failure);
        }
    }

    /// Called by the driving thread only.
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
            } else if (const auto* members = std::get_if<ChangeMembers>(&entry.command)) {
                this->logger.log(LogEvent::MembersChanged, "", { { "index", entry.index }, { "members", members->members.size() } });
            }
        }
    }

    Sender& sender;
    /// Used by the driving thread only.
    Store store;
    const ClockType& clock;
    Logger& logger;
    const RegistryCallbacks callbacks;
    MemberRole loggedRole { MemberRole::Follower };
    Term loggedTerm;

    Mutex mutex;
    Service service ABSL_GUARDED_BY(mutex);
    bool isDirty ABSL_GUARDED_BY(mutex) {};
    bool isDriving ABSL_GUARDED_BY(mutex) {};
    bool isFailed ABSL_GUARDED_BY(mutex) {};
};

}
