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

/// What the dispatcher takes and decides.
namespace teaselturn {

/// Identifies a request of a caller within one process.
using PendingRequestId = StrongId<struct PendingRequestIdTag, std::uint64_t>;

/// A caller's request as far as decisions need it.
struct DispatchRequest {
    PendingRequestId id;
    std::shared_ptr<const CompiledRoute> route;
    /// Key of a sharded service. Empty where the request names none.
    std::optional<KeyNumber> key;
    Instant arrivedAt;
    /// When the caller stops waiting.
    Instant deadline;
    /// Size with headers.
    std::size_t bytes {};
};

/// Send the request to an upstream.
struct SendRequest {
    PendingRequestId id;
    UpstreamKey upstream;
    Endpoint endpoint;
    /// How long the upstream may take.
    Duration timeLeft {};
};

/// Tell the caller that the request did not run and will not.
struct RefuseRequest {
    PendingRequestId id;
    ResultCode reason {};
    /// When the caller should come back.
    Duration retryAfter {};
};

/// Tell the caller that the outcome is unknown.
struct FailRequest {
    PendingRequestId id;
    ResultCode reason {};
};

/// Hand the answer that just came to the caller.
struct DeliverResponse {
    PendingRequestId id;
};

/// End the attempt that is under way: nobody waits for it.
struct CancelAttempt {
    PendingRequestId id;
};

using DispatchDecision = std::variant<SendRequest, RefuseRequest, FailRequest, DeliverResponse, CancelAttempt>;
using DispatchDecisions = std::vector<DispatchDecision>;

/// Settings of the dispatcher.
struct DispatchOptions {
    /// Availability zone of this entry VM.
    std::string zone;
    /// Region of each availability zone.
    std::map<std::string, std::string, std::less<>> regions;
    /// Number that differs between entry VMs, so that they do not all prefer the same upstreams.
    std::uint64_t preferenceSeed {};
    /// Bounds of retries over all entry VMs.
    std::uint32_t retryRatioPerMille { 200 };
    std::uint32_t retrySlack { 10 };
    std::chrono::milliseconds retryWindow { 10'000 };
    /// An upstream that leaves gets no request later than this after this entry VM heard of it.
    std::chrono::milliseconds drainTime { 2'000 };
    /// Speed of this entry VM's network link in each direction. Zero where it sets no bound.
    std::size_t linkBytesPerSecond {};
};

}
