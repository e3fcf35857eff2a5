#pragma once

#include "node/AppliedLog.h"
#include "node/LedgerNode.h"

#include <algorithm>

namespace teaselturn {

template <PeerSender Sender, LogStore Store, Clock ClockType>
Status LedgerNode<Sender, Store, ClockType>::start()
{
    {
        const MutexLock lock { this->mutex };
        if (const auto& failure = this->service.startFailure()) {
            return *failure;
        }
        if (this->callbacks.bundlesChanged) {
            this->callbacks.bundlesChanged(this->service.state());
        }
    }
    this->writer = std::thread { [this] { this->run(); } };
    return success();
}

template <PeerSender Sender, LogStore Store, Clock ClockType>
void LedgerNode<Sender, Store, ClockType>::stop()
{
    {
        const MutexLock lock { this->mutex };
        this->isStopping = true;
    }
    this->changed.notifyAll();
    if (this->writer.joinable()) {
        this->writer.join();
    }
}

template <PeerSender Sender, LogStore Store, Clock ClockType>
void LedgerNode<Sender, Store, ClockType>::receive(NodeId from, const PeerMessage& message)
{
    {
        const MutexLock lock { this->mutex };
        this->service.receive(this->clock.now(), from, message);
        this->isDirty = true;
    }
    this->changed.notifyAll();
}

template <PeerSender Sender, LogStore Store, Clock ClockType>
void LedgerNode<Sender, Store, ClockType>::tick()
{
    {
        const MutexLock lock { this->mutex };
        this->service.tick(this->clock.now());
        this->isDirty = true;
    }
    this->changed.notifyAll();
}

template <PeerSender Sender, LogStore Store, Clock ClockType>
LedgerView LedgerNode<Sender, Store, ClockType>::viewLocked()
{
    const auto& member = this->service.ledgerMember();
    return { this->disk, member.term(), member.leader(), member.role(), member.commitIndex(), member.hasLeaderLease(this->clock.now()) };
}

template <PeerSender Sender, LogStore Store, Clock ClockType>
LedgerView LedgerNode<Sender, Store, ClockType>::view()
{
    const MutexLock lock { this->mutex };
    return this->viewLocked();
}

template <PeerSender Sender, LogStore Store, Clock ClockType>
void LedgerNode<Sender, Store, ClockType>::run()
{
    LedgerView lastView {};
    this->mutex.lock();
    while (!this->isStopping) {
        if (!this->isDirty) {
            this->changed.wait(this->mutex);
            continue;
        }
        this->isDirty = false;
        auto effects = this->service.takeEffects(this->clock.now());
        this->reportBundleChange(effects);
        const auto failure = this->service.startFailure();
        const auto now = this->viewLocked();
        this->mutex.unlock();
        this->logRoleChange(std::exchange(lastView, now), now);
        if (failure) {
            this->fail(*failure);
            return;
        }
        if (!this->executeEffects(effects)) {
            return;
        }
        this->mutex.lock();
    }
    this->mutex.unlock();
}

template <PeerSender Sender, LogStore Store, Clock ClockType>
bool LedgerNode<Sender, Store, ClockType>::executeEffects(LedgerEffects& effects)
{
    for (const auto& message : effects.immediate) {
        this->sender.send(message.to, message.message);
    }
    {
        const MutexLock lock { this->mutex };
        this->service.sent(this->clock.now());
    }
    if (this->logger != nullptr) {
        logApplied(*this->logger, effects.applied);
    }
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
    return !effects.snapshot || this->save(*effects.snapshot);
}

template <PeerSender Sender, LogStore Store, Clock ClockType>
bool LedgerNode<Sender, Store, ClockType>::save(const LedgerSnapshot& snapshot)
{
    if (const auto saved = this->store.saveSnapshot(snapshot); !saved) {
        this->fail(saved.failure());
        return false;
    }
    if (this->logger != nullptr) {
        this->logger->log(LogEvent::SnapshotWritten, "", { { "index", snapshot.lastIndex }, { "bytes", snapshot.bytes.size() } });
    }
    const MutexLock lock { this->mutex };
    this->service.snapshotSaved(snapshot);
    return true;
}

template <PeerSender Sender, LogStore Store, Clock ClockType>
void LedgerNode<Sender, Store, ClockType>::fail(const Failure& failure)
{
    if (this->logger != nullptr) {
        this->logger->log(LogEvent::LogUnusable, failure.describe(), { { "code", failure.code.value() } });
    }
    if (this->callbacks.failed) {
        this->callbacks.failed(failure);
    }
}

template <PeerSender Sender, LogStore Store, Clock ClockType>
void LedgerNode<Sender, Store, ClockType>::reportBundleChange(const LedgerEffects& effects)
{
    const auto isAccepted = [](const AppliedEntry& applied) { return applied.outcome.code == ResultCode::Ok && std::holds_alternative<AcceptBundle>(applied.entry.command); };
    if (this->callbacks.bundlesChanged && (effects.storage.install || std::ranges::any_of(effects.applied, isAccepted))) {
        this->callbacks.bundlesChanged(this->service.state());
    }
}

template <PeerSender Sender, LogStore Store, Clock ClockType>
void LedgerNode<Sender, Store, ClockType>::logRoleChange(const LedgerView& before, const LedgerView& after)
{
    if (this->logger == nullptr || (before.role == after.role && before.term == after.term)) {
        return;
    }
    if (after.role == MemberRole::Leader) {
        this->logger->log(LogEvent::LeaderElected, "", { { "term", after.term } });
    } else if (before.role == MemberRole::Leader) {
        this->logger->log(LogEvent::LeaderSteppedDown, "", { { "term", after.term } });
    } else if (after.role == MemberRole::Candidate) {
        this->logger->log(LogEvent::ElectionStarted, "", { { "term", after.term } });
    }
}

}
