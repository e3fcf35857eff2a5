#pragma once

#include "adapters/settings/Problem.h"
#include "adapters/settings/Settings.h"

namespace teaselturn {

/// Reads the cluster key into the settings and checks the other files and folders that the settings name.
/// @return Problems with the files.
ProblemList readSettingsFiles(Settings& settings);

}
