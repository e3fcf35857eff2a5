#pragma once

#include "adapters/http/LinkTransfers.h"
#include "adapters/http/ListenerCounters.h"
#include "core/metrics/Counter.h"
#include "core/metrics/LatencyHistogram.h"

#include <string>

namespace teaselturn {

/// Metrics of an entry VM about callers' requests.
struct GatewayCounters {
    Counter received;
    Counter delivered;
    Counter refused;
    Counter unknown;
    Counter rejected;
    Counter callersDisconnected;
    Counter attempts;
    Counter connectionsOpened;
    Counter responsesDropped;
    /// Requests that waited because congestion held an upstream's limit far under this entry VM's share of its slots.
    Counter requestsHeldBack;
    /// Responses cut off because the budget for buffered bytes was exhausted.
    Counter responsesOverBudget;
    /// Evacuation orders and withdrawals that were applied.
    Counter evacuationChanges;
    /// Requests sent after they had to wait because an upstream is cold.
    Counter heldForWarmUp;
    /// Requests refused because the owner of their key is cold.
    Counter refusedForWarmUp;
    /// Time from the complete request to the complete response.
    LatencyHistogram latency;
    /// Responses that were forwarded while they arrived, and those of them that broke off.
    Counter responsesStreamed;
    Counter responsesBroken;

    /// @param callers Counters of the listener for callers.
    /// @param transfers Counters of the large bodies on the link.
    /// @return All counters in the Prometheus text format.
    std::string text(const ListenerCounters& callers, const TransferCounters& transfers) const;
};

}
