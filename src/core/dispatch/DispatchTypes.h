#pragma once

#include "core/dispatch/RouteIndex.h"
#include "core/dispatch/UpstreamLoad.h"
#include "teaselturn/Registry.h"
#include "teaselturn/ResultCode.h"
#include "teaselturn/Types.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Requests, decisions and settings of the dispatcher.
namespace teaselturn {

/// Identifies a pending request within one process.
using PendingRequestId = StrongId<struct PendingRequestIdTag, std::uint64_t>;

/// The properties of a caller's request that affect how it is dispatched.
struct DispatchRequest {
    PendingRequestId id;
    std::shared_ptr<const CompiledRoute> route;
    /// Key of a sharded service. Empty if the request has no key.
    std::optional<KeyNumber> key;
    Instant arrivedAt;
    /// When the caller stops waiting for a response.
    Instant deadline;
    /// Size of the request including headers.
    std::size_t bytes {};
};

/// Sends the request to an upstream.
struct SendRequest {
    PendingRequestId id;
    UpstreamKey upstream;
    Endpoint endpoint;
    /// Time that the upstream has to respond.
    Duration timeLeft {};
    /// True if the request had to wait because the upstream is cold.
    bool wasHeldForWarmUp {};
};

/// Tells the caller that the request did not run and will not run.
struct RefuseRequest {
    PendingRequestId id;
    ResultCode reason {};
    /// Time after which the caller may retry.
    Duration retryAfter {};
};

/// Tells the caller that the outcome is unknown: the request may or may not have run.
struct FailRequest {
    PendingRequestId id;
    ResultCode reason {};
};

/// Forwards the response that was just received to the caller.
struct DeliverResponse {
    PendingRequestId id;
};

/// Cancels the outstanding attempt because no caller waits for its response any more.
struct CancelAttempt {
    PendingRequestId id;
};

using DispatchDecision = std::variant<SendRequest, RefuseRequest, FailRequest, DeliverResponse, CancelAttempt>;
using DispatchDecisions = std::vector<DispatchDecision>;

/// How the upstreams of requests without a key are chosen.
enum class Placement : std::uint8_t {
    /// The shortest expected wait in a subset of the upstreams.
    Subset,
    /// The lowest expected latency of all upstreams.
    LowestLatency,
};

/// Queued requests that were held back although this entry VM's share of an upstream's slots was not used.
struct HeldBackRequests {
    std::uint64_t count {};
    /// The last upstream that held requests back.
    UpstreamKey upstream;
    /// Its limit at that time.
    std::uint32_t limit {};
};

/// Settings of the dispatcher.
struct DispatchOptions {
    /// Availability zone of this entry VM.
    std::string zone;
    /// Region of each availability zone.
    std::map<std::string, std::string, std::less<>> regions;
    /// Differs between entry VMs, so that they do not all prefer the same upstreams.
    std::uint64_t preferenceSeed {};
    /// Limits on the retries of all entry VMs together; see RetryBounds.
    std::uint32_t retryRatioPerMille { 200 };
    std::uint32_t retrySlack { 10 };
    std::chrono::milliseconds retryWindow { 10'000 };
    /// A draining upstream gets no more requests once this time has passed since this entry VM learned that it drains.
    std::chrono::milliseconds drainTime { 2'000 };
    /// Speed of this entry VM's network link in each direction. Zero means unlimited.
    std::size_t linkBytesPerSecond {};
    /// Time after the acknowledgement of an evacuation order from which no request may reach the zone's upstreams.
    std::chrono::milliseconds evacuationTime { 5'000 };
    /// A cold upstream may get this multiple of its service's warm-up rate, plus the slack, in any one second from all
    /// entry VMs together.
    double warmUpOverage { 1.0 };
    std::uint32_t warmUpSlack {};
    /// The load model compares the values; deployments use the default.
    Placement placement { Placement::Subset };
};

}
