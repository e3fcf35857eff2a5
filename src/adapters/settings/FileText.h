#pragma once

#include "teaselturn/Result.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace teaselturn {

/// Maximum size in bytes of a settings, bundle or key file.
inline constexpr std::size_t maxFileTextBytes = 1024 * 1024;

/// Reads a whole file.
/// @param code Result code if the file cannot be read or is larger than maxFileTextBytes.
Result<std::string> readFileText(const std::filesystem::path& file, ResultCode code);

/// Whether an existing file may be replaced.
enum class Existing : std::uint8_t {
    Kept,
    Replaced,
};

/// Writes a file atomically: writes and syncs the temporary file `<file>.new`, then renames it, or links it if an
/// existing file must be kept.
/// @param mode Permissions of the file, such as 0600, which it has from its creation on.
/// @return Internal with the reason if the file cannot be written, or if it exists and must be kept.
Status writeFileText(const std::filesystem::path& file, std::string_view text, unsigned mode, Existing existing);

}
