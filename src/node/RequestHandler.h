#pragma once

#include "adapters/http/UpstreamAttempt.h"
#include "core/request/RequestMachine.h"
#include "node/CallerRequest.h"
#include "node/LimiterTable.h"
#include "node/OutcomeRegistry.h"
#include "node/RouteSource.h"
#include "teaselturn/Ports.h"

#include <atomic>
#include <concepts>

namespace teaselturn {

/// Receives the end of each request and attempt, for counters and logs.
template <typename T>
concept RequestObserver = requires(T& observer, const RequestSpec& request, Outcome outcome, ResultCode code,
    Duration latency, UpstreamId upstream, AttemptResult result, int upstreamStatus)
{
    { observer.handleRequestEnd(request, outcome, code, latency, upstreamStatus) };
    { observer.handleAttemptEnd(request, upstream, result, latency) };
    { observer.handleCircuitOpened(upstream) };
};

/// Ignores all events.
struct NoRequestObserver {
    void handleRequestEnd(const RequestSpec&, Outcome, ResultCode, Duration, int) { }
    void handleAttemptEnd(const RequestSpec&, UpstreamId, AttemptResult, Duration) { }
    void handleCircuitOpened(UpstreamId) { }
};

/// Serves callers' requests: validates them, looks up the owner, makes attempts as RequestMachine decides, and returns
/// the response. All workers may call it concurrently; each call blocks its worker until the request ends.
/// @tparam Routes Finds services, routes and owners.
/// @tparam Upstreams Makes attempts.
template <RouteSource Routes, UpstreamClient Upstreams, Clock ClockType, RequestObserver Observer = NoRequestObserver>
class RequestHandler {
public:
    /// The references outlive the handler.
    RequestHandler(Routes& routes, Upstreams& upstreams, const ClockType& clock, LimiterTable<ClockType>& limiters,
        OutcomeRegistry& outcomes, Observer& observer)
        : routes(routes)
        , upstreams(upstreams)
        , clock(clock)
        , limiters(limiters)
        , outcomes(outcomes)
        , observer(observer)
    {
    }

    /// @return The whole response to the caller.
    HttpResponse handle(const HttpRequest& http);

    /// Refuses new and waiting requests as draining from now on, and makes no further attempt. Attempts in progress are not
    /// interrupted.
    void refuseRequests() noexcept { this->isRefusingRequests.store(true, std::memory_order_relaxed); }

private:
    struct Attempt {
        RequestStep step;
        HttpResponse response;
        bool wantsNewConnection {};
    };

    CallerOutcome run(const HttpRequest& http, const RequestSpec& spec, const ServiceInfo& service);
    Attempt attempt(const HttpRequest& http, const RequestSpec& spec, const ServiceInfo& service, const Route& route,
        const OwnerInfo& owner, RequestMachine& machine, bool wantsNewConnection);
    bool isStillOwner(const RequestSpec& spec, const Route& route, const OwnerInfo& owner);
    void recordAttempt(const RequestSpec& spec, UpstreamId owner, const AttemptReport& report);
    CallerOutcome replayOutcome(const OutcomeLookup& lookup) const;
    void recordOutcome(const RequestSpec& spec, const CallerOutcome& outcome);

    Routes& routes;
    Upstreams& upstreams;
    const ClockType& clock;
    LimiterTable<ClockType>& limiters;
    OutcomeRegistry& outcomes;
    Observer& observer;
    std::atomic<bool> isRefusingRequests {};
};

}

#include "node/RequestHandlerInlines.h"
