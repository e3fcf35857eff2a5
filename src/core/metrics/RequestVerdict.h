#pragma once

#include "core/request/RequestMachine.h"
#include "teaselturn/ResultCode.h"
#include "teaselturn/Types.h"

#include <cstdint>

namespace teaselturn {

/// How a request counts against its service's objective.
enum class RequestVerdict : std::uint8_t {
    Good,
    Bad,
    /// The request was invalid, which does not count for or against the service.
    Ignored,
};

/// Classifies a finished request.
/// @param upstreamStatus HTTP status of the upstream's response; zero without a response.
/// @param objectiveLatency A request that took longer is bad.
constexpr RequestVerdict classifyRequest(Outcome outcome, ResultCode code, int upstreamStatus, Duration latency,
    Duration objectiveLatency) noexcept
{
    constexpr int firstServerError = 500;
    if (code >= ResultCode::RequestMalformed && code <= ResultCode::RequestTooLarge) {
        return RequestVerdict::Ignored;
    }
    const bool isGood = outcome == Outcome::Answered && upstreamStatus < firstServerError && latency <= objectiveLatency;
    return isGood ? RequestVerdict::Good : RequestVerdict::Bad;
}

}
