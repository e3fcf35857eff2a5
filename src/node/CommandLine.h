#pragma once

#include "teaselturn/Result.h"

#include <string>

namespace teaselturn {

/// Parsed command line of teaselturnd.
struct CommandLine {
    enum class Action {
        Run,
        /// Run the role requested by the users' platform.
        RunOnPlatform,
        /// Check the settings and exit.
        Check,
        /// Create the data folder of an initial member of a new ledger and exit.
        CreateLedger,
        Help,
        Version,
    };

    Action action { Action::Run };
    std::string settingsFile;
};

/// @return The parsed command line, or UsageError with the reason.
Result<CommandLine> parseCommandLine(int count, char** arguments);

/// Text of --help.
extern const char* const daemonUsage;

}
