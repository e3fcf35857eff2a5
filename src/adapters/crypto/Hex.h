#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace teaselturn {

/// @return The bytes as lower-case hexadecimal digits.
std::string encodeHex(std::span<const std::uint8_t> bytes);

/// Decodes hexadecimal digits of either case.
/// @param text Exactly two digits for each element of bytes.
/// @param bytes Receives the decoded value.
/// @return False if the text has another length or a character that is not a hexadecimal digit. The contents of bytes
/// are unspecified then.
bool decodeHex(std::string_view text, std::span<std::uint8_t> bytes) noexcept;

}
