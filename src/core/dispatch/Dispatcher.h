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

/// Decides which upstream serves a request, how long it waits, and when it is refused. It does no I/O and reads no
/// clock: every call takes the time and returns what is to be done. Not thread-safe.
///
/// A request of a sharded service waits for the owner of its key; any other waits for an upstream with room. Waiting
/// requests leave by priority and then by age. A request is refused on arrival where the queue ahead of it already
/// takes longer than its target latency allows, so that a caller hears at once and the queue stays worth serving.
class Dispatcher {
public:
    explicit Dispatcher(DispatchOptions options);

    /// Takes over upstreams and key owners. Queued requests that became possible are sent.
    void sync(Instant now, const RegistryState& state, DispatchDecisions& decisions);

    /// @param count Entry VMs that share upstreams and the retry budget; at least 1.
    void setEntryCount(std::uint32_t count) noexcept { this->entryCount = std::max(1U, count); }

    void submit(Instant now, DispatchRequest request, DispatchDecisions& decisions);
    /// Reports the size of an answer, before attemptEnded() says what it is worth.
    void responseReceived(PendingRequestId id, std::size_t bytes);
    /// Reports how an attempt ended. The request's next step is among the decisions, which is exactly one for this request.
    void attemptEnded(Instant now, PendingRequestId id, AttemptOutcome outcome, DispatchDecisions& decisions);
    /// The caller left.
    void cancel(Instant now, PendingRequestId id, DispatchDecisions& decisions);
    /// Ends requests whose time is over.
    void advance(Instant now, DispatchDecisions& decisions);
    /// @return When advance() is to be called next, or nothing.
    std::optional<Instant> nextDeadline() const;

    /// @return Requests that are neither answered nor refused yet.
    std::size_t openRequests() const noexcept { return this->exchanges.size(); }

    /// @return Load of the keys since the last call, at most maxKeys for each service.
    std::vector<ServiceKeyLoad> takeKeyLoads(std::size_t maxKeys);

private:
    /// Waits for a key whose owner refused it: long enough for a new owner to be announced, short against deadlines.
    /// Each further refusal doubles the wait.
    static constexpr std::chrono::milliseconds misdirectedHold { 120 };
    static constexpr std::uint32_t maxHoldDoublings { 3 };

    struct Upstream {
        RegisterUpstream announcement;
        UpstreamState state { UpstreamState::Ready };
        UpstreamLoad load;
        /// Round trip beyond one within the availability zone.
        Duration distance {};
        /// Share of the usual latency by which this entry VM prefers others. It differs between entry VMs, so that each
        /// keeps to some upstreams, with few connections, and all together use every upstream alike.
        double aversion {};
        /// When this entry VM heard that the upstream leaves. Empty while it does not.
        std::optional<Instant> drainingSince;
        /// Set by each sync; upstreams that it does not reach are forgotten once nothing is under way there.
        bool isListed { true };
    };

    /// Order in a queue: urgent first, then the oldest.
    struct QueuePlace {
        std::uint32_t priority {};
        std::uint64_t number {};
        PendingRequestId id;

        friend auto operator<=>(const QueuePlace&, const QueuePlace&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
    };
    using Queue = absl::btree_set<QueuePlace>;

    struct KeyUsage {
        std::uint32_t requests {};
        std::uint32_t answered {};
        double busyMs {};
    };

    /// A range whose owner has let go of it, or has not heard of it yet.
    struct UnheldRange {
        /// When an owner is expected to hold the range.
        Instant expectedAt;
        /// When a single request finds out whether the owner holds the range by now.
        Instant tryAt;
        std::uint32_t refusals {};
    };

    struct Service {
        std::string name;
        bool isSharded {};
        std::vector<KeyRange> ranges;
        LogIndex rangesIndex;
        std::vector<UpstreamKey> upstreams;
        RetryWindow retries;
        /// Mean time at an upstream.
        Duration usualLatency { std::chrono::milliseconds { 60 } };
        /// Waiting requests of a service without keys.
        Queue queue;
        /// Waiting requests by owner of their key; those without an owner wait under an empty key.
        absl::btree_map<UpstreamKey, Queue> queues;
        int inFlight {};
        /// Ranges, by first key and fence, that their owner does not hold.
        absl::flat_hash_map<std::uint64_t, UnheldRange> unheldRanges;
        absl::flat_hash_map<KeyNumber, KeyUsage> usage;
    };

    struct Exchange {
        DispatchRequest request;
        Service* service {};
        std::uint64_t number {};
        std::uint32_t sends {};
        /// Sends that may have run.
        std::uint32_t runs {};
        /// Where the request is queued; used only while isQueued.
        UpstreamKey queuedAt;
        bool isQueued {};
        /// The upstream that has it; used only while isSent.
        UpstreamKey sentTo;
        bool isSent {};
        Instant sentAt;
        Instant giveUpAt;
        /// Bytes taken from the link's budget.
        double linkBytes {};
        std::size_t answerBytes {};
        std::vector<UpstreamKey> avoided;
        std::uint32_t misdirections {};
    };

    Service& service(std::string_view name);
    void syncUpstreams(Instant now, const RegistryState& state);
    void syncKeys(Instant now, const RegistryState& state, Service& service);
    Upstream* upstream(const UpstreamKey& key);
    Duration distanceTo(std::string_view zone) const;
    Duration expectedLatency(Instant now, const Service& service, const Upstream& upstream) const;
    bool isDrained(Instant now, const Upstream& upstream) const noexcept;
    std::string_view chooseService(const CompiledRoute& route);
    const KeyRange* rangeOf(const Exchange& exchange) const;
    static std::uint64_t rangeNumber(const KeyRange& range) noexcept { return range.fence.value * keyNumberCount + range.first; }
    /// @return What is known of the request's range where its owner does not hold it; null where it does.
    static const UnheldRange* unheldRange(const Service& service, const KeyRange* range);
    /// @return Until when a request waits for the owner of its key; nothing where it does not wait.
    std::optional<Instant> heldUntil(const Exchange& exchange) const;
    bool isHeld(Instant now, const Exchange& exchange) const;
    void noteMisdirected(Instant now, const Exchange& exchange);
    bool isInTime(Instant now, const Exchange& exchange, Duration latency) const;
    /// @return Requests of a queue that may be sent, those that can still be answered in time first.
    std::vector<PendingRequestId> sendable(Instant now, const Queue& queue, Duration latency) const;

    std::optional<ResultCode> admissionRefusal(Instant now, const Exchange& exchange);
    Duration expectedWait(Instant now, const Exchange& exchange);
    Duration retryAfter(Instant now, const Exchange& exchange, ResultCode reason);
    /// @return True where the link cannot carry the request in time.
    bool isLinkFull(Instant now, const Exchange& exchange);

    void enqueue(Exchange& exchange);
    void dequeue(Exchange& exchange);
    Queue& queueOf(Exchange& exchange);
    void serve(Instant now, Service& service, DispatchDecisions& decisions);
    void serveKeys(Instant now, Service& service, DispatchDecisions& decisions);
    Upstream* chooseUpstream(Instant now, Service& service, const Exchange& exchange);
    double slotShare(const Service& service) const;
    double roomShare(const Service& service) const;
    void send(Instant now, Exchange& exchange, Upstream& target, DispatchDecisions& decisions);
    void refuse(Instant now, Exchange& exchange, ResultCode reason, DispatchDecisions& decisions);
    void settleLink(Instant now, const Exchange& exchange);
    void finish(Instant now, Exchange& exchange, DispatchDecision decision, DispatchDecisions& decisions);
    void tryAgain(Instant now, Exchange& exchange, AttemptOutcome outcome, DispatchDecisions& decisions);
    /// @return True where an upstream is left that has not failed the request yet.
    bool hasOtherUpstream(const Exchange& exchange);
    bool mayRepeat(Instant now, Exchange& exchange, AttemptOutcome outcome);
    void detach(Instant now, Exchange& exchange, std::optional<AttemptOutcome> outcome);
    void expire(Instant now, Exchange& exchange, DispatchDecisions& decisions);

    DispatchOptions options;
    BandwidthBudget link;
    std::uint32_t entryCount { 1 };
    std::uint64_t lastNumber {};
    LogIndex itemsIndex;
    LogIndex upstreamsIndex;
    absl::flat_hash_map<UpstreamKey, Upstream> upstreams;
    absl::btree_map<std::string, std::unique_ptr<Service>, std::less<>> services;
    absl::flat_hash_map<PendingRequestId, std::unique_ptr<Exchange>> exchanges;
    absl::btree_set<std::pair<Instant, PendingRequestId>> deadlines;
    /// Credit of each share of a route, for a smooth rotation by weight.
    absl::flat_hash_map<std::string, std::vector<std::int64_t>> rotation;
    /// Spreads the times at which refused callers return.
    std::uint64_t spreadState { 0x9e3779b97f4a7c15 };
};

}
