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

/// Names by which settings place a VM. The accepted bundle gives them numbers.
struct LocationNames {
    std::string zone;
    std::string region;
};

/// What an entry process tells about itself.
struct EntryView {
    bool isBehind {};
    /// Time left of the delegation. Negative or zero where none is valid.
    Duration delegationLeft {};
    LogIndex appliedIndex;
    NodeId leader;
};

/// Drives the entry part of a process besides requests: replica, delegation, lease manager, proposals. Any thread may
/// hand in messages, ticks and heartbeats. Its mutex guards ReplicaTable and LeaseTable of the lock order; messages
/// leave after it is released.
/// @tparam Sender Sends messages to other processes.
/// @tparam ClockType Read once for each input, under the lock.
template <PeerSender Sender, Clock ClockType>
class EntryNode {
public:
    using Service = EntryService<OwnershipCodec>;
    /// Called with the lock held when a bundle was accepted or the state was replaced by a snapshot.
    using BundlesChanged = std::function<void(const OwnershipState& state)>;

    /// Most proposals of callers that wait at a time.
    static constexpr std::size_t maxWaitingProposals = 64;
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

    /// Lets timeouts act. A timer calls it every tickInterval.
    void tick();

    /// Decides on a heartbeat.
    /// @return The answer; its code is HeartbeatInvalid where service or zone are not in the bundle.
    HeartbeatReplyMessage heartbeat(const HeartbeatMessage& message);

    /// Proposes a command and waits until it is applied or given up.
    /// @return What it did, NoQuorum, or QueueFull where too many wait already.
    Result<ApplyOutcome> propose(Command command);

    /// Gives the load to be reported with the next renewal, where the former one has been reported.
    /// @param drain Returns the summary; called without the lock. Call from one thread at a time.
    template <typename Drain>
    void reportLoad(Drain&& drain);

    EntryView view();

    /// Calls read with the copy of the replicated state, under the lock. It must not block.
    template <typename Read>
    auto withState(Read&& read)
    {
        const MutexLock lock { this->mutex };
        return std::forward<Read>(read)(this->service.state(), this->region);
    }

private:
    /// Feeds one input under the lock and carries out its effects.
    template <typename Input>
    auto drive(Input&& input);
    EntryEffects settle(Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void setLocation() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::optional<Heartbeat> translate(const HeartbeatMessage& message) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void carryOut(const EntryEffects& effects, bool isRouteChanged);

    Sender& sender;
    const LocationNames names;
    const ClockType& clock;
    RouteDirectory& routes;
    Logger* logger;
    const BundlesChanged bundlesChanged;

    Mutex mutex;
    ConditionVariable finished;
    RegionId region ABSL_GUARDED_BY(mutex);
    Service service ABSL_GUARDED_BY(mutex);
    bool wasFresh ABSL_GUARDED_BY(mutex) {};
    /// Proposals that a caller waits for, by sequence, with the result once there is one.
    absl::flat_hash_map<std::uint64_t, std::optional<CompletedProposal>> waiting ABSL_GUARDED_BY(mutex);
};

}

#include "node/EntryNodeInlines.h"
