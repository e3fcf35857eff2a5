#pragma once

#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <iosfwd>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// Exit codes of teaselturnctl. docs/operations.md lists them.
enum class ExitCode : int {
    Success = 0,
    /// A file or bundle was refused, or the system is not healthy.
    Refused = 1,
    Usage = 2,
    /// No answer came from the daemon, or it could not reach the ledger.
    Unreachable = 3,
};

/// Where a command writes.
struct Console {
    std::ostream& out;
    std::ostream& err;
};

/// A long option of a command.
struct OptionSpec {
    std::string_view name;
    /// Name of its value for the help text; empty for an option without value.
    std::string_view value;
    bool isRequired {};
    std::string_view help;
};

class Arguments;

/// One command of the program.
struct CommandSpec {
    std::string_view name;
    /// Name of its only operand; empty where it takes none.
    std::string_view operand;
    std::string_view summary;
    std::vector<OptionSpec> options;
    ExitCode (*run)(const Arguments& arguments, Console& console);
};

/// The checked command line of one command.
class Arguments {
public:
    /// @param words The command's name and what follows it.
    /// @return UsageError with the reason for unknown, repeated, missing or surplus words.
    static Result<Arguments> parse(const CommandSpec& spec, std::span<const std::string> words);

    bool has(std::string_view option) const { return this->values.contains(option); }
    /// @return The option's value. Requires has(option), which parse ensures for required options.
    const std::string& value(std::string_view option) const { return this->values.find(option)->second; }
    /// @return The operand; empty where the command takes none.
    const std::string& operandText() const noexcept { return this->operand; }

private:
    std::map<std::string, std::string, std::less<>> values;
    std::string operand;
};

/// Reads ADDRESS:PORT, with an IPv6 number in brackets.
/// @return The endpoint, or UsageError.
Result<Endpoint> parseAddress(std::string_view text);

/// Reads addresses separated by commas.
Result<std::vector<Endpoint>> parseAddresses(std::string_view text);

/// Reads a decimal number in [least, most].
/// @param option Name of the option, for the message.
/// @return The number, or UsageError.
Result<std::uint64_t> parseNumber(std::string_view option, std::string_view text, std::uint64_t least, std::uint64_t most);

/// @return ADDRESS:PORT as parseAddress reads it.
std::string formatAddress(const Endpoint& endpoint);

}
