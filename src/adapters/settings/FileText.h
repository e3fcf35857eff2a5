#pragma once

#include "teaselturn/Result.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace teaselturn {

/// Largest file of settings, bundles or keys that is read, in bytes.
inline constexpr std::size_t maxFileTextBytes = 1024 * 1024;

/// Reads a whole file.
/// @param code Code of the failure where the file cannot be read or is larger than maxFileTextBytes.
Result<std::string> readFileText(const std::filesystem::path& file, ResultCode code);

/// Whether an existing file may be replaced.
enum class Existing : std::uint8_t {
    Kept,
    Replaced,
};

/// Writes a file whole or not at all: to a file beside it, synced and then renamed.
/// @param mode Permissions of the file, such as 0600; they apply from its creation.
/// @return Internal with the reason where it cannot be written, or where it exists and is to be kept.
Status writeFileText(const std::filesystem::path& file, std::string_view text, unsigned mode, Existing existing);

}
