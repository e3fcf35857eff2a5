#pragma once

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
    /// Responses cut off because the budget for buffered bytes was exhausted.
    Counter responsesOverBudget;
    /// Time from the complete request to the complete response.
    LatencyHistogram latency;
    /// Responses that were forwarded while they arrived, and those of them that broke off.
    Counter responsesStreamed;
    Counter responsesBroken;

    /// @param callers Counters of the listener for callers.
    /// @return All counters in the Prometheus text format.
    std::string text(const ListenerCounters& callers) const;
};

}
