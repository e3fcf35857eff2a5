#pragma once

#include "Options.h"
#include "core/Mutex.h"

#include <atomic>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

/// Counts and latencies of a load run.
struct LoadResult {
    std::uint64_t sent {};
    std::uint64_t answered {};
    std::uint64_t shed {};
    std::uint64_t unknown {};
    std::uint64_t wrongAnswers {};
    /// Latencies of answered requests, sorted.
    std::vector<teaselturn::Duration> latencies;

    /// @param share Quantile between 0 and 1.
    /// @return The latency; zero if no request was answered.
    teaselturn::Duration percentile(double share) const;
};

/// Sends requests on a fixed schedule from several threads. The key, customer and idempotence of request i depend only
/// on i and the options.
class LoadGenerator {
public:
    explicit LoadGenerator(const Options& options);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator&) = delete;
    LoadGenerator& operator=(const LoadGenerator&) = delete;

    bool isRecordOpen() const noexcept { return this->file != nullptr || this->options.recordFile.empty(); }

    /// Sends all requests and waits for their responses.
    LoadResult run();

private:
    struct PlannedRequest {
        std::string id;
        std::string key;
        std::string customer;
        bool isIdempotent {};
    };
    class Sender;

    PlannedRequest planRequest(std::uint64_t number) const;
    void runWorker(teaselturn::Instant start);
    void recordOutcome(const PlannedRequest& request, std::string_view outcome, std::string_view code, teaselturn::Instant sentAt,
        teaselturn::Instant endedAt);

    const Options& options;
    /// Prefix of request ids, so that ids of two runs differ.
    std::string runId;
    std::vector<double> cumulativeWeights;
    std::uint64_t total {};
    std::atomic<std::uint64_t> next {};
    std::FILE* file {};
    teaselturn::Mutex mutex;
    LoadResult result ABSL_GUARDED_BY(mutex);
};
