#pragma once

#include "adapters/settings/Problem.h"
#include "adapters/settings/Settings.h"
#include "teaselturn/ResultCode.h"

#include <filesystem>
#include <string_view>

namespace teaselturn {

/// Parses and validates the text of a settings file. Reads no file.
/// @param folder Folder to which relative paths refer.
/// @return The settings without the cluster key, or every problem found.
Checked<Settings> parseSettings(std::string_view text, const std::filesystem::path& folder);

/// Reads and checks a settings file and the files it names: cluster key, TLS certificate and key. Relative paths refer
/// to the settings file's folder.
/// @return The settings, or every problem found.
Checked<Settings> loadSettings(const std::filesystem::path& file);

/// Returns the result code for a kind of problem in settings.
ResultCode settingsResultCode(ProblemKind kind) noexcept;

}
