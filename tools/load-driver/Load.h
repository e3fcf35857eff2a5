#pragma once

#include "Options.h"
#include "core/Mutex.h"

#include <atomic>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

/// What sending the load gave.
struct LoadResult {
    std::uint64_t sent {};
    std::uint64_t answered {};
    std::uint64_t shed {};
    std::uint64_t unknown {};
    std::uint64_t wrongAnswers {};
    /// Latencies of answered requests, sorted.
    std::vector<teaselturn::Duration> latencies;

    /// @param share Between 0 and 1.
    teaselturn::Duration percentile(double share) const;
};

/// Sends load on schedule from several threads. Request i is the same for the same seed.
class Load {
public:
    explicit Load(const Options& options);
    ~Load();
    Load(const Load&) = delete;
    Load& operator=(const Load&) = delete;

    bool isRecordOpen() const noexcept { return this->file != nullptr || this->options.recordFile.empty(); }

    /// Sends the whole load and waits for the answers.
    LoadResult run();

private:
    struct Planned {
        std::string id;
        std::string key;
        std::string customer;
        bool isIdempotent {};
    };
    class Sender;

    Planned plan(std::uint64_t number) const;
    void work(teaselturn::Instant start);
    void note(const Planned& request, std::string_view outcome, std::string_view code, teaselturn::Instant sentAt,
        teaselturn::Instant endedAt);

    const Options& options;
    /// Identifies this run, so that ids of two runs differ.
    std::string runName;
    std::vector<double> cumulative;
    std::uint64_t total {};
    std::atomic<std::uint64_t> next {};
    std::FILE* file {};
    teaselturn::Mutex mutex;
    LoadResult result ABSL_GUARDED_BY(mutex);
};
