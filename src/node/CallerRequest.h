#pragma once

#include "adapters/http/HttpTypes.h"
#include "core/request/RequestMachine.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <string>
#include <string_view>
#include <vector>

/// Translation between a caller's HTTP messages and the request path. docs/design.md section 4.6 has the headers.
namespace teaselturn {

/// A caller's request as its HTTP form states it. The views are those of the HttpRequest.
struct CallerRequest {
    std::string_view service;
    /// Its service number is filled in by the caller of parseCallerRequest.
    RequestSpec spec;
};

/// Checks a caller's request.
/// @param now When it arrived.
/// @return The request, or a code of the 300x group.
Result<CallerRequest> parseCallerRequest(const HttpRequest& http, Instant now);

/// How a request ended, as its caller is told.
struct CallerOutcome {
    Outcome outcome {};
    ResultCode code { ResultCode::Ok };
    /// Status, headers and body of the upstream where the outcome is Answered.
    HttpResponse response;
};

/// @return The response to the caller.
HttpResponse makeCallerAnswer(CallerOutcome outcome, std::string_view requestId);

/// @return The word of the Teaselturn-Outcome header.
std::string_view outcomeName(Outcome outcome) noexcept;

/// Headers of the request to an upstream: those of the caller that concern both ends, and teaselturn's own.
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
