#include "node/MetricsRegistry.h"

#include "adapters/settings/BundleReader.h"
#include "core/metrics/RequestVerdict.h"
#include "node/MetricsText.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace teaselturn {

namespace {

    constexpr std::array<std::string_view, 3> outcomeNames { "answered", "not-run", "unknown" };

    /// Smallest and largest bucket bound of the latency histogram in `/metrics`, as powers of two in microseconds: 128
    /// us to 67 s. All bounds are upper bounds of LatencyHistogram's buckets, so the counts are exact.
    constexpr unsigned minBoundPower = 7;
    constexpr unsigned maxBoundPower = 26;

    constexpr std::uint32_t keyOf(ServiceId service, ZoneId zone) noexcept
    {
        return (std::uint32_t { service.value } << 16U) | zone.value;
    }

    std::size_t rowOf(ResultCode code) noexcept
    {
        const auto row = std::ranges::lower_bound(resultCodeTable, code, {}, &ResultCodeRow::code);
        const bool isListed = row != resultCodeTable.end() && row->code == code;
        // Codes that the table does not list count as row 1, Internal.
        return isListed ? static_cast<std::size_t>(row - resultCodeTable.begin()) : 1;
    }

    void renderCodes(std::string& text, std::string_view name, std::string_view help, std::span<const Counter> counters)
    {
        writeMetricHead(text, name, "counter", help);
        for (std::size_t i = 0; i < counters.size(); ++i) {
            if (const auto count = counters[i].value(); count > 0) {
                const auto& row = resultCodeTable[i];
                const auto code = std::to_string(static_cast<unsigned>(row.code));
                writeSample(text, name, writeLabel("code", code) + "," + writeLabel("name", row.name), count);
            }
        }
    }

    template <typename Values, typename Value>
    Value& findOrAddNamed(Values& values, Value& overflow, std::string_view name, std::string_view help, std::size_t maxCount)
    {
        const auto found = values.find(name);
        if (found != values.end()) {
            return found->second.value;
        }
        if (values.size() >= maxCount) {
            return overflow;
        }
        auto& named = values[std::string { name }];
        named.help = help;
        return named.value;
    }

}

MetricsRegistry::MetricsRegistry(NodeId node)
    : node(node)
{
    const MutexLock lock { this->mutex };
    this->cells.reserve(maxCells);
}

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::setBundle(const Bundle& bundle)
{
    const MutexLock lock { this->mutex };
    // Services and zones of earlier bundles keep their names, since their cells remain.
    const auto merge = [](auto& existing, const auto& listed) {
        for (const auto& spec : listed) {
            const auto same = std::ranges::find_if(existing, [&spec](const auto& item) { return item.id == spec.id; });
            if (same == existing.end()) {
                existing.push_back(spec);
            } else {
                *same = spec;
            }
        }
    };
    merge(this->services, bundle.services);
    merge(this->zones, bundle.zones);
    for (const auto& entry : this->cells) {
        const Duration latency = this->specOf(entry.cell->service).objectiveLatency;
        entry.cell->objectiveLatency.store(latency.count(), std::memory_order_relaxed);
    }
}

void MetricsRegistry::recordRequest(ServiceId service, ZoneId zone, Outcome outcome, ResultCode code, Duration latency,
    Instant now, int upstreamStatus) noexcept
{
    this->beginInterval(now);
    this->requestCodes[rowOf(code)].add();
    auto* cell = this->findOrAdd(service, zone);
    if (!cell) {
        this->overflowRequests.add();
        return;
    }
    cell->outcomes[static_cast<std::size_t>(outcome)].add();
    if (outcome == Outcome::Answered) {
        cell->latency.record(latency);
    }
    const Duration objective { cell->objectiveLatency.load(std::memory_order_relaxed) };
    switch (classifyRequest(outcome, code, upstreamStatus, latency, objective)) {
    case RequestVerdict::Good:
        cell->good.add();
        break;
    case RequestVerdict::Bad:
        cell->bad.add();
        break;
    case RequestVerdict::Ignored:
        break;
    }
}

void MetricsRegistry::recordDroppedMessage(ResultCode code) noexcept
{
    this->droppedMessages[rowOf(code)].add();
}

Counter& MetricsRegistry::counter(std::string_view name, std::string_view help)
{
    const MutexLock lock { this->mutex };
    return findOrAddNamed(this->counters, this->overflowCounter, name, help, maxNamed);
}

Gauge& MetricsRegistry::gauge(std::string_view name, std::string_view help)
{
    const MutexLock lock { this->mutex };
    return findOrAddNamed(this->gauges, this->overflowGauge, name, help, maxNamed);
}

MetricsRegistry::Cell* MetricsRegistry::find(ServiceId service, ZoneId zone) const noexcept
{
    // The table is at most half full, so probing ends at an empty position.
    const auto key = keyOf(service, zone);
    for (auto position = key * 0x9e37'79b1U % tableSize;; position = (position + 1) % tableSize) {
        auto* cell = this->table[position].load(std::memory_order_acquire);
        if (!cell || keyOf(cell->service, cell->zone) == key) {
            return cell;
        }
    }
}

MetricsRegistry::Cell* MetricsRegistry::findOrAdd(ServiceId service, ZoneId zone) noexcept
{
    if (auto* cell = this->find(service, zone)) {
        return cell;
    }
    const MutexLock lock { this->mutex };
    if (auto* cell = this->find(service, zone)) {
        return cell;
    }
    if (this->cells.size() >= maxCells) {
        return nullptr;
    }
    auto& entry = this->cells.emplace_back();
    entry.cell = std::make_unique<Cell>();
    auto* cell = entry.cell.get();
    cell->service = service;
    cell->zone = zone;
    const Duration latency = this->specOf(service).objectiveLatency;
    cell->objectiveLatency.store(latency.count(), std::memory_order_relaxed);
    auto position = keyOf(service, zone) * 0x9e37'79b1U % tableSize;
    while (this->table[position].load(std::memory_order_relaxed)) {
        position = (position + 1) % tableSize;
    }
    this->table[position].store(cell, std::memory_order_release);
    return cell;
}

void MetricsRegistry::beginInterval(Instant now) noexcept
{
    const auto number = now.time_since_epoch() / Duration { BurnWindows::finestInterval };
    auto seen = this->interval.load(std::memory_order_relaxed);
    // One thread moves the counts. Requests counted by other threads meanwhile fall into the previous interval.
    if (number <= seen || !this->interval.compare_exchange_strong(seen, number, std::memory_order_relaxed)) {
        return;
    }
    const MutexLock lock { this->mutex };
    this->updateWindows(seen == noInterval ? number : seen);
}

void MetricsRegistry::updateWindows(std::int64_t intervalNumber)
{
    const Instant at { Duration { BurnWindows::finestInterval } * intervalNumber };
    for (auto& entry : this->cells) {
        const RequestCounts counted { entry.cell->good.value(), entry.cell->bad.value() };
        entry.windows.add(at, { counted.good - entry.windowedCounts.good, counted.bad - entry.windowedCounts.bad });
        entry.windowedCounts = counted;
    }
}

ServiceSpec MetricsRegistry::specOf(ServiceId service) const
{
    const auto existing = std::ranges::find(this->services, service, &ServiceSpec::id);
    if (existing != this->services.end()) {
        return *existing;
    }
    ServiceSpec spec;
    spec.id = service;
    spec.name = std::to_string(service.value);
    return spec;
}

std::string MetricsRegistry::zoneName(ZoneId zone) const
{
    const auto existing = std::ranges::find(this->zones, zone, &ZoneSpec::id);
    return existing != this->zones.end() ? existing->name : std::to_string(zone.value);
}

std::string MetricsRegistry::labelsOf(const Cell& cell) const
{
    return writeLabel("service", this->specOf(cell.service).name) + "," + writeLabel("zone", this->zoneName(cell.zone));
}

void MetricsRegistry::renderRequests(std::string& text) const
{
    static constexpr std::string_view requests = "teaselturn_requests_total";
    static constexpr std::string_view objective = "teaselturn_objective_requests_total";
    writeMetricHead(text, requests, "counter", "Requests by outcome.");
    for (const auto& entry : this->cells) {
        for (std::size_t i = 0; i < outcomeNames.size(); ++i) {
            const auto labels = this->labelsOf(*entry.cell) + "," + writeLabel("outcome", outcomeNames[i]);
            writeSample(text, requests, labels, entry.cell->outcomes[i].value());
        }
    }
    writeMetricHead(text, objective, "counter", "Requests that met their service's objective, and those that did not.");
    for (const auto& entry : this->cells) {
        const auto labels = this->labelsOf(*entry.cell);
        writeSample(text, objective, labels + R"(,verdict="good")", entry.cell->good.value());
        writeSample(text, objective, labels + R"(,verdict="bad")", entry.cell->bad.value());
    }
}

void MetricsRegistry::renderLatencies(std::string& text) const
{
    static constexpr std::string_view name = "teaselturn_request_latency_seconds";
    const std::string base { name };
    writeMetricHead(text, name, "histogram", "Latency of answered requests.");
    for (const auto& entry : this->cells) {
        const auto& latency = entry.cell->latency;
        const auto labels = this->labelsOf(*entry.cell);
        // The total is read last, so that no bucket exceeds it while other threads record.
        std::uint64_t count = 0;
        for (auto power = minBoundPower; power <= maxBoundPower; ++power) {
            const Duration bound = std::chrono::microseconds { std::int64_t { 1 } << power };
            auto bucketLabels = labels + ",";
            bucketLabels += writeLabel("le", writeSeconds(static_cast<std::uint64_t>(bound.count())));
            count = std::max(count, latency.countUpTo(bound));
            writeSample(text, base + "_bucket", bucketLabels, count);
        }
        count = std::max(count, latency.count());
        writeSample(text, base + "_bucket", labels + R"(,le="+Inf")", count);
        writeSample(text, base + "_sum", labels, writeSeconds(static_cast<std::uint64_t>(latency.sum().count())));
        writeSample(text, base + "_count", labels, count);
    }
}

std::string MetricsRegistry::renderMetrics()
{
    std::string text;
    renderCodes(text, "teaselturn_request_results_total", "Requests by result code.", this->requestCodes);
    renderCodes(text, "teaselturn_messages_dropped_total", "Messages of other processes dropped, by result code.",
        this->droppedMessages);
    static constexpr std::string_view unlistedName = "teaselturn_requests_unlisted_total";
    writeMetricHead(text, unlistedName, "counter", "Requests beyond the bound on pairs of service and zone.");
    writeSample(text, unlistedName, {}, this->overflowRequests.value());
    const MutexLock lock { this->mutex };
    this->renderRequests(text);
    this->renderLatencies(text);
    for (const auto& [name, named] : this->counters) {
        const auto shown = "teaselturn_" + name + "_total";
        writeMetricHead(text, shown, "counter", named.help);
        writeSample(text, shown, {}, named.value.value());
    }
    for (const auto& [name, named] : this->gauges) {
        const auto shown = "teaselturn_" + name;
        writeMetricHead(text, shown, "gauge", named.help);
        writeSample(text, shown, {}, std::to_string(named.value.value()));
    }
    return text;
}

std::string MetricsRegistry::renderReport(Instant now)
{
    auto services = nlohmann::json::array();
    const MutexLock lock { this->mutex };
    if (const auto number = this->interval.load(std::memory_order_relaxed); number != noInterval) {
        this->updateWindows(number);
    }
    for (const auto& entry : this->cells) {
        const auto spec = this->specOf(entry.cell->service);
        const auto totals = entry.windows.totals(now);
        auto windows = nlohmann::json::array();
        for (std::size_t i = 0; i < totals.size(); ++i) {
            windows.push_back({ { "seconds", burnWindowLengths[i].count() }, { "good", totals[i].good }, { "bad", totals[i].bad } });
        }
        services.push_back({ { "service", spec.name }, { "zone", this->zoneName(entry.cell->zone) },
            { "objective", formatObjective(spec.objectivePerMillion) }, { "windows", std::move(windows) } });
    }
    return nlohmann::json { { "node", this->node.value }, { "services", std::move(services) } }.dump();
}

}
