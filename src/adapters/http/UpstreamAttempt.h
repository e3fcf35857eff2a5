#pragma once

#include "adapters/http/HttpTypes.h"
#include "core/request/RequestMachine.h"
#include "teaselturn/Types.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string_view>

namespace teaselturn {

/// Parameters of one attempt. The referenced objects must outlive the call.
struct UpstreamAttempt {
    const Endpoint& upstream;
    /// Maximum connections of this process to the upstream.
    std::uint32_t connectionShare {};
    const HttpRequest& request;
    /// Id that a complete response must carry.
    std::string_view requestId;
    Instant deadline;
    /// Set after a connection gave no response: the other idle connections may be dead too.
    bool wantsNewConnection {};
    /// Called when a connection is available, just before the first byte is sent. Returns false to withdraw the
    /// attempt.
    std::function<bool()> mayStillSend;
};

/// Outcome of an attempt to send a request to an upstream.
struct AttemptReport {
    enum class Kind : std::uint8_t {
        Made,
        /// No connection was available within the local limits; no byte was sent.
        Limited,
        /// mayStillSend returned false, or attempts have ended; no byte was sent.
        Withdrawn,
    };

    Kind kind { Kind::Limited };
    /// Valid if the kind is Made.
    AttemptResult result {};
    /// Time from sending the request to the end of the attempt.
    Duration latency {};
    /// Valid if the result is Answered.
    HttpResponse response;
};

/// Sends a request to an upstream at most once.
template <typename T>
concept UpstreamClient = requires(T& upstreams, const UpstreamAttempt& attempt)
{
    {
        upstreams.send(attempt)
        } -> std::same_as<AttemptReport>;
};

}
