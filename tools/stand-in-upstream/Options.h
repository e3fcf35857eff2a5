#pragma once

#include "teaselturn/Types.h"

#include <optional>
#include <string>
#include <vector>

/// Settings of the stand-in upstream, from its command line.
struct Options {
    std::string name { "upstream" };
    std::string service;
    std::string zone;
    teaselturn::Endpoint listen { "127.0.0.1", 0 };
    /// Entry VMs' administration addresses, in the order in which they are tried.
    std::vector<teaselturn::Endpoint> entries;
    std::uint32_t requestSlots { 3 };
    std::uint32_t connectionLimit { 110 };
    std::chrono::milliseconds serviceTime { 2 };
    /// Requests that wait for a request slot before the upstream sheds.
    std::uint32_t queueLimit { 8 };
    /// Append-only record of requests that ran and of ownership intervals; empty for none.
    std::string recordFile;
    /// Refuses by fence and lease; false stands for an upstream that does not check grants.
    bool checksGrants { true };

    /// Faults. Zero means never.
    std::chrono::milliseconds freezeAfter {};
    std::chrono::milliseconds freezeFor { 5'000 };
    /// Every n-th answer is late by answerLateBy.
    std::uint32_t answerLateEvery {};
    std::chrono::milliseconds answerLateBy { 2'000 };
    /// Every n-th answer carries the id of another request.
    std::uint32_t crossAnswersEvery {};
    /// Every n-th burst of answer bytes is cut in the middle, and its connection closed.
    std::uint32_t shortAnswersEvery {};
};

/// @return The options, or nothing after a message on standard error.
std::optional<Options> parseOptions(int count, char** arguments);
