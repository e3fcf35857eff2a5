#include "adapters/settings/SettingsLoader.h"
#include "node/CommandLine.h"
#include "node/Daemon.h"
#include "node/SignalWait.h"
#include "platform/PlatformProcess.h"

#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <thread>

using namespace teaselturn;

namespace {

/// Blocks of at least this size are returned to the system when they are freed.
constexpr int minMappedBlockBytes = 128 * 1'024;

int reportFailure(const Failure& failure)
{
    std::fprintf(stderr, "teaselturnd: %s\n", failure.describe().c_str());
    return exits::failure;
}

int runDaemon(Settings settings, const SignalWait& signals)
{
    auto logger = Logger::open({ settings.log.level, settings.log.file ? settings.log.file->string() : std::string {} });
    if (!logger) {
        return reportFailure(logger.failure());
    }
    auto daemon = Daemon::start(std::move(settings), **logger);
    if (!daemon) {
        (*logger)->log(LogEvent::ListenFailed, daemon.failure().describe());
        (*logger)->flush();
        return reportFailure(daemon.failure());
    }
    (*logger)->log(LogEvent::ProcessStarted, TEASELTURN_VERSION, { { "admin", (*daemon)->adminPort() } });
    std::thread { [&daemon = **daemon, &signals] {
        signals.next();
        daemon.requestStop();
        signals.next();
        // A second signal exits without waiting for requests in flight.
        std::_Exit(exits::failure);
    } }.detach();
    const auto code = (*daemon)->run();
    (*logger)->log(LogEvent::ProcessStopped, "", { { "exit", code } });
    (*logger)->flush();
    if (code != exits::success) {
        // Callers that still receive a response would delay an orderly shutdown.
        std::_Exit(code);
    }
    daemon->reset();
    return code;
}

}

int main(int count, char** arguments)
{
    // Without a fixed threshold, glibc raises it with each large block that is freed, and keeps the memory of large messages.
    mallopt(M_MMAP_THRESHOLD, minMappedBlockBytes);
    const auto line = parseCommandLine(count, arguments);
    if (!line) {
        std::fprintf(stderr, "teaselturnd: %s\n%s", line.failure().describe().c_str(), daemonUsage);
        return exits::usage;
    }
    if (line->action == CommandLine::Action::Help) {
        std::fputs(daemonUsage, stdout);
        return exits::success;
    }
    if (line->action == CommandLine::Action::Version) {
        std::puts("teaselturnd " TEASELTURN_VERSION);
        return exits::success;
    }
    if (line->action == CommandLine::Action::RunOnPlatform) {
        return platform::runOnPlatform();
    }
    auto settings = loadSettings(line->settingsFile);
    if (!settings.value) {
        for (const auto& problem : settings.problems) {
            std::fprintf(stderr, "teaselturnd: %s\n", problem.describe(line->settingsFile).c_str());
        }
        return exits::failure;
    }
    if (line->action == CommandLine::Action::Check) {
        std::puts("settings are valid");
        return exits::success;
    }
    if (line->action == CommandLine::Action::CreateLedger) {
        const auto created = createLedger(*settings.value);
        return created ? exits::success : reportFailure(created.failure());
    }
    const SignalWait signals;
    return runDaemon(std::move(*settings.value), signals);
}
