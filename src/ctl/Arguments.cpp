#include "ctl/Arguments.h"

#include "adapters/settings/IpNumber.h"

#include <algorithm>
#include <charconv>
#include <getopt.h>

namespace teaselturn {

namespace {

    /// Return value of getopt_long() for the first option. It lies above every character and so differs from '?' and
    /// ':', which report errors.
    constexpr int firstOptionCode = 256;

    std::vector<option> makeLongOptions(const CommandSpec& spec)
    {
        std::vector<option> options;
        for (std::size_t i = 0; i < spec.options.size(); ++i) {
            const auto& optionSpec = spec.options[i];
            options.push_back({ optionSpec.name.data(), optionSpec.value.empty() ? no_argument : required_argument, nullptr, firstOptionCode + static_cast<int>(i) });
        }
        options.push_back({});
        return options;
    }

    Failure usageFailure(const std::string& reason)
    {
        return { make_error_code(ResultCode::UsageError), reason };
    }

}

Result<Arguments> Arguments::parse(const CommandSpec& spec, std::span<const std::string> words)
{
    Arguments arguments;
    std::vector<std::string> copies { words.begin(), words.end() };
    std::vector<char*> pointers;
    std::ranges::transform(copies, std::back_inserter(pointers), [](std::string& word) { return word.data(); });
    pointers.push_back(nullptr);
    const auto longOptions = makeLongOptions(spec);
    // Zero resets the state of glibc's getopt, since a process may parse more than one command line.
    optind = 0;
    opterr = 0;
    const auto count = static_cast<int>(copies.size());
    for (int optionCode = 0; (optionCode = getopt_long(count, pointers.data(), ":", longOptions.data(), nullptr)) != -1;) {
        const std::string word = pointers[static_cast<std::size_t>(optind - 1)];
        if (optionCode < firstOptionCode) {
            return usageFailure(optionCode == ':' ? "option '" + word + "' needs a value" : "unknown option '" + word + "'");
        }
        const auto& matched = spec.options[static_cast<std::size_t>(optionCode - firstOptionCode)];
        if (!arguments.values.emplace(matched.name, optarg ? optarg : "").second) {
            return usageFailure("option '--" + std::string { matched.name } + "' is given twice");
        }
    }
    for (const auto& optionSpec : spec.options) {
        if (optionSpec.isRequired && !arguments.has(optionSpec.name)) {
            return usageFailure("option '--" + std::string { optionSpec.name } + "' is missing");
        }
    }
    const auto operands = std::span { pointers }.first(copies.size()).subspan(static_cast<std::size_t>(optind));
    const std::size_t operandCount = spec.operand.empty() ? 0 : 1;
    if (operands.size() > operandCount) {
        return usageFailure("unexpected argument '" + std::string { operands[operandCount] } + "'");
    }
    if (operands.size() < operandCount) {
        return usageFailure(std::string { spec.operand } + " is missing");
    }
    arguments.operand = operandCount == 1 ? operands.front() : "";
    return arguments;
}

Result<Endpoint> parseAddress(std::string_view text)
{
    const auto invalidAddress = [text] { return usageFailure("'" + std::string { text } + "' is not ADDRESS:PORT with an IP address"); };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalidAddress();
    }
    auto address = text.substr(0, colon);
    const auto digits = text.substr(colon + 1);
    const auto isBracketed = address.starts_with('[') && address.ends_with(']');
    if (isBracketed) {
        address = address.substr(1, address.size() - 2);
    }
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const auto isPort = error == std::errc {} && end == digits.data() + digits.size() && port != 0;
    if (!isPort || !isIpNumber(address) || isBracketed != (address.find(':') != std::string_view::npos)) {
        return invalidAddress();
    }
    return Endpoint { std::string { address }, port };
}

Result<std::vector<Endpoint>> parseAddresses(std::string_view text)
{
    std::vector<Endpoint> endpoints;
    while (true) {
        const auto comma = std::min(text.find(','), text.size());
        auto endpoint = parseAddress(text.substr(0, comma));
        if (!endpoint) {
            return endpoint.failure();
        }
        endpoints.push_back(*std::move(endpoint));
        if (comma == text.size()) {
            return endpoints;
        }
        text.remove_prefix(comma + 1);
    }
}

Result<std::uint64_t> parseNumber(std::string_view option, std::string_view text, std::uint64_t minimum, std::uint64_t maximum)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error == std::errc {} && end == text.data() + text.size() && number >= minimum && number <= maximum) {
        return number;
    }
    return usageFailure("option '--" + std::string { option } + "' is '" + std::string { text } + "'; allowed: " + std::to_string(minimum) + " to " + std::to_string(maximum));
}

std::string formatAddress(const Endpoint& endpoint)
{
    const auto port = std::to_string(endpoint.port);
    return endpoint.address.find(':') == std::string::npos ? endpoint.address + ":" + port : "[" + endpoint.address + "]:" + port;
}

}
