#pragma once

#include "adapters/http/HttpTypes.h"
#include "core/request/RequestMachine.h"
#include "teaselturn/Types.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string_view>

namespace teaselturn {

/// An attempt to be made. What it refers to outlives the call.
struct UpstreamAttempt {
    const Endpoint& upstream;
    /// Most connections that this process may hold to the upstream.
    std::uint32_t connectionShare {};
    const HttpRequest& request;
    /// Id that a whole response must carry.
    std::string_view requestId;
    Instant deadline;
    /// True after a silent connection: the others that are kept may be silent too.
    bool wantsNewConnection {};
    /// Asked once a connection is there, just before the first byte is sent. False withdraws the attempt.
    std::function<bool()> mayStillSend;
};

/// How an attempt at an upstream ended.
struct AttemptReport {
    enum class Kind : std::uint8_t {
        Made,
        /// No connection within the local limits; not a byte has left.
        Limited,
        /// mayStillSend said no; not a byte has left.
        Withdrawn,
    };

    Kind kind { Kind::Limited };
    /// Valid where the attempt was made.
    AttemptResult result {};
    /// From when the request was sent to when the attempt ended.
    Duration latency {};
    /// Valid where the result is Answered.
    HttpResponse response;
};

/// Makes one attempt at an upstream. It never sends a request twice.
template <typename T>
concept UpstreamClient = requires(T& upstreams, const UpstreamAttempt& attempt)
{
    {
        upstreams.send(attempt)
        } -> std::same_as<AttemptReport>;
};

}
