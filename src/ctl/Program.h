#pragma once

#include "ctl/Arguments.h"

#include <span>
#include <string>
#include <string_view>

namespace teaselturn {

/// Runs teaselturnctl.
/// @param words The command line without the program's name.
/// @param version Version of the program, for --version.
ExitCode runProgram(std::span<const std::string> words, std::string_view version, Console& console);

/// Commands that read and write files.
ExitCode checkSettingsCommand(const Arguments& arguments, Console& console);
ExitCode checkBundleCommand(const Arguments& arguments, Console& console);
ExitCode keygenCommand(const Arguments& arguments, Console& console);
ExitCode signCommand(const Arguments& arguments, Console& console);

/// Commands that talk to the administration API.
ExitCode submitCommand(const Arguments& arguments, Console& console);
ExitCode statusCommand(const Arguments& arguments, Console& console);
ExitCode ownerCommand(const Arguments& arguments, Console& console);

/// Prints a failure with its number.
/// @return The code given.
ExitCode reportFailure(const Failure& failure, ExitCode code, Console& console);

}
