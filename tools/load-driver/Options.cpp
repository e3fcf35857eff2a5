#include "Options.h"

#include "common/OptionValues.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>

namespace {

constexpr const char* usage
    = "usage: load-driver --entries ADDRESS:PORT,... --service NAME [--seed N] [--keys N] [--skew X]\n"
      "         [--non-repeatable PERCENT] [--rate N] [--duration-ms N] [--deadline-ms N] [--workers N]\n"
      "         [--customers N] [--record FILE] [--direct SLOT:FENCE]\n"
      "       load-driver --check FILE...\n";

constexpr std::uint32_t maxWorkers = 256;
constexpr std::uint32_t maxKeys = 1'000'000;

bool parseGrant(const std::string& text, std::optional<Options::Grant>& result)
{
    const auto colon = text.find(':');
    Options::Grant grant;
    if (colon == std::string::npos || !parseNumber(text.substr(0, colon), grant.slot)
        || !parseNumber(text.substr(colon + 1), grant.fence)) {
        return false;
    }
    result = grant;
    return true;
}

bool apply(int option, const std::string& value, Options& options)
{
    switch (option) {
    case 'e':
        return parseEndpoints(value, options.entries);
    case 's':
        options.service = value;
        return true;
    case 'S':
        return parseNumber(value, options.seed);
    case 'k':
        return parseNumber(value, options.keys) && options.keys >= 1 && options.keys <= maxKeys;
    case 'z':
        options.skew = std::strtod(value.c_str(), nullptr);
        return options.skew >= 0;
    case 'n':
        return parseNumber(value, options.nonIdempotentPercent) && options.nonIdempotentPercent <= 100;
    case 'r':
        return parseNumber(value, options.rate) && options.rate >= 1;
    case 'd':
        return parseMilliseconds(value, options.duration);
    case 'D':
        return parseMilliseconds(value, options.deadline) && options.deadline.count() >= 1
            && options.deadline <= teaselturn::limits::maxDeadline;
    case 'w':
        return parseNumber(value, options.workers) && options.workers >= 1 && options.workers <= maxWorkers;
    case 'c':
        return parseNumber(value, options.customers) && options.customers >= 1;
    case 'f':
        options.recordFile = value;
        return true;
    case 'g':
        return parseGrant(value, options.directGrant);
    case 'C':
        options.isCheck = true;
        return true;
    default:
        return false;
    }
}

}

std::optional<Options> parseOptions(int count, char** arguments)
{
    static const option table[] = { { "entries", required_argument, nullptr, 'e' },
        { "service", required_argument, nullptr, 's' }, { "seed", required_argument, nullptr, 'S' },
        { "keys", required_argument, nullptr, 'k' }, { "skew", required_argument, nullptr, 'z' },
        { "non-repeatable", required_argument, nullptr, 'n' }, { "rate", required_argument, nullptr, 'r' },
        { "duration-ms", required_argument, nullptr, 'd' }, { "deadline-ms", required_argument, nullptr, 'D' },
        { "workers", required_argument, nullptr, 'w' }, { "customers", required_argument, nullptr, 'c' },
        { "record", required_argument, nullptr, 'f' }, { "direct", required_argument, nullptr, 'g' }, { "check", no_argument, nullptr, 'C' },
        { nullptr, 0, nullptr, 0 } };
    Options options;
    for (int option = 0; (option = getopt_long(count, arguments, "", table, nullptr)) != -1;) {
        if (!apply(option, optarg ? optarg : "", options)) {
            std::fputs(usage, stderr);
            return std::nullopt;
        }
    }
    options.checkFiles.assign(arguments + optind, arguments + count);
    const bool isValid = options.isCheck ? !options.checkFiles.empty()
                                         : options.checkFiles.empty() && !options.entries.empty()
            && !options.service.empty();
    if (!isValid) {
        std::fputs(usage, stderr);
        return std::nullopt;
    }
    return options;
}
