#pragma once

#include "core/dispatch/DispatchTypes.h"
#include "core/dispatch/InFlightPerSlot.h"
#include "core/dispatch/RegionSet.h"
#include "core/dispatch/RetryWindow.h"
#include "core/dispatch/ReturnRamp.h"
#include "core/dispatch/SilenceEstimate.h"
#include "core/dispatch/SilenceSuspicion.h"
#include "core/dispatch/UnconfirmedRanges.h"
#include "core/dispatch/UpstreamLoad.h"
#include "core/dispatch/WarmUpLimit.h"
#include "core/registry/KeyRanges.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Tables that the dispatcher's decisions read: upstreams, services with their queues, and pending requests.
namespace teaselturn {

/// Whether an upstream takes part in its service, by the latest copy of the registry.
enum class Registration : std::uint8_t {
    Current,
    /// It left without draining first. It serves the keys that it owns for the drain time, and is sent nothing else.
    Departed,
    /// It left after draining, its drain time has passed, or its address or name belongs to a later process. It is sent nothing,
    /// and the first sync without requests in flight to it removes it.
    Ended,
};

/// An upstream as this entry VM knows it.
struct DispatchUpstream {
    RegisterUpstream announcement;
    UpstreamState state { UpstreamState::Ready };
    UpstreamLoad load;
    /// Round-trip time in excess of one within the availability zone.
    Duration extraRoundTrip {};
    /// Handicap added to the expected latency of this upstream, as a fraction of the service's average latency. It
    /// differs between entry VMs, so that each uses few upstreams and connections while the load of all entry VMs
    /// spreads evenly over the upstreams.
    double preferencePenalty {};
    /// Weighted rendezvous hash of the upstream and this entry VM; upstreams with lower values are preferred. Upstreams with
    /// more slots have low values at more entry VMs.
    double preferenceOrder {};
    /// Whether requests to it cross the narrow link between regions.
    bool isInOtherRegion {};
    /// Region of its availability zone.
    RegionSet region { RegionSet::all() };
    /// Earliest time at which the upstream can have begun to leave, as far as the registry and the upstream's own responses
    /// tell; empty if it is not leaving.
    std::optional<Instant> drainingSince;
    /// Earliest time at which the order to evacuate its zone can have been acknowledged; empty if there is none.
    std::optional<Instant> evacuatedSince;
    /// Limit after such an order was withdrawn.
    std::optional<ReturnRamp> returnRamp;
    Registration registration { Registration::Current };
    WarmUpLimit warmUp;
    /// Limit that does not apply because the service lost its warm-up. It applies again if the service regains one before the
    /// limit ends.
    std::optional<WarmUpLimit> liftedWarmUp;
    /// True if the warm-up was assumed because the upstream is new, and the registry has not confirmed it.
    bool isWarmUpAssumed {};
    /// Log index of the registry's latest statement about the upstream's warm-up that this entry VM applied.
    LogIndex warmUpIndex;
    /// True until the sync that found the upstream first has checked whether it is cold.
    bool isNew { true };

    /// Records that the upstream has been leaving since a time; the earliest one counts.
    void recordLeaving(Instant since) { this->drainingSince = std::min(this->drainingSince.value_or(since), since); }

    /// @return True if one more request may be sent now.
    bool hasCapacity(Instant now) const { return this->load.hasCapacity(now) && this->warmUp.hasRoom(now); }
};

/// The upstreams of all services, by key.
class UpstreamTable {
public:
    using Map = absl::flat_hash_map<UpstreamKey, DispatchUpstream>;

    /// @return The upstream, or null. The pointer is valid until the next change of the table.
    DispatchUpstream* find(const UpstreamKey& key)
    {
        const auto found = this->map.find(key);
        return found == this->map.end() ? nullptr : &found->second;
    }
    const DispatchUpstream* find(const UpstreamKey& key) const
    {
        const auto found = this->map.find(key);
        return found == this->map.end() ? nullptr : &found->second;
    }

    Map map;
};

/// Position of a request in a queue, ordered by priority (lowest number first), then by age.
struct QueuePosition {
    std::uint32_t priority {};
    std::uint64_t sequenceNumber {};
    PendingRequestId id;
    /// Regions that may serve the request. Last, so that it does not affect the order.
    RegionSet allowedRegions { RegionSet::all() };

    friend auto operator<=>(const QueuePosition&, const QueuePosition&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
};

using RequestQueue = absl::btree_set<QueuePosition>;

/// Requests for one key since the last load report.
struct KeyUsage {
    std::uint32_t requests {};
    std::uint32_t answered {};
    double busyMs {};
};

/// A service with its upstreams and the requests that wait for them.
struct DispatchService {
    std::string name;
    ServiceItem item;
    std::vector<KeyRange> ranges;
    /// Log index at which `ranges` last changed.
    LogIndex rangesIndex;
    /// In ascending order of DispatchUpstream::preferenceOrder.
    std::vector<UpstreamKey> upstreams;
    RetryWindow retries;
    SilenceEstimate silence;
    SilenceSuspicion suspicion;
    InFlightPerSlot inFlightPerSlot;
    /// Exponential moving average of the response time of the service's upstreams.
    Duration averageLatency { std::chrono::milliseconds { 60 } };
    /// Queued requests if the service is not sharded.
    RequestQueue queue;
    /// Queued requests by the owner of their key. Requests for keys without an owner are under the empty
    /// UpstreamKey.
    absl::btree_map<UpstreamKey, RequestQueue> queues;
    int inFlight {};
    UnconfirmedRanges unconfirmedRanges;
    absl::flat_hash_map<KeyNumber, KeyUsage> usage;
};

/// A request from its arrival to its response.
struct PendingDispatch {
    DispatchRequest request;
    DispatchService* service {};
    std::uint64_t sequenceNumber {};
    /// Attempts so far, except those that were misdirected or not sent.
    std::uint32_t attempts {};
    /// Attempts that may have run the request.
    std::uint32_t possibleRuns {};
    bool isQueued {};
    /// Whether the request is queued by the owner of its key. Stored, because the service may be sharded differently by the
    /// time the request leaves the queue; valid only while isQueued.
    bool isQueuedByOwner {};
    /// Owner under which the request is queued; valid only while isQueuedByOwner.
    UpstreamKey queueOwner;
    bool isHeldBack {};
    /// Upstream of the latest attempt.
    UpstreamKey sentTo;
    bool isSent {};
    /// Whether the request had to wait because an upstream is cold.
    bool isHeldForWarmUp {};
    Instant sentAt;
    /// When the attempt's upstream is taken to have dropped the request; empty if that is not known or already recorded.
    std::optional<Instant> silentAt;
    /// When the attempt has waited much longer than usual; empty if that is not of interest or already recorded.
    std::optional<Instant> overdueAt;
    /// Whether the attempt in flight counts as overdue.
    bool isOverdue {};
    /// Whether the attempt in flight tries an upstream that answers nothing else.
    bool isTrial {};
    Instant expiresAt;
    /// Bytes reserved in the link budget.
    double reservedLinkBytes {};
    std::size_t responseBytes {};
    /// The head of the response is on its way to the caller, so the request is not sent again.
    bool isResponseStarted {};
    /// Time of the attempt in which the caller, not the upstream, delayed the response.
    Duration callerDelay {};
    /// Upstreams that a retry does not use.
    std::vector<UpstreamKey> excludedUpstreams;
    std::uint32_t misdirections {};
    /// Regions that may serve the request.
    RegionSet allowedRegions { RegionSet::all() };

    const RouteItem& route() const noexcept { return this->request.route->item; }

    /// @return Latest time at which a response still has its full value to the caller.
    Instant targetTime() const noexcept { return std::min(this->expiresAt, this->request.arrivedAt + this->route().targetLatency); }

    /// @return The range with the request's key; null if the request has no key, or the service is not sharded or has no ranges.
    const KeyRange* findRange() const { return this->service->item.isSharded && this->request.key ? findKeyRange(this->service->ranges, *this->request.key) : nullptr; }

    QueuePosition position() const noexcept { return { this->route().priority, this->sequenceNumber, this->request.id, this->allowedRegions }; }
};

}
