#pragma once

#include "core/metrics/Counter.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace teaselturn {

/// Why a listener closed the connection of a caller.
enum class CloseReason : std::uint8_t {
    /// The caller closed its sending direction.
    CallerEnded,
    /// The caller reset the connection, or it stopped acknowledging.
    CallerReset,
    /// The last response of the connection was written.
    LastResponse,
    /// No request was open when idle connections were closed for a planned stop.
    Idle,
    /// The caller took too long to send a request, or to send the next one.
    TimedOut,
    /// The listener ended.
    Stopped,
    /// The body of a response broke off after its head had been written.
    ResponseBroken,
};

/// Names of the reasons in logs and metrics, in the order of CloseReason.
inline constexpr std::array<std::string_view, 7> closeReasonNames { "caller-ended", "caller-reset", "last-response", "idle", "timed-out", "stopped", "response-broken" };

/// @return The reason's name in logs and metrics.
constexpr std::string_view closeReasonName(CloseReason reason) noexcept
{
    return closeReasonNames[static_cast<std::size_t>(reason)];
}

/// Metrics of a listener about the connections of its callers.
struct ListenerCounters {
    /// Closed connections, by CloseReason.
    std::array<Counter, closeReasonNames.size()> closed;
    /// Connections that the listener closed while bytes of a response were not acknowledged or bytes of the caller were not
    /// read, so that the caller may have lost a part of the response.
    Counter cut;
    /// Connections on which input arrived after the listener had ended its sending direction, by CloseReason.
    std::array<Counter, closeReasonNames.size()> lateInput;

    Counter& closedFor(CloseReason reason) noexcept { return this->closed[static_cast<std::size_t>(reason)]; }
};

}
