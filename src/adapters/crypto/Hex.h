#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace teaselturn {

/// @return The bytes as lower-case hexadecimal digits.
std::string encodeHex(std::span<const std::uint8_t> bytes);

/// Decodes hexadecimal digits of either case.
/// @param bytes Receives the value; the text must have exactly two digits for each byte.
/// @return False where the text is not of that form; bytes may then be changed.
bool decodeHex(std::string_view text, std::span<std::uint8_t> bytes) noexcept;

}
