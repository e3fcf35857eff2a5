#pragma once

#include "core/Mutex.h"
#include "core/metrics/BurnWindows.h"
#include "core/metrics/Counter.h"
#include "core/metrics/LatencyHistogram.h"
#include "core/request/RequestMachine.h"
#include "teaselturn/Bundle.h"
#include "teaselturn/ResultCode.h"
#include "teaselturn/Types.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// Metrics of one process, shared by all workers. Recording only changes atomic counters. recordRequest acquires the
/// mutex, MetricsRegistry in the lock order, for the first request of a service and zone, and once every 10 s to move
/// counts into the burn-rate windows.
class MetricsRegistry {
public:
    /// Maximum number of (service, zone) pairs; further requests are counted by outcome code only.
    static constexpr std::size_t maxCells = 256;
    /// Maximum number of named counters, and of named gauges.
    static constexpr std::size_t maxNamed = 64;

    explicit MetricsRegistry(NodeId node);
    MetricsRegistry(const MetricsRegistry&) = delete;
    MetricsRegistry& operator=(const MetricsRegistry&) = delete;
    ~MetricsRegistry();

    /// Sets names, objectives and objective latencies from the bundle in force. Until the first call, and for services
    /// that the bundle does not list, the defaults of ServiceSpec apply and ids are used as names.
    void setBundle(const Bundle& bundle);

    /// Counts a finished request.
    /// @param code Ok for a request that got a response.
    /// @param latency Time from the arrival of the request to its response.
    /// @param upstreamStatus HTTP status of the upstream's response; 5xx counts as bad.
    void recordRequest(ServiceId service, ZoneId zone, Outcome outcome, ResultCode code, Duration latency, Instant now,
        int upstreamStatus = 0) noexcept;

    /// Counts a message from another process that was dropped.
    void recordDroppedMessage(ResultCode code) noexcept;

    /// Finds or adds a named counter. Acquires the mutex, so hot paths keep the reference, which stays valid.
    /// @param name Letters, digits and underscores; exported with the prefix `teaselturn_` and the suffix `_total`.
    /// @param help One line; the text of the first call is exported.
    Counter& counter(std::string_view name, std::string_view help);

    /// Finds or adds a named gauge, like counter(); exported without a suffix.
    Gauge& gauge(std::string_view name, std::string_view help);

    /// @return Body of `GET /metrics`, in Prometheus text format 0.0.4.
    std::string renderMetrics();

    /// @return Body of `GET /report`.
    std::string renderReport(Instant now);

private:
    using Key = std::uint32_t;

    /// Counters of one service in one zone.
    struct Cell {
        ServiceId service;
        ZoneId zone;
        std::atomic<Duration::rep> objectiveLatency {};
        std::array<Counter, 3> outcomes;
        Counter good;
        Counter bad;
        /// Only of requests with a response; the others end at their deadline or immediately.
        LatencyHistogram latency;
    };

    /// A cell and the data that is accessed only with the mutex held.
    struct CellEntry {
        std::unique_ptr<Cell> cell;
        BurnWindows windows;
        RequestCounts windowedCounts;
    };

    template <typename Value>
    struct Named {
        std::string help;
        Value value;
    };
    template <typename Value>
    using NamedValues = std::map<std::string, Named<Value>, std::less<>>;

    static constexpr std::size_t tableSize = 2 * maxCells;
    static constexpr std::size_t codeCount = std::tuple_size_v<decltype(resultCodeTable)>;
    static constexpr auto noInterval = std::numeric_limits<std::int64_t>::min();
    using CodeCounters = std::array<Counter, codeCount>;

    Cell* find(ServiceId service, ZoneId zone) const noexcept;
    Cell* findOrAdd(ServiceId service, ZoneId zone) noexcept;
    void beginInterval(Instant now) noexcept;
    void updateWindows(std::int64_t intervalNumber) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    ServiceSpec specOf(ServiceId service) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string zoneName(ZoneId zone) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void renderRequests(std::string& text) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void renderLatencies(std::string& text) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string labelsOf(const Cell& cell) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const NodeId node;
    /// Hash table with open addressing, keyed by service and zone. Cells are never removed.
    std::array<std::atomic<Cell*>, tableSize> table {};
    CodeCounters requestCodes;
    CodeCounters droppedMessages;
    Counter overflowRequests;
    /// Number of the current interval, in units of BurnWindows::finestInterval since the epoch of Instant.
    std::atomic<std::int64_t> interval { noInterval };

    Mutex mutex;
    std::vector<CellEntry> cells ABSL_GUARDED_BY(mutex);
    std::vector<ServiceSpec> services ABSL_GUARDED_BY(mutex);
    std::vector<ZoneSpec> zones ABSL_GUARDED_BY(mutex);
    NamedValues<Counter> counters ABSL_GUARDED_BY(mutex);
    NamedValues<Gauge> gauges ABSL_GUARDED_BY(mutex);
    /// Returned once maxNamed is reached; not exported.
    Counter overflowCounter;
    Gauge overflowGauge;
};

}
