#pragma once

#include "core/routing/RouteTable.h"
#include "teaselturn/ResultCode.h"
#include "teaselturn/Types.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace teaselturn {

/// How a request ended for its caller.
enum class Outcome : std::uint8_t {
    /// The whole answer of the upstream was returned.
    Answered,
    /// Certainly not run.
    NotRun,
    /// Sent, and no whole answer arrived.
    Unknown,
};

/// A request as its caller sent it. The views are kept alive by the caller of the machine.
struct RequestSpec {
    ServiceId service;
    std::string_view key;
    std::string_view requestId;
    std::string_view customer;
    Instant arrivedAt;
    Instant deadline;
    bool isIdempotent {};
};

/// How one attempt at an upstream ended, as the adapter observed it.
enum class AttemptResult : std::uint8_t {
    /// A whole answer with the right request id.
    Answered,
    /// No connection was made; no byte left.
    ConnectionRefused,
    /// The upstream said that it did not run the request because fence or lease are not valid.
    RefusedByFence,
    /// The upstream said that it did not run the request because it sheds load or drains.
    RefusedByLoad,
    /// Some bytes may have left, and the connection broke.
    Broken,
    /// No whole answer before the deadline.
    TimedOut,
    /// The answer ended early.
    Incomplete,
    /// The answer belongs to another request.
    Mismatched,
};

/// What to do next with a request.
struct RequestStep {
    enum class Kind : std::uint8_t {
        /// Send an attempt to the route's owner.
        Send,
        /// Look the route up again after a pause, since the slot has no owner at the moment.
        WaitForOwner,
        /// Finish with outcome and code.
        Finish,
    };

    Kind kind {};
    Duration pause {};
    Outcome outcome {};
    ResultCode code { ResultCode::Ok };
};

/// State machine of one request: which attempts may be made, and how the request ends. It holds the rules of at most
/// once and not run. The first pause is short and later ones double up to a bound.
class RequestMachine {
public:
    explicit RequestMachine(const RequestSpec& request) noexcept;

    /// Decides with a fresh route before an attempt.
    /// @param isTableFresh False where the owner cannot be confirmed for an upstream that does not check grants.
    RequestStep handleRoute(Instant now, const std::optional<Route>& route, bool ownerChecksGrants, bool isTableFresh) noexcept;

    /// Notes that an attempt was refused by a local limit before a byte left. An open circuit is waited out, since the
    /// slot may get another owner; other codes finish the request.
    RequestStep handleLocalRefusal(Instant now, ResultCode code) noexcept;

    /// Notes that an attempt was given up before a byte left, because the route had changed.
    RequestStep handleWithdrawal(Instant now) noexcept;

    /// Decides after an attempt.
    /// @param mayRetry Whether the service's retry budget admits another attempt. It matters only where
    /// usesRetryBudget() is true.
    RequestStep handleAttemptResult(Instant now, AttemptResult result, bool mayRetry) noexcept;

    /// @return True where another attempt after this result costs a unit of the service's retry budget. Attempts after
    /// a refused connection or fence cost nothing: the upstream does no work for them, and the request waits for the
    /// next owner.
    bool usesRetryBudget(AttemptResult result) const noexcept;

    /// @return When the next attempt must end. A repeatable request keeps time for a second attempt in case the
    /// connection of the first one is silent.
    Instant attemptDeadline(Instant now) const noexcept;

    std::uint32_t attempts() const noexcept { return this->attemptCount; }

    /// @return True where a byte of an attempt may have left without a whole answer.
    bool mayHaveRun() const noexcept { return this->isPossiblyRun; }

private:
    RequestStep finish(ResultCode code) const noexcept;
    RequestStep pause(Instant now, ResultCode code) noexcept;

    Instant deadline;
    bool isIdempotent;
    bool isPossiblyRun {};
    std::uint32_t attemptCount {};
    std::uint32_t pauseCount {};
    /// Why the request is not finished; reported when its time is up.
    ResultCode pendingCode { ResultCode::RequestDeadlineExceeded };
    /// What the first attempt that may have run ended with.
    ResultCode unknownCode { ResultCode::RequestOutcomeUnknown };
};

}

#include "core/request/RequestMachineInlines.h"
