#include "adapters/crypto/Hex.h"

namespace teaselturn {

namespace {

    constexpr std::string_view digits = "0123456789abcdef";

    /// @return The value of a hexadecimal digit, or -1 for any other character.
    int digitValue(char c) noexcept
    {
        if (c >= '0' && c <= '9') {
            return c - '0';
        }
        if (c >= 'a' && c <= 'f') {
            return c - 'a' + 10;
        }
        return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
    }

}

std::string encodeHex(std::span<const std::uint8_t> bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0fU];
    }
    return text;
}

bool decodeHex(std::string_view text, std::span<std::uint8_t> bytes) noexcept
{
    if (text.size() != bytes.size() * 2) {
        return false;
    }
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const auto high = digitValue(text[2 * i]);
        const auto low = digitValue(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return true;
}

}
