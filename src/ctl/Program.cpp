#include "ctl/Program.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <ostream>

namespace teaselturn {

namespace {

    const OptionSpec singleAddressOption { "to", "ADDRESS:PORT", true, "administration address of a VM" };
    const OptionSpec addressListOption { "to", "ADDRESS:PORT,...", true, "administration addresses of VMs" };
    const OptionSpec jsonOption { "json", "", false, "print JSON" };

    const std::vector<CommandSpec>& commands()
    {
        static const std::vector<CommandSpec> table {
            { "check-settings", "FILE", "check a settings file and the files it names", {}, checkSettingsCommand },
            { "check-bundle", "FILE", "check a bundle, signed or not",
                { { "in-force", "FILE", false, "check signatures and changes against this bundle" },
                    { "settings", "FILE", false, "check signatures against the operators of these settings" }, jsonOption },
                checkBundleCommand },
            { "keygen", "", "generate an operator's key pair: PREFIX.key (mode 0600) and PREFIX.pub",
                { { "out", "PREFIX", true, "path of the files without extension" }, { "name", "NAME", false, "operator; the last part of PREFIX if not given" } },
                keygenCommand },
            { "sign", "", "add a signature to a bundle",
                { { "key", "FILE", true, "private key file" }, { "bundle", "FILE", true, "bundle, signed or not" }, { "out", "FILE", true, "signed bundle to write" } },
                signCommand },
            { "submit", "FILE", "submit a signed bundle", { singleAddressOption, jsonOption }, submitCommand },
            { "status", "", "show the state of VMs", { addressListOption, jsonOption }, statusCommand },
            { "watch", "", "show the state of VMs repeatedly until SIGINT",
                { addressListOption, { "interval", "SECONDS", false, "wait between two rounds, 1 to 3600; 2 if not given" }, { "count", "N", false, "number of rounds; unlimited if not given" }, jsonOption },
                watchCommand },
            { "report", "", "show burn rates by service and zone, summed over VMs",
                { addressListOption, { "html", "FILE", false, "also write the report as an HTML page" }, jsonOption }, reportCommand },
            { "owner", "KEY", "show which upstream owns a key", { singleAddressOption, { "service", "NAME", true, "service of the key" }, jsonOption }, ownerCommand },
        };
        return table;
    }

    std::string usageLine(const CommandSpec& spec)
    {
        std::string line { spec.name };
        for (const auto& optionSpec : spec.options) {
            auto text = "--" + std::string { optionSpec.name };
            text += optionSpec.value.empty() ? "" : " " + std::string { optionSpec.value };
            line += optionSpec.isRequired ? " " + text : " [" + text + "]";
        }
        return spec.operand.empty() ? line : line + " " + std::string { spec.operand };
    }

    void printHelp(std::ostream& out)
    {
        out << "usage: teaselturnctl COMMAND [OPTIONS]\n"
               "       teaselturnctl --help | --version\n\n";
        for (const auto& spec : commands()) {
            out << "  " << usageLine(spec) << "\n      " << spec.summary << "\n";
        }
        out << "\nteaselturnctl COMMAND --help explains the options of a command.\n"
               "Exit codes: 0 success, 1 refused or unhealthy, 2 usage, 3 unreachable.\n";
    }

    void printHelp(const CommandSpec& spec, std::ostream& out)
    {
        out << "usage: teaselturnctl " << usageLine(spec) << "\n"
            << spec.summary << "\n";
        for (const auto& optionSpec : spec.options) {
            const auto text = "--" + std::string { optionSpec.name } + (optionSpec.value.empty() ? "" : " ") + std::string { optionSpec.value };
            out << "  " << std::left << std::setw(24) << text << " " << optionSpec.help << "\n";
        }
    }

    ExitCode usageError(const std::string& reason, Console& console)
    {
        console.err << "teaselturnctl: " << reason << "\nTry 'teaselturnctl --help'.\n";
        return ExitCode::Usage;
    }

    ExitCode runCommand(const CommandSpec& spec, std::span<const std::string> words, Console& console)
    {
        if (words.size() == 2 && words[1] == "--help") {
            printHelp(spec, console.out);
            return ExitCode::Success;
        }
        const auto arguments = Arguments::parse(spec, words);
        return arguments ? spec.run(*arguments, console) : usageError(arguments.failure().detail, console);
    }

}

ExitCode runProgram(std::span<const std::string> words, std::string_view version, Console& console)
{
    if (words.empty()) {
        return usageError("a command is missing", console);
    }
    const auto& first = words.front();
    const auto spec = std::ranges::find(commands(), first, &CommandSpec::name);
    if (spec != commands().end()) {
        return runCommand(*spec, words, console);
    }
    if (first != "--help" && first != "--version") {
        return usageError((first.starts_with('-') ? "unknown option '" : "unknown command '") + first + "'", console);
    }
    if (words.size() > 1) {
        return usageError("unexpected argument '" + words[1] + "'", console);
    }
    if (first == "--version") {
        console.out << "teaselturnctl " << version << "\n";
    } else {
        printHelp(console.out);
    }
    return ExitCode::Success;
}

ExitCode reportFailure(const Failure& failure, ExitCode code, Console& console)
{
    console.err << "teaselturnctl: [" << failure.code.value() << "] " << failure.describe() << "\n";
    return code;
}

ExitCode exitCodeOf(const Failure& failure)
{
    return failure.code == ResultCode::HttpUnreachable ? ExitCode::Unreachable : ExitCode::Refused;
}

void AddressTally::add(bool isSuccess, bool isUnreachable) noexcept
{
    ++this->total;
    this->succeeded += isSuccess ? 1 : 0;
    this->unreachable += isUnreachable ? 1 : 0;
}

ExitCode AddressTally::exitCode() const noexcept
{
    if (this->succeeded == this->total) {
        return ExitCode::Success;
    }
    return this->unreachable == this->total ? ExitCode::Unreachable : ExitCode::Refused;
}

std::string currentTimeText()
{
    const auto now = std::time(nullptr);
    std::tm parts {};
    std::array<char, 32> text {};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", gmtime_r(&now, &parts));
    return { text.data(), length };
}

}
