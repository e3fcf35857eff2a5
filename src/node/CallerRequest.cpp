#include "node/CallerRequest.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace teaselturn {

namespace {

    constexpr std::string_view pathPrefix = "/s/";
    constexpr std::string_view teaselturnPrefix = "Teaselturn-";
    constexpr std::size_t maxServiceNameBytes = 64;

    bool isVisibleAscii(std::string_view text) noexcept
    {
        return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
    }

    bool isTeaselturnHeader(std::string_view name) noexcept
    {
        return name.size() >= teaselturnPrefix.size() && isSameHeaderName(name.substr(0, teaselturnPrefix.size()), teaselturnPrefix);
    }

    /// Hop-by-hop headers, and headers that the HTTP library writes itself.
    bool isConnectionHeader(std::string_view name) noexcept
    {
        constexpr std::array<std::string_view, 11> names { "Connection", "Keep-Alive", "Proxy-Authenticate",
            "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
            "Content-Length", "Expect" };
        return std::any_of(
            names.begin(), names.end(), [name](std::string_view other) { return isSameHeaderName(name, other); });
    }

    bool readSingleHeader(const HttpRequest& http, std::string_view name, std::string_view& value)
    {
        value = http.header(name);
        return http.headerCount(name) == 1;
    }

    bool parseDeadline(std::string_view text, std::chrono::milliseconds& deadline)
    {
        std::int64_t number = 0;
        const auto* end = text.data() + text.size();
        const auto [rest, error] = std::from_chars(text.data(), end, number);
        deadline = std::chrono::milliseconds { number };
        return error == std::errc {} && rest == end && number >= 1 && deadline <= limits::maxDeadline;
    }

    int httpStatusFor(Outcome outcome, ResultCode code)
    {
        constexpr int badRequest = 400;
        constexpr int notFound = 404;
        constexpr int payloadTooLarge = 413;
        constexpr int badGateway = 502;
        constexpr int unavailable = 503;
        constexpr int gatewayTimeout = 504;
        if (outcome == Outcome::Unknown) {
            return badGateway;
        }
        switch (code) {
        case ResultCode::RequestMalformed:
        case ResultCode::RequestKeyInvalid:
        case ResultCode::RequestIdInvalid:
        case ResultCode::RequestDeadlineInvalid:
        case ResultCode::RequestRepeatableInvalid:
            return badRequest;
        case ResultCode::RequestServiceUnknown:
            return notFound;
        case ResultCode::RequestTooLarge:
            return payloadTooLarge;
        case ResultCode::RequestDeadlineExceeded:
            return gatewayTimeout;
        default:
            return unavailable;
        }
    }

}

std::string_view outcomeName(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

Result<CallerRequest> parseCallerRequest(const HttpRequest& http, Instant now)
{
    CallerRequest request;
    auto path = http.target.substr(0, http.target.find('?'));
    if (path.substr(0, pathPrefix.size()) != pathPrefix) {
        return { ResultCode::RequestMalformed, "the path must be /s/<service>/<path>" };
    }
    path.remove_prefix(pathPrefix.size());
    request.service = path.substr(0, path.find('/'));
    if (request.service.empty() || request.service.size() > maxServiceNameBytes) {
        return { ResultCode::RequestMalformed, "the path must be /s/<service>/<path>" };
    }
    auto& spec = request.spec;
    if (!readSingleHeader(http, "Teaselturn-Request-Id", spec.requestId) || spec.requestId.empty()
        || spec.requestId.size() > limits::maxRequestIdBytes || !isVisibleAscii(spec.requestId)) {
        return { ResultCode::RequestIdInvalid };
    }
    if (!readSingleHeader(http, "Teaselturn-Key", spec.key) || spec.key.empty() || spec.key.size() > limits::maxKeyBytes
        || !isHeaderValue(spec.key)) {
        return { ResultCode::RequestKeyInvalid };
    }
    std::string_view text;
    std::chrono::milliseconds deadline {};
    if (!readSingleHeader(http, "Teaselturn-Deadline-Ms", text) || !parseDeadline(text, deadline)) {
        return { ResultCode::RequestDeadlineInvalid };
    }
    spec.arrivedAt = now;
    spec.deadline = now + deadline;
    const auto repeatableCount = http.headerCount("Teaselturn-Repeatable");
    text = http.header("Teaselturn-Repeatable");
    spec.isIdempotent = text == "yes";
    if (repeatableCount > 1 || (repeatableCount == 1 && text != "yes" && text != "no")) {
        return { ResultCode::RequestRepeatableInvalid };
    }
    spec.customer = http.header("Teaselturn-Customer");
    if (http.headerCount("Teaselturn-Customer") > 1 || spec.customer.size() > limits::maxKeyBytes
        || !isHeaderValue(spec.customer)) {
        return { ResultCode::RequestMalformed, "the customer is too long or occurs twice" };
    }
    return request;
}

HttpResponse makeCallerResponse(CallerOutcome outcome, std::string_view requestId)
{
    HttpResponse response;
    const auto number = std::to_string(static_cast<std::uint16_t>(outcome.code));
    if (outcome.outcome == Outcome::Answered) {
        response = std::move(outcome.response);
        std::erase_if(response.headers, [](const HttpHeader& header) {
            return isTeaselturnHeader(header.name) || isConnectionHeader(header.name);
        });
    } else {
        response.status = httpStatusFor(outcome.outcome, outcome.code);
        response.headers.push_back({ "Content-Type", "text/plain" });
        response.body = number + " " + make_error_code(outcome.code).message() + "\n";
    }
    response.headers.push_back({ "Teaselturn-Outcome", std::string { outcomeName(outcome.outcome) } });
    response.headers.push_back({ "Teaselturn-Code", number });
    if (!requestId.empty() && isHeaderValue(requestId)) {
        response.headers.push_back({ "Teaselturn-Request-Id", std::string { requestId } });
    }
    return response;
}

UpstreamHeaders::UpstreamHeaders(const HttpRequest& http, const RequestSpec& spec, const Route& route,
    const Endpoint& upstream, Duration remaining)
    : slot(std::to_string(route.slot.index))
    , fence(std::to_string(route.fence.value))
    , remaining(std::to_string(
          std::max<std::int64_t>(1, std::chrono::floor<std::chrono::milliseconds>(remaining).count())))
    , host(upstream.address + ":" + std::to_string(upstream.port))
{
    this->views.reserve(http.headers.size() + 8);
    for (const auto& header : http.headers) {
        if (!isTeaselturnHeader(header.name) && !isConnectionHeader(header.name)
            && !isSameHeaderName(header.name, "Host")) {
            this->views.push_back(header);
        }
    }
    const auto callerHost = http.header("Host");
    this->views.push_back({ "Host", callerHost.empty() ? std::string_view { this->host } : callerHost });
    this->views.push_back({ "Teaselturn-Key", spec.key });
    if (!spec.customer.empty()) {
        this->views.push_back({ "Teaselturn-Customer", spec.customer });
    }
    this->views.push_back({ "Teaselturn-Slot", this->slot });
    this->views.push_back({ "Teaselturn-Fence", this->fence });
    this->views.push_back({ "Teaselturn-Deadline-Ms", this->remaining });
    this->views.push_back({ "Teaselturn-Request-Id", spec.requestId });
    this->views.push_back({ "Teaselturn-Repeatable", spec.isIdempotent ? "yes" : "no" });
}

}
