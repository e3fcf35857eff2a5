#pragma once

#include "teaselturn/Types.h"

#include <optional>
#include <string>
#include <vector>

/// Settings of the load driver, from its command line.
struct Options {
    std::vector<teaselturn::Endpoint> entries;
    std::string service;
    std::uint64_t seed { 1 };
    std::uint32_t keys { 10'000 };
    /// Exponent of the Zipf distribution of keys; zero is uniform.
    double skew { 0.9 };
    /// Share of requests that must not run twice, in per cent.
    std::uint32_t nonRepeatablePercent { 30 };
    /// Requests a second, sent on schedule whether or not earlier ones have been answered.
    std::uint32_t rate { 200 };
    std::chrono::milliseconds duration { 10'000 };
    std::chrono::milliseconds deadline { 2'000 };
    std::uint32_t workers { 32 };
    std::uint32_t customers { 20 };
    /// File that gets one line for each request; empty for none.
    std::string recordFile;
    /// Slot and fence of a grant, to send straight to the upstream that holds it instead of to an entry VM. The
    /// endpoints are then upstreams.
    struct Grant {
        std::uint32_t slot {};
        std::uint64_t fence {};
    };
    std::optional<Grant> direct;
    /// Files to compare instead of sending load.
    bool isCheck {};
    std::vector<std::string> checkFiles;
};

/// @return The options, or nothing after a message on standard error.
std::optional<Options> parseOptions(int count, char** arguments);
