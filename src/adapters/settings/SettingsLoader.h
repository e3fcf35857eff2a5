#pragma once

#include "adapters/settings/Problem.h"
#include "adapters/settings/Settings.h"
#include "teaselturn/ResultCode.h"

#include <filesystem>
#include <string_view>

namespace teaselturn {

/// Checks the text of a settings file. Reads no other file.
/// @param folder Folder that relative paths start from.
/// @return The settings without the cluster key, or every problem found.
Checked<Settings> parseSettings(std::string_view text, const std::filesystem::path& folder);

/// Reads and checks a settings file and the files it names: cluster key, TLS certificate and key. Relative paths start
/// from the settings file's folder.
/// @return The settings, or every problem found.
Checked<Settings> loadSettings(const std::filesystem::path& file);

/// @return The result code of a problem with settings.
ResultCode settingsCode(ProblemKind kind) noexcept;

}
