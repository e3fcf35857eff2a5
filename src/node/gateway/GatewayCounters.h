#pragma once

#include "core/metrics/Counter.h"
#include "core/metrics/LatencyHistogram.h"

#include <string>

namespace teaselturn {

/// What an entry VM counts about callers' requests.
struct GatewayCounters {
    Counter received;
    Counter delivered;
    Counter refused;
    Counter unknown;
    Counter rejected;
    Counter callersLeft;
    Counter attempts;
    Counter connectionsOpened;
    Counter answersDropped;
    /// From the whole request to the whole answer.
    LatencyHistogram latency;

    /// @return The counters in the Prometheus text format.
    std::string text() const;
};

}
