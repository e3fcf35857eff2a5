#pragma once

#include "core/ownership/LoadReport.h"
#include "teaselturn/Message.h"
#include "teaselturn/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace teaselturn {

/// Finds the frequent keys among the requests of one entry VM with the space-saving algorithm. Of n requests since the
/// last drain it holds every key with more than n / capacity of them. Its size is fixed at about 36 KiB. Not
/// thread-safe.
class HotKeySketch {
public:
    /// Keys held at a time.
    static constexpr std::size_t capacity = 128;

    /// Counts a request. It allocates nothing. Keys longer than limits::maxKeyBytes are not counted.
    /// @param hash hashKey(key), which the caller has from its route lookup.
    void add(ServiceId service, std::string_view key, std::uint64_t hash) noexcept;
    void add(ServiceId service, std::string_view key) noexcept;

    /// Forgets everything counted.
    /// @param maxBytes Bound of the encoded samples; less frequent keys are left out.
    /// @return The frequent keys, the most frequent first, each with the number of its requests that is certain. Keys
    /// without two certain requests are left out.
    std::vector<HotKeySample> drain(std::size_t maxBytes = limits::maxReportedKeyBytes);

private:
    struct Key {
        ServiceId service;
        std::uint16_t length {};
        std::array<char, limits::maxKeyBytes> bytes;

        std::string_view text() const noexcept { return { this->bytes.data(), this->length }; }
        void assign(ServiceId newService, std::string_view key) noexcept;
    };

    std::size_t find(ServiceId service, std::string_view key, std::uint64_t hash) const noexcept;
    std::size_t leastCounted() noexcept;

    std::size_t used {};
    /// Where the search for the smallest count goes on. Counts only grow, so a pass over all places finds every one
    /// that has the smallest count before that count rises.
    std::size_t cursor {};
    std::uint32_t least {};
    // Separate arrays, so that a search compares 512 bytes with vector instructions and touches a key only where its
    // tag, a part of its hash, matches.
    std::array<std::uint32_t, capacity> tags {};
    std::array<std::uint32_t, capacity> counts {};
    /// Part of the count that may belong to keys that held the place before.
    std::array<std::uint32_t, capacity> errors {};
    std::array<Key, capacity> keys {};
};

}
