#pragma once

#include "adapters/codec/OwnershipCodec.h"
#include "adapters/http/HeartbeatJson.h"
#include "adapters/log/Logger.h"
#include "core/Mutex.h"
#include "core/ownership/EntryService.h"
#include "node/RouteDirectory.h"
#include "teaselturn/Message.h"
#include "teaselturn/Ports.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace teaselturn {

/// Zone and region names from a VM's settings. The accepted bundle maps them to numbers.
struct LocationNames {
    std::string zone;
    std::string region;
};

/// Status of the entry role, for the administration API and metrics.
struct EntryView {
    bool isBehind {};
    /// Remaining time of the delegation. Negative or zero if none is valid.
    Duration delegationLeft {};
    LogIndex appliedIndex;
    NodeId leader;
};

/// Drives the entry role of a process except for requests: replica, delegation, lease manager and proposals. Any thread
/// may pass in messages, ticks and heartbeats. Its mutex is ReplicaTable and LeaseTable in the lock order; messages are
/// sent after it is released.
/// @tparam Sender Sends messages to other processes.
/// @tparam ClockType Read once for each input, under the lock.
template <PeerSender Sender, Clock ClockType>
class EntryNode {
public:
    using Service = EntryService<OwnershipCodec>;
    /// Called with the lock held after a bundle was accepted or a snapshot replaced the state.
    using BundlesChanged = std::function<void(const OwnershipState& state)>;

    /// Maximum number of proposals that callers wait for at a time.
    static constexpr std::size_t maxPendingProposals = 64;
    static constexpr std::chrono::milliseconds tickInterval { 25 };

    /// The references outlive the node.
    /// @param logger May be null.
    EntryNode(Sender& sender, EntryIdentity identity, LocationNames names, BundleCheck check, const ClockType& clock, RouteDirectory& routes, Logger* logger, BundlesChanged bundlesChanged)
        : sender(sender)
        , names(std::move(names))
        , clock(clock)
        , routes(routes)
        , logger(logger)
        , bundlesChanged(std::move(bundlesChanged))
        , region(identity.region)
        , service(std::move(identity), std::move(check), OwnershipCodec {})
    {
    }
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    void receive(NodeId from, const PeerMessage& message);

    /// Processes expired timeouts. A timer calls it every tickInterval.
    void tick();

    /// Processes an upstream's heartbeat.
    /// @return The reply; its code is HeartbeatInvalid if the service or zone is not in the bundle.
    HeartbeatReplyMessage handleHeartbeat(const HeartbeatMessage& message);

    /// Proposes a command and waits until it is applied or abandoned.
    /// @return The command's result, NoQuorum, or QueueFull if maxPendingProposals callers already wait.
    Result<ApplyOutcome> propose(Command command);

    /// Sets the load to report with the next renewal, if the previous load has been reported.
    /// Call from one thread at a time.
    /// @param drain Returns the summary; called without the lock.
    template <typename Drain>
    void reportLoad(Drain&& drain);

    EntryView view();

    /// Calls read with this VM's copy of the replicated state and its region, under the lock. read must not block.
    template <typename Read>
    auto withState(Read&& read)
    {
        const MutexLock lock { this->mutex };
        return std::forward<Read>(read)(this->service.state(), this->region);
    }

private:
    /// Processes one input under the lock and executes its effects.
    template <typename Input>
    auto processInput(Input&& input);
    EntryEffects collectEffects(Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void setLocation() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::optional<Heartbeat> toHeartbeat(const HeartbeatMessage& message) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void executeEffects(const EntryEffects& effects, bool isRouteChanged);

    Sender& sender;
    const LocationNames names;
    const ClockType& clock;
    RouteDirectory& routes;
    Logger* logger;
    const BundlesChanged bundlesChanged;

    Mutex mutex;
    ConditionVariable proposalCompleted;
    RegionId region ABSL_GUARDED_BY(mutex);
    Service service ABSL_GUARDED_BY(mutex);
    bool wasTableFresh ABSL_GUARDED_BY(mutex) {};
    /// Proposals that callers wait for, by sequence number. The result is empty until the proposal completes.
    absl::flat_hash_map<std::uint64_t, std::optional<CompletedProposal>> pendingProposals ABSL_GUARDED_BY(mutex);
};

}

#include "node/EntryNodeInlines.h"
