#pragma once

#include "core/registry/KeyBalance.h"
#include "core/registry/KeyHeartbeat.h"
#include "core/registry/KeyLoadTable.h"
#include "core/registry/RegistryState.h"
#include "core/registry/WarmUpWatch.h"
#include "teaselturn/Command.h"
#include "teaselturn/Message.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <optional>
#include <string>
#include <vector>

namespace teaselturn {

/// Timing of the leases on key numbers.
struct KeyLeaseTiming {
    /// Length of a lease, measured by its holder. It outlasts the loss of a leader: a heartbeat interval of 0.9 s, an
    /// election of 1 s, and the second after which a caller tries another member.
    Duration lease { std::chrono::milliseconds { 4'000 } };
    /// A holder's clock runs slow by at most 1/driftDivisor.
    std::int64_t driftDivisor { 40 };
    /// Delay from the first announcement of a service to the assignment of its keys, so that all upstreams that start
    /// together have announced themselves.
    Duration settleTime { std::chrono::milliseconds { 1'200 } };
    /// Interval between rounds of balancing.
    Duration balanceInterval { std::chrono::milliseconds { 500 } };
    /// Released keys are assigned to the target this long before its next heartbeat: the time of a commit across
    /// regions.
    Duration assignLead { std::chrono::milliseconds { 130 } };
    /// Maximum time for which the reply to a heartbeat is delayed while the sender's keys do not change. The sender
    /// counts a heartbeat as failed after one second without a reply, and sends the next one about 900 ms after it.
    Duration replyHold { std::chrono::milliseconds { 500 } };
    /// Maximum time for which the reply to a heartbeat of a draining upstream is delayed. Shorter than replyHold,
    /// because key moves away from a draining upstream start immediately and it waits for its departure to be
    /// confirmed.
    Duration drainingReplyHold { std::chrono::milliseconds { 200 } };
};

/// Grants leases on key numbers, moves keys between upstreams and detects unresponsive upstreams. Used by the leader
/// only. State that must not be lost is in the log; the leader collects the rest anew in each term. Not thread-safe.
///
/// A key gets a new owner only after the previous owner released it, was restarted, or can no longer hold a lease.
class KeyCoordinator {
public:
    explicit KeyCoordinator(KeyLeaseTiming timing = {})
        : timing(timing)
    {
    }

    /// Starts a term. The former leader may have granted any lease just before, so all are assumed to start now.
    void becameLeader(Instant now, const RegistryState& state);

    /// @return The command to commit before the reply to the heartbeat if it registers, revives or changes its
    /// upstream; otherwise empty.
    std::optional<Command> registrationFor(const KeyHeartbeat& heartbeat, const RegistryState& state) const;

    /// What this leader knows of warm-ups. Upstreams get no keys until their load has returned, if others
    /// can hold them.
    WarmUpWatch& warmUps() noexcept { return this->warmUpWatch; }

    /// Records a heartbeat of a registered upstream.
    /// @return False if a later heartbeat of the same incarnation arrived before it; its reply must then contain no
    /// grants.
    bool recordHeartbeat(Instant now, const KeyHeartbeat& heartbeat);

    /// Records revoked keys that the heartbeat no longer lists as held. decide() assigns them shortly before the next
    /// owner's heartbeat, so that entry VMs learn of the new owner at about the same time as the owner itself.
    void recordReleases(Instant now, const KeyHeartbeat& heartbeat, const RegistryState& state);

    /// @return True if a reply to the heartbeat would change the keys that its sender holds.
    bool hasUpdate(const KeyHeartbeat& heartbeat, const RegistryState& state) const;

    /// Records that the reply to an upstream's latest heartbeat is delayed until a time. Until then, changes can be
    /// sent to the upstream at once.
    void recordDelayedReply(const UpstreamKey& key, Instant until);

    /// Renews the upstream's lease, counted from the arrival of its latest heartbeat.
    /// @return The reply with the keys that the upstream may hold.
    KeyHeartbeatReply makeReply(const KeyHeartbeat& heartbeat, const RegistryState& state);

    /// Records the load that an entry VM reports.
    void addLoad(Instant now, const KeyLoadReport& report, const RegistryState& state);
    /// @return Number of entry VMs whose last load report has not expired.
    std::uint32_t entryVmCount(Instant now) const;

    /// @return Commands to propose now. Called on every tick, but only once all commands of the last call are applied
    /// or dropped.
    std::vector<Command> decide(Instant now, const RegistryState& state);

private:
    /// What the leader knows of one incarnation of an upstream in addition to the registry.
    struct Contact {
        UpstreamKey key;
        std::uint64_t sequence {};
        Instant lastHeartbeatAt;
        Instant nextExpectedAt;
        /// Time until which a reply to this upstream is delayed. In the past if no reply is delayed.
        Instant replyDelayedUntil;
        /// Latest end of the leases granted in this term. Empty if none was granted.
        std::optional<Instant> leaseEnd;
    };

    /// Moving keys that the leader asked their owner to release, by a reply that no longer grants them.
    struct Revocation {
        std::string service;
        UpstreamKey owner;
        KeyNumber first {};
        KeyNumber last {};
        Fence fence;
        /// Sequence number of the heartbeat whose reply left the keys out first.
        std::uint64_t sequence {};
        /// Whether a heartbeat listed the keys as held when or after they were revoked. Until one does, a reply that
        /// granted them may still be on its way, and a heartbeat that does not list them is no proof of their release.
        bool isConfirmed {};
        /// Latest end of the lease that a reply before the revocation can have given.
        Instant grantedUntil;
        /// Time at which to propose the assignment. Set once the owner has released the keys.
        std::optional<Instant> assignAt;
        std::string handover;
    };

    const Contact* findContact(const UpstreamKey& key) const;
    /// @return True if the upstream may still hold a valid lease, granted in this term or by the former leader.
    bool mayHoldLease(Instant now, const UpstreamKey& key, const RegistryState& state) const;
    /// @return True if the range may be assigned: it has no owner, or its owner is not alive and can't hold a lease.
    bool isAssignable(Instant now, const KeyRange& range, const RegistryState& state) const;
    bool isRevoked(const KeyRange& range) const;
    bool mayRevoke(const KeyRange& range, const RegistryState& state) const;
    /// @return Due assignments of released keys.
    std::vector<Command> assignReleased(Instant now, const RegistryState& state);
    /// @return Estimated time until the upstream can learn of an assignment that is proposed now. Zero if a reply to
    /// its heartbeat is being delayed, or if the upstream has sent no heartbeat.
    Duration timeUntilReachable(Instant now, const UpstreamKey& key) const;
    void revoke(const KeyHeartbeat& heartbeat, const KeyRange& range);
    /// @return True if keys of the range are proposed for another upstream than its owner and the entry may not be
    /// applied yet.
    bool isProposedForAnother(std::string_view service, const KeyRange& range) const;
    /// @return Latest end of a lease that a reply can have given to the upstream, by this leader or the former one.
    Instant latestLeaseEnd(const UpstreamKey& key) const;
    std::vector<KeyHolder> holders(Instant now, std::string_view service, const RegistryState& state) const;
    void removeUnresponsiveUpstreams(Instant now, const RegistryState& state, std::vector<Command>& commands) const;
    void placeKeys(Instant now, std::string_view service, const RegistryState& state, std::vector<Command>& commands);
    /// @return True if the state has evacuation orders that the last round of balancing did not take into account.
    bool hasNewEvacuations(const RegistryState& state) const noexcept { return this->balancedEvacuations != state.evacuationsChangedAt() && !state.evacuatedZones().empty(); }
    void balanceKeys(Instant now, std::string_view service, const RegistryState& state, std::vector<Command>& commands);
    void countResponses(Instant now, const ServiceKeyLoad& load, const RegistryState& state);
    void updateServiceTimes(Instant now, const RegistryState& state);

    KeyLeaseTiming timing;
    WarmUpWatch warmUpWatch;
    Instant leaderSince;
    Instant lastBalancedAt;
    /// Log index of the latest evacuation order that a round of balancing took into account.
    LogIndex balancedEvacuations;
    absl::flat_hash_map<std::string, Contact> contacts;
    std::vector<Revocation> revocations;
    /// Assignments that the last decide() returned. While they are not applied, their keys must not be granted to any
    /// other upstream.
    std::vector<AssignKeyRanges> proposedAssignments;
    absl::btree_map<std::string, KeyLoadTable, std::less<>> loads;
    /// Responses of an upstream since its service time was last estimated, and the sum of their latencies.
    struct ResponseTotals {
        Instant since;
        double count {};
        double busyMs {};
    };

    absl::flat_hash_map<UpstreamKey, ResponseTotals> responseTotals;
    /// Estimated time in milliseconds for which an upstream processes a request, without time in queues.
    absl::flat_hash_map<UpstreamKey, double> serviceTimes;
    absl::flat_hash_map<NodeId, Instant> lastReportAt;
    absl::flat_hash_map<std::string, Instant> firstAnnouncedAt;
};

}
