#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

struct evp_mac_ctx_st;

namespace teaselturn {

/// A SHA-256 digest or an HMAC-SHA256 code.
using Digest256 = std::array<std::uint8_t, 32>;

/// @return The SHA-256 digest of the bytes.
Digest256 sha256(std::span<const std::uint8_t> bytes);
Digest256 sha256(std::string_view bytes);

/// Compares two byte strings in constant time for a given size, so that timing does not reveal how many bytes of a
/// forged code were right.
bool constantTimeEqual(std::span<const std::uint8_t> left, std::span<const std::uint8_t> right) noexcept;

/// Computes and verifies HMAC-SHA256 codes under one key. Thread-safe.
class HmacSha256 {
public:
    explicit HmacSha256(std::span<const std::uint8_t> key);

    /// @param first, second The message in two parts, so that a header and a payload need not be copied into one
    /// buffer.
    Digest256 compute(std::span<const std::uint8_t> first, std::span<const std::uint8_t> second = {}) const;

    /// @return True if the code is valid for the message. The comparison takes the same time for every invalid code.
    bool matches(std::span<const std::uint8_t> code, std::span<const std::uint8_t> first, std::span<const std::uint8_t> second = {}) const;

private:
    struct Deleter {
        void operator()(evp_mac_ctx_st* context) const noexcept;
    };

    /// Context initialised with the key. Each computation duplicates it, so that threads do not share state.
    std::unique_ptr<evp_mac_ctx_st, Deleter> keyedContext;
};

}
