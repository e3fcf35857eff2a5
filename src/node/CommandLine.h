#pragma once

#include "teaselturn/Result.h"

#include <string>

namespace teaselturn {

/// What the command line of teaselturnd asks for.
struct CommandLine {
    enum class Action {
        Run,
        /// Run the role that the users' platform asks for.
        RunOnPlatform,
        /// Check the settings and end.
        Check,
        /// Create the data folder of a first member of a new ledger and end.
        CreateLedger,
        Help,
        Version,
    };

    Action action { Action::Run };
    std::string settingsFile;
};

/// @return What is asked for, or UsageError with the reason.
Result<CommandLine> parseCommandLine(int count, char** arguments);

/// Text of --help.
extern const char* const daemonUsage;

}
