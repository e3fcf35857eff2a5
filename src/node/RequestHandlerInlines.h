#pragma once

#include "node/RequestHandler.h"

#include <absl/cleanup/cleanup.h>
#include <functional>
#include <optional>
#include <utility>

namespace teaselturn {

template <RouteSource Routes, UpstreamClient Upstreams, Clock ClockType, RequestObserver Observer>
HttpResponse RequestHandler<Routes, Upstreams, ClockType, Observer>::handle(const HttpRequest& http)
{
    auto parsed = parseCallerRequest(http, this->clock.now());
    if (!parsed) {
        const auto code = static_cast<ResultCode>(parsed.error().value());
        return makeCallerResponse({ Outcome::NotRun, code, {} }, http.header("Teaselturn-Request-Id"));
    }
    auto& spec = parsed->spec;
    const auto service = this->routes.findService(parsed->service);
    if (!service) {
        return makeCallerResponse({ Outcome::NotRun, ResultCode::RequestServiceUnknown, {} }, spec.requestId);
    }
    spec.service = service->id;
    if (this->isRefusingRequests.load(std::memory_order_relaxed)) {
        return makeCallerResponse({ Outcome::NotRun, ResultCode::RequestDraining, {} }, spec.requestId);
    }
    // An idempotent request may run again, so its id is not stored in the table.
    if (!spec.isIdempotent) {
        if (const auto lookup = this->outcomes.begin(spec.arrivedAt, spec.requestId);
            lookup.kind != OutcomeLookup::Kind::New) {
            return makeCallerResponse(this->replayOutcome(lookup), spec.requestId);
        }
    }
    // An id left in progress would occupy its entry forever. After an exception it is unknown whether the request ran.
    absl::Cleanup endInProgress = [&] {
        if (!spec.isIdempotent) {
            this->outcomes.finish(
                this->clock.now(), spec.requestId, { Outcome::Unknown, ResultCode::RequestOutcomeUnknown });
        }
    };
    this->limiters.countRequest(service->id, service->retryBudgetPercent);
    auto outcome = this->run(http, spec, *service);
    const auto upstreamStatus = outcome.outcome == Outcome::Answered ? outcome.response.status : 0;
    this->observer.handleRequestEnd(spec, outcome.outcome, outcome.code, this->clock.now() - spec.arrivedAt, upstreamStatus);
    if (!spec.isIdempotent) {
        this->recordOutcome(spec, outcome);
    }
    std::move(endInProgress).Cancel();
    return makeCallerResponse(std::move(outcome), spec.requestId);
}

template <RouteSource Routes, UpstreamClient Upstreams, Clock ClockType, RequestObserver Observer>
CallerOutcome RequestHandler<Routes, Upstreams, ClockType, Observer>::run(
    const HttpRequest& http, const RequestSpec& spec, const ServiceInfo& service)
{
    RequestMachine machine { spec };
    bool wantsNewConnection = false;
    while (true) {
        const auto version = this->routes.version();
        if (this->isRefusingRequests.load(std::memory_order_relaxed)) {
            const auto step = machine.handleLocalRefusal(this->clock.now(), ResultCode::RequestDraining);
            return { step.outcome, step.code, {} };
        }
        auto route = this->routes.find(spec.service, spec.key);
        std::optional<OwnerInfo> owner;
        if (route && route->owner != UpstreamId {}) {
            owner = this->routes.findOwner(route->owner);
            if (!owner) {
                // The owner was removed between the two lookups.
                route->owner = {};
            }
        }
        const auto now = this->clock.now();
        auto step = machine.handleRoute(now, route, owner && owner->checksGrants, this->routes.isTableFresh(now));
        HttpResponse response;
        if (step.kind == RequestStep::Kind::Send) {
            auto made = this->attempt(http, spec, service, *route, *owner, machine, wantsNewConnection);
            step = made.step;
            response = std::move(made.response);
            wantsNewConnection = made.wantsNewConnection;
        }
        if (step.kind == RequestStep::Kind::Finish) {
            return { step.outcome, step.code, std::move(response) };
        }
        this->routes.waitForChange(version, step.pause);
    }
}

template <RouteSource Routes, UpstreamClient Upstreams, Clock ClockType, RequestObserver Observer>
auto RequestHandler<Routes, Upstreams, ClockType, Observer>::attempt(const HttpRequest& http, const RequestSpec& spec,
    const ServiceInfo& service, const Route& route, const OwnerInfo& owner, RequestMachine& machine,
    bool wantsNewConnection) -> Attempt
{
    const UpstreamCapacity capacity { owner.requestSlots, owner.connectionShare };
    const AdmissionRequest admissionRequest { service.priority, std::hash<std::string_view> {}(spec.customer), spec.deadline };
    switch (this->limiters.acquire(route.owner, capacity, admissionRequest)) {
    case Admission::Granted:
        break;
    case Admission::CircuitOpen:
        return { machine.handleLocalRefusal(this->clock.now(), ResultCode::RequestCircuitOpen), {}, wantsNewConnection };
    case Admission::WaitTimedOut:
        return { machine.handleWithdrawal(this->clock.now()), {}, wantsNewConnection };
    case Admission::Shed:
        return { machine.handleLocalRefusal(this->clock.now(), ResultCode::RequestShed), {}, wantsNewConnection };
    }
    absl::Cleanup releaseSlot = [&] {
        this->limiters.release(
            route.owner, LimiterSample::Ignored, {}, LimiterTable<ClockType>::Health::Ignored);
    };
    const auto now = this->clock.now();
    const auto deadline = machine.attemptDeadline(now);
    const UpstreamHeaders headers { http, spec, route, owner.endpoint, deadline - now };
    const HttpRequest outgoing { http.method, http.target, headers.headerViews(), http.body, {} };
    auto report = this->upstreams.send({ owner.endpoint, owner.connectionShare, outgoing, spec.requestId, deadline,
        wantsNewConnection, [&] { return this->isStillOwner(spec, route, owner); } });
    std::move(releaseSlot).Cancel();
    this->recordAttempt(spec, route.owner, report);
    const auto endedAt = this->clock.now();
    switch (report.kind) {
    case AttemptReport::Kind::Limited:
        return { machine.handleLocalRefusal(endedAt, ResultCode::RequestShed), {}, wantsNewConnection };
    case AttemptReport::Kind::Withdrawn:
        return { machine.handleWithdrawal(endedAt), {}, wantsNewConnection };
    case AttemptReport::Kind::Made:
        break;
    }
    const bool mayRetry = !machine.usesRetryBudget(report.result) || this->limiters.tryRetry(service.id);
    const bool shouldReconnect = report.result == AttemptResult::TimedOut || report.result == AttemptResult::Broken;
    return { machine.handleAttemptResult(endedAt, report.result, mayRetry), std::move(report.response), shouldReconnect };
}

template <RouteSource Routes, UpstreamClient Upstreams, Clock ClockType, RequestObserver Observer>
bool RequestHandler<Routes, Upstreams, ClockType, Observer>::isStillOwner(
    const RequestSpec& spec, const Route& route, const OwnerInfo& owner)
{
    const auto current = this->routes.find(spec.service, spec.key);
    if (!current || current->slot != route.slot || current->owner != route.owner || current->fence != route.fence) {
        return false;
    }
    return owner.checksGrants || (!current->isMoving && this->routes.isTableFresh(this->clock.now()));
}

template <RouteSource Routes, UpstreamClient Upstreams, Clock ClockType, RequestObserver Observer>
void RequestHandler<Routes, Upstreams, ClockType, Observer>::recordAttempt(
    const RequestSpec& spec, UpstreamId owner, const AttemptReport& report)
{
    using Health = typename LimiterTable<ClockType>::Health;
    /// A shorter attempt that times out says nothing about the upstream.
    constexpr std::chrono::milliseconds minTimeoutLatency { 100 };
    auto sample = LimiterSample::Ignored;
    auto health = Health::Ignored;
    if (report.kind == AttemptReport::Kind::Made) {
        this->observer.handleAttemptEnd(spec, owner, report.result, report.latency);
        switch (report.result) {
        case AttemptResult::Answered:
            sample = LimiterSample::Good;
            health = Health::Responds;
            break;
        case AttemptResult::RefusedByFence:
            health = Health::Responds;
            break;
        case AttemptResult::RefusedByLoad:
            sample = LimiterSample::Overload;
            health = Health::Responds;
            break;
        case AttemptResult::TimedOut:
            sample = LimiterSample::Overload;
            health = report.latency >= minTimeoutLatency ? Health::Fails : Health::Ignored;
            break;
        case AttemptResult::ConnectionRefused:
        case AttemptResult::Broken:
        case AttemptResult::Incomplete:
        case AttemptResult::Mismatched:
            health = Health::Fails;
            break;
        }
    }
    if (this->limiters.release(owner, sample, report.latency, health)) {
        this->observer.handleCircuitOpened(owner);
    }
}

template <RouteSource Routes, UpstreamClient Upstreams, Clock ClockType, RequestObserver Observer>
CallerOutcome RequestHandler<Routes, Upstreams, ClockType, Observer>::replayOutcome(const OutcomeLookup& lookup) const
{
    if (lookup.kind == OutcomeLookup::Kind::Full) {
        return { Outcome::NotRun, ResultCode::RequestShed, {} };
    }
    if (lookup.kind == OutcomeLookup::Kind::InProgress || !lookup.recorded->isBodyStored) {
        return { Outcome::Unknown, ResultCode::RequestDuplicate, {} };
    }
    const auto& recorded = *lookup.recorded;
    CallerOutcome outcome { recorded.outcome, recorded.code, { recorded.status, {}, recorded.body } };
    if (!recorded.contentType.empty()) {
        outcome.response.headers.push_back({ "Content-Type", recorded.contentType });
    }
    return outcome;
}

template <RouteSource Routes, UpstreamClient Upstreams, Clock ClockType, RequestObserver Observer>
void RequestHandler<Routes, Upstreams, ClockType, Observer>::recordOutcome(
    const RequestSpec& spec, const CallerOutcome& outcome)
{
    RecordedOutcome recorded { outcome.outcome, outcome.code, outcome.response.status };
    if (outcome.outcome == Outcome::Answered) {
        recorded.isBodyStored = outcome.response.body.size() <= OutcomeTable::maxStoredBodyBytes;
        if (recorded.isBodyStored) {
            recorded.body = outcome.response.body;
        }
        recorded.contentType = outcome.response.header("Content-Type");
    }
    this->outcomes.finish(this->clock.now(), spec.requestId, std::move(recorded));
}

}
