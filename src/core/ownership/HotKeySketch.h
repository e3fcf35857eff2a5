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
/// last drain, every key with more than n / capacity of them is tracked. Fixed size of about 36 KiB. Not thread-safe.
class HotKeySketch {
public:
    /// Number of keys that are counted at a time.
    static constexpr std::size_t capacity = 128;

    /// Counts a request without allocating. Ignores keys longer than limits::maxKeyBytes.
    /// @param hash hashKey(key), which the caller already computed for its route lookup.
    void add(ServiceId service, std::string_view key, std::uint64_t hash) noexcept;
    void add(ServiceId service, std::string_view key) noexcept;

    /// Returns the frequent keys and clears all counts.
    /// @param maxBytes Maximum size of the encoded samples; less frequent keys are omitted.
    /// @return The frequent keys, most frequent first, each with a lower bound of its requests. Keys with a lower bound
    /// below two are omitted.
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
    std::size_t findMinimum() noexcept;

    std::size_t used {};
    /// Position at which the next search for the smallest count resumes. Counts never decrease, so every position
    /// before it has a larger count.
    std::size_t cursor {};
    std::uint32_t minimumCount {};
    // Separate arrays let a search compare 512 bytes with vector instructions and read a key only if its tag, a part of
    // its hash, matches.
    std::array<std::uint32_t, capacity> tags {};
    std::array<std::uint32_t, capacity> counts {};
    /// Part of the count that may belong to keys that used the position before.
    std::array<std::uint32_t, capacity> errors {};
    std::array<Key, capacity> keys {};
};

}
