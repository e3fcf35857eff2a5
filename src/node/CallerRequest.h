#pragma once

#include "adapters/http/HttpTypes.h"
#include "core/request/RequestMachine.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <string>
#include <string_view>
#include <vector>

/// Translation between a caller's HTTP messages and the request path. docs/design.md section 4.6 lists the headers.
namespace teaselturn {

/// A caller's request, parsed from HTTP. The views point into the HttpRequest.
struct CallerRequest {
    std::string_view service;
    /// The caller of parseCallerRequest fills in the service number.
    RequestSpec spec;
};

/// Parses and validates a caller's request.
/// @param now Time of arrival.
/// @return The request, or a code of the 300x group.
Result<CallerRequest> parseCallerRequest(const HttpRequest& http, Instant now);

/// Final result of a request, as reported to its caller.
struct CallerOutcome {
    Outcome outcome {};
    ResultCode code { ResultCode::Ok };
    /// The upstream's status, headers and body if the outcome is Answered.
    HttpResponse response;
};

/// @return The response to the caller.
HttpResponse makeCallerResponse(CallerOutcome outcome, std::string_view requestId);

/// @return Value of the Teaselturn-Outcome header.
std::string_view outcomeName(Outcome outcome) noexcept;

/// Headers of the request to an upstream: the caller's end-to-end headers and teaselturn's own.
class UpstreamHeaders {
public:
    /// @param http The caller's request; it outlives this object.
    UpstreamHeaders(const HttpRequest& http, const RequestSpec& spec, const Route& route, const Endpoint& upstream,
        Duration remaining);
    UpstreamHeaders(const UpstreamHeaders&) = delete;
    UpstreamHeaders& operator=(const UpstreamHeaders&) = delete;

    /// @return Views that live as long as this object.
    std::span<const HttpHeaderView> headerViews() const noexcept { return this->views; }

private:
    std::string slot;
    std::string fence;
    std::string remaining;
    std::string host;
    std::vector<HttpHeaderView> views;
};

}
