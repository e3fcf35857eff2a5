#pragma once

#include "adapters/http/HttpListener.h"
#include "adapters/http/MessageReader.h"
#include "core/dispatch/UpstreamLoad.h"
#include "teaselturn/Registry.h"
#include "teaselturn/Result.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

namespace teaselturn {

/// Routing and deadline information read from the headers of a caller's request.
struct CallerRequestInfo {
    /// Chosen by the caller; the upstream echoes it in its response.
    std::string requestId;
    std::string host;
    /// Time until the caller's deadline, measured from the moment the request was read.
    Duration timeLeft {};
    /// Key of a sharded service. Empty if the request names none.
    std::optional<KeyNumber> key;
};

/// The HTTP conventions between an entry VM, its callers and upstreams: header names, statuses and their meaning.
template <typename T>
concept CallerProtocol = requires(const ReceivedRequest& request, const ReceivedResponse& response, const CallerRequestInfo& info,
    std::string& out, std::string_view name, const UpstreamKey& upstream, Duration duration, ResultCode code)
{
    /// @return The information in the request's headers, or the code of the header that is malformed.
    {
        T::readRequest(request)
        } -> std::same_as<Result<CallerRequestInfo>>;
    /// @return True for a caller's header that is not forwarded because appendUpstreamHeaders() writes its own.
    {
        T::isReplacedHeader(name)
        } -> std::same_as<bool>;
    { T::appendUpstreamHeaders(out, upstream, duration) };
    /// The last argument is true if the connection has carried no other request, so that a response without an id can
    /// belong to this one only.
    {
        T::classifyResponse(response, info, bool {})
        } -> std::same_as<AttemptOutcome>;
    /// @return What the upstream states about itself in the response's headers.
    {
        T::readNotice(response)
        } -> std::same_as<UpstreamNotice>;
    /// @return The response to a request that did not run and will not.
    {
        T::refusal(info, code, duration)
        } -> std::same_as<OutgoingResponse>;
    /// @return The response to a request that may have run.
    {
        T::unknownOutcome(info, code)
        } -> std::same_as<OutgoingResponse>;
    /// @return The response to a request that is malformed or matches no route.
    {
        T::rejection(info, code)
        } -> std::same_as<OutgoingResponse>;
};

}
