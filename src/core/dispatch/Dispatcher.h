#pragma once

#include "core/dispatch/Admission.h"
#include "core/dispatch/BandwidthBudget.h"
#include "core/dispatch/CapacityEstimate.h"
#include "core/dispatch/DispatchTables.h"
#include "core/dispatch/DispatchTypes.h"
#include "core/dispatch/ReturnTime.h"
#include "core/dispatch/SilenceReaction.h"
#include "core/dispatch/UpstreamChoice.h"
#include "core/dispatch/UpstreamEligibility.h"
#include "core/dispatch/WarmUpShare.h"
#include "core/dispatch/ZoneEvacuations.h"
#include "core/registry/RegistryState.h"
#include "teaselturn/Message.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace teaselturn {

/// Decides which upstream serves a request, how long the request waits, and when it is refused. It does no I/O and
/// reads no clock: the caller passes the current time and executes the returned decisions. Not thread-safe.
///
/// A request to a sharded service waits for the owner of its key; any other request waits for an upstream with free
/// capacity. Queued requests are sent by priority, then by age. A request is refused on arrival if the expected wait in
/// the queue exceeds its target latency, so that callers fail fast and the queue holds only requests that can still be
/// served in time.
class Dispatcher {
public:
    explicit Dispatcher(DispatchOptions options);
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /// Applies the upstreams, key owners and evacuation orders of the registry, then sends queued requests for which an
    /// upstream became available.
    /// @param lastCurrentAt Time at which the copy of the registry was last known to be current. New evacuation orders and
    /// departures count from it, because they may have been acknowledged at any time since.
    void sync(Instant now, Instant lastCurrentAt, const RegistryState& state, DispatchDecisions& decisions);
    void sync(Instant now, const RegistryState& state, DispatchDecisions& decisions) { this->sync(now, now, state, decisions); }

    /// @param count Entry VMs that share upstreams and the retry budget; at least 1.
    void setEntryCount(std::uint32_t count);

    /// Leaves more of a full link to the registry's feed, or less again.
    void setFeedDelayed(Instant now, bool isDelayed) noexcept { this->linkBudget.setFeedDelayed(now, isDelayed); }

    /// Refuses from now on new requests that may still be in progress when the process ends.
    void refuseRequestsBeyond(Instant processEnd) noexcept { this->admission.refuseRequestsBeyond(processEnd); }
    /// Ends every pending request, because the process ends: refuses those that certainly did not run, and fails the others
    /// with RequestOutcomeUnknown.
    void endAll(Instant now, DispatchDecisions& decisions);

    /// Refuses, sends or queues a new request.
    void submit(Instant now, DispatchRequest request, DispatchDecisions& decisions);
    /// Records that the response to a request is forwarded while it arrives. From then on the request is not sent again, and
    /// it does not end at its deadline: what is ready is delivered.
    void responseStarted(PendingRequestId id);
    /// Records the size of a response. Called before attemptEnded() reports the outcome of the same attempt.
    /// @param callerDelay Time in which the caller, not the upstream, delayed the response.
    void responseReceived(PendingRequestId id, std::size_t bytes, Duration callerDelay = Duration::zero());
    /// Applies what the upstream of a request's attempt states about itself. Called before attemptEnded() reports the
    /// outcome of the same attempt.
    void noticeReceived(Instant now, PendingRequestId id, const UpstreamNotice& notice, DispatchDecisions& decisions);
    /// Records that no process listens at the upstream of a request's attempt. Called before attemptEnded() reports the outcome
    /// of the same attempt. If the upstream's service needs a warm-up, the next process there is taken for a cold one: the
    /// registry may hear of it later, or cannot be reached.
    void connectionRefused(Instant now, PendingRequestId id);
    /// Handles the end of an attempt: completes the request, or queues it for a retry. Adds at most one decision for
    /// this request, and others for queued requests that can now be sent.
    void attemptEnded(Instant now, PendingRequestId id, AttemptOutcome outcome, DispatchDecisions& decisions);
    /// Cancels a request whose caller disconnected.
    void cancel(Instant now, PendingRequestId id, DispatchDecisions& decisions);
    /// Ends requests that have expired, and dispatches those whose deferral has ended.
    void advance(Instant now, DispatchDecisions& decisions);
    /// @return When to call advance() next; empty if no request is pending.
    std::optional<Instant> nextDeadline() const;

    /// @return Number of requests that are queued or sent.
    std::size_t pendingRequestCount() const noexcept { return this->pendingRequests.size(); }

    /// Returns the requests that a limit far under the stated slots has held back since the last call, and resets them. A
    /// request counts once.
    HeldBackRequests takeHeldBack() { return std::exchange(this->heldBack, {}); }

    /// Returns the load of each key since the last call and resets it.
    /// @param maxKeys Limit for each service; the keys with the most requests are kept.
    std::vector<ServiceKeyLoad> takeKeyLoads(std::size_t maxKeys);

private:
    DispatchService& findOrCreateService(std::string_view name);
    void syncUpstreams(Instant now, Instant lastCurrentAt, const RegistryState& state);
    /// Decides whether an upstream that the registry lists as gone still serves its keys.
    void syncDeparture(Instant now, Instant lastCurrentAt, const UpstreamKey& key, const RegistryState& state);
    /// Confines pending requests to the regions that the newest versions of their routes allow.
    void syncAllowedRegions(const RegistryState& state);
    /// Applies the known evacuation orders to all upstreams.
    void syncEvacuations(Instant now);
    /// @return Limit of an upstream that may be used again from now on.
    ReturnRamp makeReturnRamp(Instant now, const DispatchUpstream& upstream) const;
    /// Moves queued requests to the queues that the service's present item and key owners ask for. Requests keep their order.
    void requeue(DispatchService& service);
    /// Begins and ends warm-ups as the registry states them, and those of new upstreams that it states nothing about.
    void syncWarmUps(Instant now, const RegistryState& state);
    /// Applies the warm-ups of new service items to the limits in effect.
    void syncWarmUpItems();
    void beginWarmUp(Instant now, const ServiceItem& service, DispatchUpstream& upstream, Duration timeLeft);
    void syncKeys(Instant now, const RegistryState& state, DispatchService& service);
    Duration extraRoundTripTo(std::string_view zone) const;
    void recordLeaving(Instant now, DispatchUpstream& upstream);
    /// Refuses queued requests that a paused upstream cannot serve in time, and schedules the others for the end of the
    /// pause.
    void refuseWhilePaused(Instant now, DispatchService& service, const DispatchUpstream& upstream, DispatchDecisions& decisions);
    std::string_view chooseService(const CompiledRoute& route);
    /// @return Time before which the request must not be sent because no owner holds its key; empty if it may be
    /// sent at once.
    std::optional<Instant> deferredUntil(const PendingDispatch& pending) const;
    bool isDeferred(Instant now, const PendingDispatch& pending) const;
    /// @return Requests of a queue that may be sent now, in the order in which they are sent.
    std::vector<PendingRequestId> selectSendable(Instant now, const RequestQueue& queue, Duration latency) const;

    /// @return True if the link's backlog delays the request too long for its target latency.
    bool isLinkFull(Instant now, const PendingDispatch& pending);

    /// @return True if the request would have to cross a full link between regions to the owner of its key.
    bool isRegionLinkFull(Instant now, const PendingDispatch& pending) const;

    void enqueue(PendingDispatch& pending);
    void dequeue(PendingDispatch& pending);
    RequestQueue& queueFor(PendingDispatch& pending);
    /// Sends queued requests of a service to upstreams with free capacity.
    void dispatchQueued(Instant now, DispatchService& service, DispatchDecisions& decisions);
    /// Refuses requests of a queue that probably cannot be answered before they expire, so that they neither wait for their
    /// deadline nor take capacity from others.
    void refuseHopeless(Instant now, const RequestQueue& queue, Duration typicalLatency, DispatchDecisions& decisions);
    void dispatchQueuedByOwner(Instant now, DispatchService& service, DispatchDecisions& decisions);
    /// Refuses the requests of a queue that no upstream may be sent any more.
    void refuseUnplaceable(Instant now, const RequestQueue& queue, DispatchDecisions& decisions);
    /// Refuses queued requests that a cold owner cannot be sent in their time.
    void refuseWhileCold(Instant now, DispatchService& service, const DispatchUpstream& owner, DispatchDecisions& decisions);
    /// Schedules the next dispatch of a queue for the time at which a cold owner may be sent a request.
    void scheduleForWarmUp(Instant now, DispatchService& service, const DispatchUpstream& owner);
    /// Schedules the next dispatch of a request without a key that waits for cold upstreams.
    void scheduleForWarmUp(Instant now, DispatchService& service, PendingDispatch& pending);
    /// Counts a queued request that the limit of an upstream holds back.
    void recordHeldBack(Instant now, PendingDispatch& pending);
    DispatchUpstream* chooseUpstream(Instant now, DispatchService& service, const PendingDispatch& pending);
    void send(Instant now, PendingDispatch& pending, DispatchUpstream& target, DispatchDecisions& decisions);
    /// Records that an attempt was probably dropped without a response, and sends the request again if it can be.
    void handleSilence(Instant now, PendingDispatch& pending, DispatchDecisions& decisions);
    /// Lets requests in flight that became overdue lower the limits.
    void recordOverdue(Instant now);
    /// Ends a request that has no attempt in flight. Refuses it if it certainly did not run; if an earlier attempt may
    /// have run, fails it with RequestOutcomeUnknown.
    void refuseOrFail(Instant now, PendingDispatch& pending, ResultCode reason, DispatchDecisions& decisions);
    /// Replaces the reserved bytes of a request by the bytes that it used.
    void settleLinkBudget(Instant now, const PendingDispatch& pending);
    void finish(Instant now, PendingDispatch& pending, DispatchDecision decision, DispatchDecisions& decisions);
    /// Queues a request for another attempt, or ends it if no upstream can run it.
    void retry(Instant now, PendingDispatch& pending, AttemptOutcome outcome, DispatchDecisions& decisions);
    /// @return True if the request may be retried at another upstream of the service.
    bool hasOtherUpstream(Instant now, const PendingDispatch& pending);
    /// Decides whether to retry. Consumes a retry of the service's budget, unless the request was not sent.
    bool tryConsumeRetry(Instant now, PendingDispatch& pending, AttemptOutcome outcome);
    /// Records the end of the outstanding attempt, if any.
    /// @param outcome Empty if the attempt was cancelled.
    void recordAttemptEnd(Instant now, PendingDispatch& pending, std::optional<AttemptOutcome> outcome);
    void expire(Instant now, PendingDispatch& pending, DispatchDecisions& decisions);

    DispatchOptions options;
    RegionTable regions;
    BandwidthBudget linkBudget;
    std::uint64_t lastSequenceNumber {};
    LogIndex itemsIndex;
    LogIndex upstreamsIndex;
    LogIndex evacuationsIndex;
    ZoneEvacuations evacuations;
    /// When the last ramp of an upstream that returned from an evacuation ends.
    Instant rampsEnd;
    LogIndex warmUpsIndex;
    bool hasSynced {};
    UpstreamTable upstreams;
    RegionLinkSign regionLinkSign;
    RegionLinkLimit regionLink;
    UpstreamEligibility eligibility { this->options, this->regionLink };
    CapacityEstimate capacity { this->upstreams };
    WarmUpShare warmUpShare { this->options };
    UpstreamChoice choice { this->options, this->capacity };
    SilenceReaction silenceReaction { this->upstreams, this->eligibility, this->choice };
    Admission admission { this->upstreams, this->eligibility, this->capacity, this->choice };
    ReturnTime returnTime;
    HeldBackRequests heldBack;
    /// Upstreams whose responses said that they leave. Kept apart from `upstreams`, so that a late heartbeat or an older
    /// state of the registry does not make them usable again.
    absl::flat_hash_map<UpstreamKey, Instant> leavingSince;
    absl::btree_map<std::string, std::unique_ptr<DispatchService>, std::less<>> services;
    absl::flat_hash_map<PendingRequestId, std::unique_ptr<PendingDispatch>> pendingRequests;
    absl::btree_set<std::pair<Instant, PendingRequestId>> deadlines;
    /// Credit of each share of a route, for smooth weighted round robin.
    absl::flat_hash_map<std::string, std::vector<std::int64_t>> rotationCredits;
};

}
