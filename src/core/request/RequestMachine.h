#pragma once

#include "core/routing/RouteTable.h"
#include "teaselturn/ResultCode.h"
#include "teaselturn/Types.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace teaselturn {

/// Outcome of a request as reported to its caller.
enum class Outcome : std::uint8_t {
    /// The complete response of the upstream was returned.
    Answered,
    /// The request was certainly not run.
    NotRun,
    /// The request was sent, and no complete response arrived.
    Unknown,
};

/// A request as its caller sent it. The owner of the RequestMachine keeps the viewed strings alive.
struct RequestSpec {
    ServiceId service;
    std::string_view key;
    std::string_view requestId;
    std::string_view customer;
    Instant arrivedAt;
    Instant deadline;
    bool isIdempotent {};
};

/// Result of one attempt at an upstream, as observed by the adapter.
enum class AttemptResult : std::uint8_t {
    /// A complete response with the id of the request arrived.
    Answered,
    /// No connection was made, so no byte was sent.
    ConnectionRefused,
    /// The upstream reported that it did not run the request because its fence or lease is not valid.
    RefusedByFence,
    /// The upstream reported that it did not run the request because it sheds load or drains.
    RefusedByLoad,
    /// The connection broke after bytes may have been sent.
    Broken,
    /// No complete response arrived before the deadline.
    TimedOut,
    /// The response was truncated.
    Incomplete,
    /// The response carries the id of another request.
    Mismatched,
};

/// Next step of a request.
struct RequestStep {
    enum class Kind : std::uint8_t {
        /// Send an attempt to the owner of the slot.
        Send,
        /// Look up the route again after the pause, or earlier if the route changes.
        WaitForOwner,
        /// Finish the request with the outcome and the code.
        Finish,
    };

    Kind kind {};
    Duration pause {};
    Outcome outcome {};
    ResultCode code { ResultCode::Ok };
};

/// State machine of one request: decides whether another attempt may be made and with which outcome the request ends.
/// It enforces that a request that is not idempotent runs at most once, and that NotRun is reported only for a request
/// that was certainly not run. Pauses between attempts grow exponentially up to a bound.
class RequestMachine {
public:
    explicit RequestMachine(const RequestSpec& request) noexcept;

    /// Decides whether to send an attempt to the owner in a route that was just looked up.
    /// @param route Empty if the service is unknown.
    /// @param isTableFresh False if the route table may be outdated. An upstream that does not check grants then gets
    /// no request, since the owner cannot be confirmed.
    RequestStep handleRoute(Instant now, const std::optional<Route>& route, bool ownerChecksGrants, bool isTableFresh) noexcept;

    /// Handles an attempt that was refused by a limit of this process before a byte was sent. If the circuit is open
    /// the request waits, since the slot may get another owner; any other code finishes it.
    RequestStep handleLocalRefusal(Instant now, ResultCode code) noexcept;

    /// Handles an attempt that was cancelled before a byte was sent because the route had changed.
    RequestStep handleWithdrawal(Instant now) noexcept;

    /// Handles the result of an attempt.
    /// @param mayRetry Whether the service's retry budget admits another attempt. It is used only if
    /// usesRetryBudget(result) is true.
    RequestStep handleAttemptResult(Instant now, AttemptResult result, bool mayRetry) noexcept;

    /// @return True if another attempt after this result uses the service's retry budget. An attempt after a refused
    /// connection or fence does not: the refused attempt cost the upstream no work, and the request waits for the next
    /// owner.
    bool usesRetryBudget(AttemptResult result) const noexcept;

    /// @return Deadline of the current attempt. The first attempt of an idempotent request gets half of the remaining
    /// time, which leaves time for a second attempt if the first one gets no response.
    Instant attemptDeadline(Instant now) const noexcept;

    std::uint32_t attempts() const noexcept { return this->attemptCount; }

    /// @return True if bytes of an attempt may have been sent and no complete response arrived.
    bool mayHaveRun() const noexcept { return this->isPossiblyRun; }

private:
    RequestStep finish(ResultCode code) const noexcept;
    /// Waits before the next attempt, or finishes the request with this code if its deadline has passed.
    RequestStep waitBeforeRetry(Instant now, ResultCode code) noexcept;

    Instant deadline;
    bool isIdempotent;
    bool isPossiblyRun {};
    std::uint32_t attemptCount {};
    std::uint32_t pauseCount {};
    /// Why the request is waiting; reported if its deadline passes.
    ResultCode pendingCode { ResultCode::RequestDeadlineExceeded };
    /// Code of the first attempt that may have run; reported if the outcome is Unknown.
    ResultCode unknownCode { ResultCode::RequestOutcomeUnknown };
};

}

#include "core/request/RequestMachineInlines.h"
