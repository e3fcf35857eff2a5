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

/// Counters of one process, shared by all workers. Recording changes atomic counters only. The mutex, MetricsRegistry
/// in the lock order, is taken by recordRequest for the first request of a service and zone, and once in each 10 s to
/// move counts into the burn-rate windows.
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

    /// Takes names, objectives and objective latencies from the bundle in force. Until the first call, and for services
    /// that it does not list, the defaults of ServiceSpec hold and ids stand for names.
    void setBundle(const Bundle& bundle);

    /// Counts a request that has ended.
    /// @param code Ok for an answered request.
    /// @param latency From the arrival of the request to its answer.
    /// @param upstreamStatus HTTP status of an answered request; 5xx counts as bad.
    void recordRequest(ServiceId service, ZoneId zone, Outcome outcome, ResultCode code, Duration latency, Instant now,
        int upstreamStatus = 0) noexcept;

    /// Counts a message from another process that was dropped.
    void recordDroppedMessage(ResultCode code) noexcept;

    /// Finds or adds a named counter. Takes the mutex, so hot paths keep the reference, which stays valid.
    /// @param name Letters, digits and underscores; it is shown with the prefix `teaselturn_` and the suffix `_total`.
    /// @param help One line; only the first call's is shown.
    Counter& counter(std::string_view name, std::string_view help);

    /// Finds or adds a named gauge, as counter(); without suffix.
    Gauge& gauge(std::string_view name, std::string_view help);

    /// @return Body of `GET /metrics`, in Prometheus text format 0.0.4.
    std::string renderMetrics();

    /// @return Body of `GET /report`.
    std::string renderReport(Instant now);

private:
    using Key = std::uint32_t;

    /// What is counted for one service in one zone.
    struct Cell {
        ServiceId service;
        ZoneId zone;
        std::atomic<Duration::rep> objectiveLatency {};
        std::array<Counter, 3> outcomes;
        Counter good;
        Counter bad;
        /// Answered requests only; the others end at a deadline or at once.
        LatencyHistogram latency;
    };

    /// A cell with what only holders of the mutex see.
    struct CellEntry {
        std::unique_ptr<Cell> cell;
        BurnWindows windows;
        RequestCounts moved;
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
    void moveCounts(std::int64_t intervalNumber) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    ServiceSpec specOf(ServiceId service) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string zoneName(ZoneId zone) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void renderRequests(std::string& text) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void renderLatencies(std::string& text) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string labelsOf(const Cell& cell) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const NodeId node;
    /// Open addressing by service and zone; a cell is never removed.
    std::array<std::atomic<Cell*>, tableSize> table {};
    CodeCounters requestCodes;
    CodeCounters droppedMessages;
    Counter unlisted;
    /// Number of the interval of BurnWindows::finestInterval in which requests are being counted.
    std::atomic<std::int64_t> interval { noInterval };

    Mutex mutex;
    std::vector<CellEntry> cells ABSL_GUARDED_BY(mutex);
    std::vector<ServiceSpec> services ABSL_GUARDED_BY(mutex);
    std::vector<ZoneSpec> zones ABSL_GUARDED_BY(mutex);
    NamedValues<Counter> counters ABSL_GUARDED_BY(mutex);
    NamedValues<Gauge> gauges ABSL_GUARDED_BY(mutex);
    /// Returned once maxNamed is reached; not exported.
    Counter surplusCounter;
    Gauge surplusGauge;
};

}
