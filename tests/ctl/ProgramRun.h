#pragma once

#include "adapters/settings/TemporaryFolder.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace teaselturn {

/// Exit code and output of a finished program.
struct ProgramRun {
    /// -1 if a signal terminated the program.
    int exitCode {};
    std::string out;
    std::string err;
};

/// Running process of the teaselturnctl of this build. wait() must be called, or the process is not reaped.
class RunningProgram {
public:
    explicit RunningProgram(const std::vector<std::string>& words);

    /// Sends a signal to the process.
    void signal(int number);

    /// Waits until the process has exited and returns its exit code and output.
    ProgramRun wait();

private:
    TemporaryFolder folder;
    pid_t child {};
};

/// Runs the teaselturnctl of this build with the given arguments and waits until it has exited.
ProgramRun runCtl(const std::vector<std::string>& words);

}
