#pragma once

#include "teaselturn/Types.h"

#include <optional>
#include <string>
#include <vector>

/// Command-line options of the load driver.
struct Options {
    std::vector<teaselturn::Endpoint> entries;
    std::string service;
    std::uint64_t seed { 1 };
    std::uint32_t keys { 10'000 };
    /// Exponent of the Zipf distribution of keys; zero is uniform.
    double skew { 0.9 };
    /// Percentage of requests that are not idempotent.
    std::uint32_t nonIdempotentPercent { 30 };
    /// Requests per second, sent on schedule whether or not earlier ones have been answered.
    std::uint32_t rate { 200 };
    std::chrono::milliseconds duration { 10'000 };
    std::chrono::milliseconds deadline { 2'000 };
    std::uint32_t workers { 32 };
    std::uint32_t customers { 20 };
    /// File to which one line per request is appended; empty for none.
    std::string recordFile;
    /// Slot and fence of a grant. If set, requests are sent directly to the upstream that holds the grant, and
    /// `entries` lists upstreams instead of entry VMs.
    struct Grant {
        std::uint32_t slot {};
        std::uint64_t fence {};
    };
    std::optional<Grant> directGrant;
    /// Compares record files instead of sending load.
    bool isCheck {};
    std::vector<std::string> checkFiles;
};

/// @return The options; no value, after printing the usage on standard error, if they are invalid.
std::optional<Options> parseOptions(int count, char** arguments);
