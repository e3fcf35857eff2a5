#include "node/CommandLine.h"

#include <getopt.h>

namespace teaselturn {

const char* const daemonUsage = "usage: teaselturnd --settings FILE [--check | --create-ledger]\n"
                                "       teaselturnd --platform\n"
                                "\n"
                                "  --settings FILE  settings of this VM, as JSON with comments\n"
                                "  --check          check the settings and the files they name, and exit\n"
                                "  --create-ledger  create the data folder of a first member of a new ledger, and exit;\n"
                                "                   never use it to replace a lost disk\n"
                                "  --platform       run the role that the users' platform names in its own settings file\n"
                                "  --help           show this text\n"
                                "  --version        show the version\n"
                                "\n"
                                "SIGTERM drains and exits with 0. Exit codes: 0 success, 1 failure, 2 usage, 5 the ledger's disk failed.\n";

Result<CommandLine> parseCommandLine(int count, char** arguments)
{
    using Action = CommandLine::Action;
    enum Option {
        Settings = 1,
        Check,
        CreateLedger,
        Platform,
        Help,
        Version,
    };
    static const option options[] {
        { "settings", required_argument, nullptr, Settings },
        { "check", no_argument, nullptr, Check },
        { "create-ledger", no_argument, nullptr, CreateLedger },
        { "platform", no_argument, nullptr, Platform },
        { "help", no_argument, nullptr, Help },
        { "version", no_argument, nullptr, Version },
        { nullptr, 0, nullptr, 0 },
    };
    CommandLine line;
    optind = 0;
    opterr = 0;
    while (true) {
        const auto current = optind > 0 ? optind : 1;
        switch (getopt_long(count, arguments, "+", options, nullptr)) {
        case Settings:
            line.settingsFile = optarg;
            break;
        case Check:
            line.action = Action::Check;
            break;
        case CreateLedger:
            line.action = Action::CreateLedger;
            break;
        case Platform:
            return CommandLine { Action::RunOnPlatform, {} };
        case Help:
            return CommandLine { Action::Help, {} };
        case Version:
            return CommandLine { Action::Version, {} };
        case -1:
            if (optind < count) {
                return { ResultCode::UsageError, std::string { "unexpected argument '" } + arguments[optind] + "'" };
            }
            if (line.settingsFile.empty()) {
                return { ResultCode::UsageError, "--settings FILE is missing" };
            }
            return line;
        default:
            return { ResultCode::UsageError, std::string { "unknown or incomplete option '" } + arguments[current] + "'" };
        }
    }
}

}
