#pragma once

#include "teaselturn/Types.h"

#include <optional>
#include <string>
#include <vector>

/// Command-line options of the stand-in upstream.
struct Options {
    std::string name { "upstream" };
    std::string service;
    std::string zone;
    teaselturn::Endpoint listen { "127.0.0.1", 0 };
    /// Administration addresses of entry VMs, in the order in which they are tried.
    std::vector<teaselturn::Endpoint> entries;
    std::uint32_t requestSlots { 3 };
    std::uint32_t connectionLimit { 110 };
    std::chrono::milliseconds serviceTime { 2 };
    /// Maximum number of requests that wait for a request slot. Further requests are shed.
    std::uint32_t queueLimit { 8 };
    /// Append-only record of runs and ownership intervals; empty for none.
    std::string recordFile;
    /// Refuses requests without a valid fence and lease. False simulates an upstream that does not check grants.
    bool checksGrants { true };

    /// Injected faults. For the first option and every "Every" option, zero means never.
    std::chrono::milliseconds freezeAfter {};
    std::chrono::milliseconds freezeFor { 5'000 };
    /// Every n-th response is delayed by responseDelay.
    std::uint32_t delayedResponseEvery {};
    std::chrono::milliseconds responseDelay { 2'000 };
    /// Every n-th response carries the id of another request.
    std::uint32_t mismatchedResponseEvery {};
    /// Every n-th chunk of response bytes is truncated in the middle and its connection closed.
    std::uint32_t truncatedResponseEvery {};
};

/// @return The options; no value, after printing the usage on standard error, if they are invalid.
std::optional<Options> parseOptions(int count, char** arguments);
