#pragma once

#include "ctl/Arguments.h"

#include <span>
#include <string>
#include <string_view>

namespace teaselturn {

/// Runs teaselturnctl.
/// @param words Command-line arguments without the program name.
/// @param version Version printed by --version.
ExitCode runProgram(std::span<const std::string> words, std::string_view version, Console& console);

/// Commands that read and write files.
ExitCode checkSettingsCommand(const Arguments& arguments, Console& console);
ExitCode checkBundleCommand(const Arguments& arguments, Console& console);
ExitCode keygenCommand(const Arguments& arguments, Console& console);
ExitCode signCommand(const Arguments& arguments, Console& console);

/// Commands that use the administration API of VMs.
ExitCode submitCommand(const Arguments& arguments, Console& console);
ExitCode statusCommand(const Arguments& arguments, Console& console);
ExitCode watchCommand(const Arguments& arguments, Console& console);
ExitCode reportCommand(const Arguments& arguments, Console& console);
ExitCode ownerCommand(const Arguments& arguments, Console& console);

/// Prints a failure with its result code to console.err.
/// @return The given exit code.
ExitCode reportFailure(const Failure& failure, ExitCode code, Console& console);

/// @return Unreachable if no response arrived, Refused for any other failure.
ExitCode exitCodeOf(const Failure& failure);

/// Counts the outcomes of a command that queries several addresses.
class AddressTally {
public:
    /// @param isSuccess True if the query of the address succeeded.
    /// @param isUnreachable True if the address did not respond.
    void add(bool isSuccess, bool isUnreachable) noexcept;

    /// @return Success if every address succeeded, Unreachable if none responded, otherwise Refused.
    ExitCode exitCode() const noexcept;

private:
    std::size_t total {};
    std::size_t succeeded {};
    std::size_t unreachable {};
};

/// @return The current time in UTC, such as 2026-08-01T09:30:00Z.
std::string currentTimeText();

}
