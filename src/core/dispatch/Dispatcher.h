#pragma once

#include "core/dispatch/BandwidthBudget.h"
#include "core/dispatch/DispatchTypes.h"
#include "core/dispatch/RetryWindow.h"
#include "core/dispatch/UpstreamLoad.h"
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

    /// Applies the upstreams and key owners of the registry, then sends queued requests for which an upstream became
    /// available.
    void sync(Instant now, const RegistryState& state, DispatchDecisions& decisions);

    /// @param count Entry VMs that share upstreams and the retry budget; at least 1.
    void setEntryCount(std::uint32_t count) noexcept { this->entryVmCount = std::max(1U, count); }

    /// Refuses from now on new requests that may still be in progress when the process ends.
    void refuseRequestsBeyond(Instant processEnd) noexcept { this->processEnd = processEnd; }
    /// Ends every pending request, because the process ends: refuses those that certainly did not run, and fails the others
    /// with RequestOutcomeUnknown.
    void endAll(Instant now, DispatchDecisions& decisions);

    /// Refuses, sends or queues a new request.
    void submit(Instant now, DispatchRequest request, DispatchDecisions& decisions);
    /// Records the size of a response. Called before attemptEnded() reports the outcome of the same attempt.
    void responseReceived(PendingRequestId id, std::size_t bytes);
    /// Applies what the upstream of a request's attempt states about itself. Called before attemptEnded() reports the
    /// outcome of the same attempt.
    void noticeReceived(Instant now, PendingRequestId id, const UpstreamNotice& notice, DispatchDecisions& decisions);
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

    /// Returns the load of each key since the last call and resets it.
    /// @param maxKeys Limit for each service; the keys with the most requests are kept.
    std::vector<ServiceKeyLoad> takeKeyLoads(std::size_t maxKeys);

private:
    /// Delay before a request is sent again to an owner that refused its key: long enough for a new owner to be
    /// announced, short compared with request deadlines. Each further refusal doubles the delay.
    static constexpr std::chrono::milliseconds misdirectedRetryDelay { 120 };
    static constexpr std::uint32_t maxRetryDelayDoublings { 3 };

    struct Upstream {
        RegisterUpstream announcement;
        UpstreamState state { UpstreamState::Ready };
        UpstreamLoad load;
        /// Round-trip time in excess of one within the availability zone.
        Duration extraRoundTrip {};
        /// Handicap added to the expected latency of this upstream, as a fraction of the service's average latency. It
        /// differs between entry VMs, so that each uses few upstreams and connections while the load of all entry VMs
        /// spreads evenly over the upstreams.
        double preferencePenalty {};
        /// Whether requests to it cross the narrow link between regions.
        bool isInOtherRegion {};
        /// When this entry VM learned that the upstream is draining, from the registry or from the upstream's own
        /// responses; empty if it is not.
        std::optional<Instant> drainingSince;
        /// Whether the last sync found the upstream in the registry. If not, the first sync that finds no requests in
        /// flight to it removes it.
        bool isRegistered { true };
    };

    /// Position of a request in a queue, ordered by priority (lowest number first), then by age.
    struct QueuePosition {
        std::uint32_t priority {};
        std::uint64_t sequenceNumber {};
        PendingRequestId id;

        friend auto operator<=>(const QueuePosition&, const QueuePosition&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
    };
    using Queue = absl::btree_set<QueuePosition>;

    struct KeyUsage {
        std::uint32_t requests {};
        std::uint32_t answered {};
        double busyMs {};
    };

    /// A key range that its assigned owner is not known to hold: the previous owner has released it, or the new one has
    /// not learned of it yet.
    struct UnconfirmedRange {
        /// When an owner is expected to hold the range; used to estimate the wait on admission.
        Instant expectedAt;
        /// When a single request may be sent to probe whether the owner holds the range.
        Instant probeAt;
        std::uint32_t refusals {};
    };

    struct Service {
        std::string name;
        bool isSharded {};
        std::vector<KeyRange> ranges;
        /// Log index at which `ranges` last changed.
        LogIndex rangesIndex;
        std::vector<UpstreamKey> upstreams;
        RetryWindow retries;
        /// Exponential moving average of the response time of the service's upstreams.
        Duration averageLatency { std::chrono::milliseconds { 60 } };
        /// Queued requests if the service is not sharded.
        Queue queue;
        /// Queued requests by the owner of their key. Requests for keys without an owner are under the empty
        /// UpstreamKey.
        absl::btree_map<UpstreamKey, Queue> queues;
        int inFlight {};
        /// Ranges whose assigned owner is not known to hold them, by rangeId().
        absl::flat_hash_map<std::uint64_t, UnconfirmedRange> unconfirmedRanges;
        absl::flat_hash_map<KeyNumber, KeyUsage> usage;
    };

    struct PendingRequest {
        DispatchRequest request;
        Service* service {};
        std::uint64_t sequenceNumber {};
        /// Attempts so far, except those that were misdirected or not sent.
        std::uint32_t attempts {};
        /// Attempts that may have run the request.
        std::uint32_t possibleRuns {};
        /// Owner under which the request is queued; valid only while isQueued.
        UpstreamKey queueOwner;
        bool isQueued {};
        /// Upstream of the latest attempt.
        UpstreamKey sentTo;
        bool isSent {};
        Instant sentAt;
        Instant expiresAt;
        /// Bytes reserved in the link budget.
        double reservedLinkBytes {};
        std::size_t responseBytes {};
        /// Upstreams that a retry does not use.
        std::vector<UpstreamKey> excludedUpstreams;
        std::uint32_t misdirections {};
    };

    Service& findOrCreateService(std::string_view name);
    void syncUpstreams(Instant now, const RegistryState& state);
    void syncKeys(Instant now, const RegistryState& state, Service& service);
    Upstream* findUpstream(const UpstreamKey& key);
    Duration extraRoundTripTo(std::string_view zone) const;
    Duration expectedLatency(Instant now, const Service& service, const Upstream& upstream) const;
    bool isDrained(Instant now, const Upstream& upstream) const noexcept;
    void recordLeaving(Instant now, Upstream& upstream);
    /// Refuses queued requests that a paused upstream cannot serve in time, and schedules the others for the end of the
    /// pause.
    void refuseWhilePaused(Instant now, Service& service, const Upstream& upstream, DispatchDecisions& decisions);
    std::string_view chooseService(const CompiledRoute& route);
    const KeyRange* findRange(const PendingRequest& pending) const;
    static std::uint64_t rangeId(const KeyRange& range) noexcept { return range.fence.value * keyNumberCount + range.first; }
    /// @param range May be null.
    /// @return The record of a range whose assigned owner does not hold it yet; null if there is none.
    static const UnconfirmedRange* findUnconfirmedRange(const Service& service, const KeyRange* range);
    /// @return Time before which the request must not be sent because no owner holds its key; empty if it may be
    /// sent at once.
    std::optional<Instant> deferredUntil(const PendingRequest& pending) const;
    bool isDeferred(Instant now, const PendingRequest& pending) const;
    void recordMisdirection(Instant now, const PendingRequest& pending);
    bool canMeetTargetLatency(Instant now, const PendingRequest& pending, Duration latency) const;
    /// @return Requests of a queue that may be sent; those that can still meet their target latency come first.
    std::vector<PendingRequestId> selectSendable(Instant now, const Queue& queue, Duration latency) const;

    /// @return Reason to refuse a new request; empty if it is admitted.
    std::optional<ResultCode> checkAdmission(Instant now, const PendingRequest& pending);
    Duration estimateWait(Instant now, const PendingRequest& pending);
    Duration retryAfter(Instant now, const PendingRequest& pending, ResultCode reason);
    /// @return True if the link's backlog delays the request too long for its target latency.
    bool isLinkFull(Instant now, const PendingRequest& pending);

    void enqueue(PendingRequest& pending);
    void dequeue(PendingRequest& pending);
    Queue& queueFor(PendingRequest& pending);
    /// Sends queued requests of a service to upstreams with free capacity.
    void dispatchQueued(Instant now, Service& service, DispatchDecisions& decisions);
    void dispatchQueuedByOwner(Instant now, Service& service, DispatchDecisions& decisions);
    Upstream* chooseUpstream(Instant now, Service& service, const PendingRequest& pending);
    /// @return This entry VM's share of the request slots of a service that is not sharded.
    double slotShare(const Service& service) const;
    /// @return Limit of this entry VM's requests in flight to a service that is not sharded.
    double inFlightLimit(const Service& service) const;
    void send(Instant now, PendingRequest& pending, Upstream& target, DispatchDecisions& decisions);
    /// Ends a request that has no attempt in flight. Refuses it if it certainly did not run; if an earlier attempt may
    /// have run, fails it with RequestOutcomeUnknown.
    void refuseOrFail(Instant now, PendingRequest& pending, ResultCode reason, DispatchDecisions& decisions);
    /// Replaces the reserved bytes of a request by the bytes that it used.
    void settleLinkBudget(Instant now, const PendingRequest& pending);
    void finish(Instant now, PendingRequest& pending, DispatchDecision decision, DispatchDecisions& decisions);
    /// Queues a request for another attempt, or ends it if no upstream can run it.
    void retry(Instant now, PendingRequest& pending, AttemptOutcome outcome, DispatchDecisions& decisions);
    /// @return True if the request may be retried at another upstream of the service.
    bool hasOtherUpstream(Instant now, const PendingRequest& pending);
    /// Decides whether to retry. Consumes a retry of the service's budget, unless the request was not sent.
    bool tryConsumeRetry(Instant now, PendingRequest& pending, AttemptOutcome outcome);
    /// Records the end of the outstanding attempt, if any.
    /// @param outcome Empty if the attempt was cancelled.
    void recordAttemptEnd(Instant now, PendingRequest& pending, std::optional<AttemptOutcome> outcome);
    void expire(Instant now, PendingRequest& pending, DispatchDecisions& decisions);

    DispatchOptions options;
    BandwidthBudget linkBudget;
    std::uint32_t entryVmCount { 1 };
    /// When the process ends; empty if it is not stopping.
    std::optional<Instant> processEnd;
    std::uint64_t lastSequenceNumber {};
    LogIndex itemsIndex;
    LogIndex upstreamsIndex;
    absl::flat_hash_map<UpstreamKey, Upstream> upstreams;
    /// Upstreams whose responses said that they leave. Kept apart from `upstreams`, so that a late heartbeat or an older
    /// state of the registry does not make them usable again.
    absl::flat_hash_map<UpstreamKey, Instant> leavingSince;
    absl::btree_map<std::string, std::unique_ptr<Service>, std::less<>> services;
    absl::flat_hash_map<PendingRequestId, std::unique_ptr<PendingRequest>> pendingRequests;
    absl::btree_set<std::pair<Instant, PendingRequestId>> deadlines;
    /// Credit of each share of a route, for smooth weighted round robin.
    absl::flat_hash_map<std::string, std::vector<std::int64_t>> rotationCredits;
    /// State of the xorshift generator that adds jitter to retryAfter().
    std::uint64_t jitterState { 0x9e3779b97f4a7c15 };
};

}
