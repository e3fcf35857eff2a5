#pragma once

#include "adapters/log/Logger.h"
#include "core/Mutex.h"
#include "core/ownership/EntryService.h"
#include "core/ownership/HotKeySketch.h"
#include "core/ownership/SlotLoadCounter.h"
#include "core/request/RequestMachine.h"
#include "node/MetricsRegistry.h"
#include "node/RouteDirectory.h"
#include "teaselturn/Types.h"

#include <atomic>

namespace teaselturn {

/// Counts finished requests and attempts for the metrics and for the load reported to the ledger leader. Models
/// RequestObserver.
class RequestRecorder {
public:
    /// The references outlive the recorder.
    RequestRecorder(const RouteDirectory& routes, MetricsRegistry& metrics, Logger& logger)
        : routes(routes)
        , metrics(metrics)
        , logger(logger)
    {
    }

    void handleRequestEnd(const RequestSpec& request, Outcome outcome, ResultCode code, Duration latency, int upstreamStatus);
    void handleAttemptEnd(const RequestSpec& request, UpstreamId upstream, AttemptResult result, Duration latency);
    void handleCircuitOpened(UpstreamId upstream);

    /// @param zone This VM's zone, under which requests are counted.
    void setZone(ZoneId zone) noexcept { this->zone.store(zone.value, std::memory_order_relaxed); }

    /// Returns and clears the load counted since the last call. Call from one thread at a time.
    LoadSummary drainLoad();

private:
    const RouteDirectory& routes;
    MetricsRegistry& metrics;
    Logger& logger;
    std::atomic<std::uint16_t> zone { 0 };
    SlotLoadCounter slots;
    /// A leaf of the lock order.
    Mutex mutex;
    HotKeySketch keys ABSL_GUARDED_BY(mutex);
};

}
