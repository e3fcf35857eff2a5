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
    /// The file or bundle was refused, or a VM is not healthy.
    Refused = 1,
    Usage = 2,
    /// The daemon did not respond, or it could not reach the ledger.
    Unreachable = 3,
};

/// Output and error streams of a command.
struct Console {
    std::ostream& out;
    std::ostream& err;
};

/// A long option of a command.
struct OptionSpec {
    std::string_view name;
    /// Placeholder of the value in the help text; empty if the option takes no value.
    std::string_view value;
    bool isRequired {};
    std::string_view help;
};

class Arguments;

/// Description of a command, used for parsing and for the help text.
struct CommandSpec {
    std::string_view name;
    /// Placeholder of the only operand in the help text; empty if the command takes none.
    std::string_view operand;
    std::string_view summary;
    std::vector<OptionSpec> options;
    ExitCode (*run)(const Arguments& arguments, Console& console);
};

/// The parsed and validated command line of a command.
class Arguments {
public:
    /// @param words The name of the command, followed by its arguments.
    /// @return UsageError with the reason if an option is unknown, repeated or missing, or if the number of operands is
    /// wrong.
    static Result<Arguments> parse(const CommandSpec& spec, std::span<const std::string> words);

    bool has(std::string_view option) const { return this->values.contains(option); }
    /// @return The value of the option. Requires has(option), which parse() ensures for required options.
    const std::string& value(std::string_view option) const { return this->values.find(option)->second; }
    /// @return The operand; empty if the command takes none.
    const std::string& operandText() const noexcept { return this->operand; }

private:
    std::map<std::string, std::string, std::less<>> values;
    std::string operand;
};

/// Parses ADDRESS:PORT. An IPv6 address stands in brackets.
/// @return The endpoint, or UsageError.
Result<Endpoint> parseAddress(std::string_view text);

/// Parses a comma-separated list of addresses. Returns the first failure, if any.
Result<std::vector<Endpoint>> parseAddresses(std::string_view text);

/// Parses a decimal number in [minimum, maximum].
/// @param option Name of the option for the error message.
/// @return The number, or UsageError.
Result<std::uint64_t> parseNumber(std::string_view option, std::string_view text, std::uint64_t minimum, std::uint64_t maximum);

/// @return ADDRESS:PORT in the form that parseAddress() accepts.
std::string formatAddress(const Endpoint& endpoint);

}
