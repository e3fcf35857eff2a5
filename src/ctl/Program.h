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
ExitCode watchCommand(const Arguments& arguments, Console& console);
ExitCode reportCommand(const Arguments& arguments, Console& console);
ExitCode ownerCommand(const Arguments& arguments, Console& console);

/// Prints a failure with its number.
/// @return The code given.
ExitCode reportFailure(const Failure& failure, ExitCode code, Console& console);

/// @return Unreachable where no response arrived, Refused for any other failure.
ExitCode exitCodeOf(const Failure& failure);

/// Counts what the addresses of one command gave.
class AnswerCount {
public:
    /// @param isGood True where the address gave what was asked for.
    /// @param isUnreachable True where it did not respond.
    void add(bool isGood, bool isUnreachable) noexcept;

    /// @return Success where every address is good, Unreachable where none responded, else Refused.
    ExitCode exitCode() const noexcept;

private:
    std::size_t total {};
    std::size_t good {};
    std::size_t unreachable {};
};

/// @return The time in UTC, such as 2026-08-01T09:30:00Z.
std::string currentTimeText();

}
