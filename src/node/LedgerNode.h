#pragma once

#include "adapters/codec/OwnershipCodec.h"
#include "adapters/log/Logger.h"
#include "adapters/random/SystemRandom.h"
#include "core/Mutex.h"
#include "core/ledger/LedgerService.h"
#include "core/ownership/BoundedLoadPlacement.h"
#include "teaselturn/Message.h"
#include "teaselturn/Ports.h"

#include <concepts>
#include <functional>
#include <optional>
#include <thread>
#include <utility>

namespace teaselturn {

/// Durable storage of a member's log. Every call returns after the sync. Used by one thread.
template <typename T>
concept LogStore = requires(T& store, const MemberEffects& effects, const LedgerSnapshot& snapshot)
{
    {
        store.write(effects)
        } -> std::same_as<Status>;
    {
        store.saveSnapshot(snapshot)
        } -> std::same_as<Status>;
};

/// Status of the ledger role, for the administration API and metrics.
struct LedgerView {
    /// Identity of this member's disk.
    DiskId disk;
    Term term;
    NodeId leader;
    MemberRole role {};
    LogIndex commitIndex;
    bool hasLeaderLease {};
};

/// Callbacks of a LedgerNode to its owner, called on its writer thread.
struct LedgerCallbacks {
    /// Called after a bundle was accepted or a snapshot replaced the state, with LedgerNode::mutex held.
    std::function<void(const OwnershipState& state)> bundlesChanged;
    /// Called once if the member's disk failed or its state cannot be read. The member has stopped for good.
    std::function<void(const Failure& failure)> failed;
};

/// Drives the ledger role of a process. Any thread may pass in messages and ticks. One writer thread takes the effects,
/// syncs, sends and reports completion, so that no lock is held during I/O and no message that depends on a write is
/// sent before that write is durable. Its mutex is the first in the lock order.
/// @tparam Sender Sends messages to other processes.
/// @tparam Store Stores the log.
/// @tparam ClockType Read once for each input, under the lock, so that a delay before it cannot make a lease look
/// valid.
template <PeerSender Sender, LogStore Store, Clock ClockType>
class LedgerNode {
public:
    using Service = LedgerService<SystemRandom, BoundedLoadPlacement, OwnershipCodec>;

    /// The references outlive the node. start() starts the writer thread.
    /// @param logger May be null.
    LedgerNode(Sender& sender, Store store, MemberState state, BundleCheck check, const ClockType& clock, Logger* logger, LedgerCallbacks callbacks)
        : sender(sender)
        , store(std::move(store))
        , clock(clock)
        , logger(logger)
        , callbacks(std::move(callbacks))
        , disk(state.disk)
        , service(std::move(state), MemberTiming {}, SystemRandom {}, BoundedLoadPlacement {}, std::move(check), OwnershipCodec {}, clock.now())
    {
    }
    ~LedgerNode() { this->stop(); }
    LedgerNode(const LedgerNode&) = delete;
    LedgerNode& operator=(const LedgerNode&) = delete;

    /// Starts the writer thread.
    /// @return SnapshotCorrupt if the state passed to the constructor cannot be read.
    Status start();

    /// Stops the writer thread. Effects that were not executed yet are dropped, as in a crash.
    void stop();

    void receive(NodeId from, const PeerMessage& message);

    /// Processes expired timeouts. A timer calls it every tickInterval.
    void tick();

    static constexpr std::chrono::milliseconds tickInterval { 25 };

    LedgerView view();

    /// Calls read with the applied state, under the lock. read must not block.
    template <typename Read>
    auto withState(Read&& read)
    {
        const MutexLock lock { this->mutex };
        return std::forward<Read>(read)(this->service.state());
    }

private:
    void run();
    /// @return False if the disk failed.
    bool executeEffects(LedgerEffects& effects);
    bool save(const LedgerSnapshot& snapshot);
    void fail(const Failure& failure);
    void reportBundleChange(const LedgerEffects& effects) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void logRoleChange(const LedgerView& before, const LedgerView& after);
    LedgerView viewLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    Sender& sender;
    /// Used by the writer thread only.
    Store store;
    const ClockType& clock;
    Logger* logger;
    const LedgerCallbacks callbacks;
    const DiskId disk;

    Mutex mutex;
    ConditionVariable changed;
    Service service ABSL_GUARDED_BY(mutex);
    bool isDirty ABSL_GUARDED_BY(mutex) { true };
    bool isStopping ABSL_GUARDED_BY(mutex) {};
    std::thread writer;
};

}

#include "node/LedgerNodeInlines.h"
