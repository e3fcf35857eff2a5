#pragma once

#include "core/dispatch/DispatchTables.h"
#include "core/dispatch/UpstreamChoice.h"
#include "core/dispatch/UpstreamEligibility.h"

#include <absl/container/btree_set.h>
#include <optional>
#include <utility>

namespace teaselturn {

/// Decides what follows from a request in flight without a response. Answers upstreams that never respond to a request that they
/// cannot queue. An overdue request only lowers limits; one that was probably dropped may also be sent again, if it is
/// idempotent. Not thread-safe.
class SilenceReaction {
public:
    /// The references must outlive this object.
    SilenceReaction(UpstreamTable& upstreams, const UpstreamEligibility& eligibility, const UpstreamChoice& choice) noexcept
        : upstreams(upstreams)
        , eligibility(eligibility)
        , choice(choice)
    {
    }

    /// Records a request that is sent to the upstream, before the upstream counts it as in flight.
    void recordSent(Instant now, PendingDispatch& pending, DispatchUpstream& target);
    /// Records the end of the request's attempt.
    /// @param outcome Empty if the attempt was cancelled.
    /// @param latency Time from sending the request to the end of the attempt.
    void recordEnded(Instant now, PendingDispatch& pending, std::optional<AttemptOutcome> outcome, Duration latency);
    /// Records that the request's attempt got no response by the deadline. Called before recordEnded().
    static void recordExpired(Instant now, const PendingDispatch& pending);
    /// Records that the response to the request has begun.
    void recordResponseStarted(PendingDispatch& pending);

    /// Records that the request's attempt was probably dropped.
    /// @return True if the request should be given up and sent again, provided that its retries allow it.
    bool mayGiveUp(Instant now, PendingDispatch& pending);

    /// @return When the next request in flight becomes overdue; empty if none does.
    std::optional<Instant> nextOverdueAt() const { return this->overdueChecks.empty() ? std::nullopt : std::optional { this->overdueChecks.begin()->first }; }
    /// @return The next request that has become overdue; empty if there is none. It is returned once.
    std::optional<PendingRequestId> takeOverdue(Instant now);
    /// Lowers the limits if other requests at the upstream or in the service are overdue too.
    void recordOverdue(Instant now, PendingDispatch& pending);

private:
    /// @return When an attempt that is sent now counts as dropped by its upstream; empty if its deadline comes first or the
    /// service's upstreams respond to all requests.
    static std::optional<Instant> silentAfter(Instant now, const PendingDispatch& pending, const DispatchUpstream& target);
    /// @return True if the request may run again and another upstream, or another connection of its owner, can take it now.
    bool canResendNow(Instant now, PendingDispatch& pending);
    /// Ends the check of the request, and no longer counts it as overdue.
    void clearOverdue(PendingDispatch& pending, DispatchUpstream* target);

    UpstreamTable& upstreams;
    const UpstreamEligibility& eligibility;
    const UpstreamChoice& choice;
    absl::btree_set<std::pair<Instant, PendingRequestId>> overdueChecks;
};

}
