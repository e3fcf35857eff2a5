#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

struct evp_mac_ctx_st;

namespace teaselturn {

/// 32 bytes of SHA-256 or HMAC-SHA256.
using Digest256 = std::array<std::uint8_t, 32>;

/// @return SHA-256 of the bytes.
Digest256 sha256(std::span<const std::uint8_t> bytes);
Digest256 sha256(std::string_view bytes);

/// Compares in a time that depends on the sizes only, so that a forger learns nothing from it.
bool constantTimeEqual(std::span<const std::uint8_t> left, std::span<const std::uint8_t> right) noexcept;

/// HMAC-SHA256 under one key. Thread-safe.
class HmacSha256 {
public:
    explicit HmacSha256(std::span<const std::uint8_t> key);

    /// @param first, second The message, in two parts so that a header and a payload need not be joined.
    Digest256 compute(std::span<const std::uint8_t> first, std::span<const std::uint8_t> second = {}) const;

    /// @return True where the code belongs to the message. Takes the same time for every wrong code.
    bool matches(std::span<const std::uint8_t> code, std::span<const std::uint8_t> first, std::span<const std::uint8_t> second = {}) const;

private:
    struct Release {
        void operator()(evp_mac_ctx_st* context) const noexcept;
    };

    /// Holds the key; each computation works on a copy.
    std::unique_ptr<evp_mac_ctx_st, Release> keyed;
};

}
