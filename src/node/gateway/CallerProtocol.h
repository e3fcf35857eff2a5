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

/// What a request says beside method, path and body.
struct CallerRequestInfo {
    /// Chosen by the caller; its upstream echoes it.
    std::string requestId;
    std::string host;
    /// How long the caller waits from now on.
    Duration timeLeft {};
    /// Key of a sharded service. Empty where the request names none.
    std::optional<KeyNumber> key;
};

/// How an entry VM speaks with callers and upstreams over HTTP: names of headers, statuses, and what they mean.
template <typename T>
concept CallerProtocol = requires(const ReceivedRequest& request, const ReceivedResponse& response, const CallerRequestInfo& facts,
    std::string& out, std::string_view name, const UpstreamKey& upstream, Duration duration, ResultCode code)
{
    /// @return The facts, or a code of a malformed request.
    {
        T::readRequest(request)
        } -> std::same_as<Result<CallerRequestInfo>>;
    /// @return True for headers of callers that are replaced on the way to an upstream.
    {
        T::isReplacedHeader(name)
        } -> std::same_as<bool>;
    { T::appendUpstreamHeaders(out, upstream, duration) };
    {
        T::classifyResponse(response, facts)
        } -> std::same_as<AttemptOutcome>;
    /// @return The answer to a request that did not run and will not.
    {
        T::refusal(facts, code, duration)
        } -> std::same_as<OutgoingResponse>;
    /// @return The answer to a request whose outcome is unknown.
    {
        T::unknownOutcome(facts, code)
        } -> std::same_as<OutgoingResponse>;
    /// @return The answer to a request that no route allows, or that is malformed.
    {
        T::rejection(facts, code)
        } -> std::same_as<OutgoingResponse>;
};

}
