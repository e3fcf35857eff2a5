#include "Options.h"

#include "common/OptionValues.h"

#include <cstdio>
#include <getopt.h>

namespace {

constexpr const char* usage = "usage: stand-in-upstream --service NAME --zone NAME --entries ADDRESS:PORT,...\n"
                              "  [--name NAME] [--listen ADDRESS:PORT] [--request-slots N] [--connection-limit N]\n"
                              "  [--service-time-ms N] [--queue N] [--record FILE]\n"
                              "faults: [--freeze-after MS] [--freeze-for MS] [--answer-late EVERY] [--late-by-ms N]\n"
                              "  [--cross-answers EVERY] [--short-answers EVERY] [--no-checks]\n";

bool apply(int option, const std::string& value, Options& options)
{
    switch (option) {
    case 'n':
        options.name = value;
        return true;
    case 's':
        options.service = value;
        return true;
    case 'z':
        options.zone = value;
        return true;
    case 'l':
        if (const auto endpoint = parseEndpoint(value)) {
            options.listen = *endpoint;
            return true;
        }
        return false;
    case 'e':
        return parseEndpoints(value, options.entries);
    case 'r':
        return parseNumber(value, options.requestSlots);
    case 'c':
        return parseNumber(value, options.connectionLimit);
    case 't':
        return parseMilliseconds(value, options.serviceTime);
    case 'q':
        return parseNumber(value, options.queueLimit);
    case 'f':
        options.recordFile = value;
        return true;
    case 'F':
        return parseMilliseconds(value, options.freezeAfter);
    case 'G':
        return parseMilliseconds(value, options.freezeFor);
    case 'L':
        return parseNumber(value, options.delayedResponseEvery);
    case 'B':
        return parseMilliseconds(value, options.responseDelay);
    case 'X':
        return parseNumber(value, options.mismatchedResponseEvery);
    case 'S':
        return parseNumber(value, options.truncatedResponseEvery);
    case 'N':
        options.checksGrants = false;
        return true;
    default:
        return false;
    }
}

}

std::optional<Options> parseOptions(int count, char** arguments)
{
    static const option table[] = { { "name", required_argument, nullptr, 'n' },
        { "service", required_argument, nullptr, 's' }, { "zone", required_argument, nullptr, 'z' },
        { "listen", required_argument, nullptr, 'l' }, { "entries", required_argument, nullptr, 'e' },
        { "request-slots", required_argument, nullptr, 'r' }, { "connection-limit", required_argument, nullptr, 'c' },
        { "service-time-ms", required_argument, nullptr, 't' }, { "queue", required_argument, nullptr, 'q' },
        { "record", required_argument, nullptr, 'f' }, { "freeze-after", required_argument, nullptr, 'F' },
        { "freeze-for", required_argument, nullptr, 'G' }, { "answer-late", required_argument, nullptr, 'L' },
        { "late-by-ms", required_argument, nullptr, 'B' }, { "cross-answers", required_argument, nullptr, 'X' },
        { "short-answers", required_argument, nullptr, 'S' }, { "no-checks", no_argument, nullptr, 'N' },
        { nullptr, 0, nullptr, 0 } };
    Options options;
    for (int option = 0; (option = getopt_long(count, arguments, "", table, nullptr)) != -1;) {
        if (!apply(option, optarg ? optarg : "", options)) {
            std::fputs(usage, stderr);
            return std::nullopt;
        }
    }
    if (options.service.empty() || options.zone.empty() || options.entries.empty() || optind != count) {
        std::fputs(usage, stderr);
        return std::nullopt;
    }
    return options;
}
