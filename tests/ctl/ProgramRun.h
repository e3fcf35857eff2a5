#pragma once

#include "adapters/settings/TemporaryFolder.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace teaselturn {

/// What a run of a program gave.
struct ProgramRun {
    /// -1 where a signal ended it.
    int exitCode {};
    std::string out;
    std::string err;
};

/// A run of the built teaselturnctl that is in progress. wait() must be called.
class RunningProgram {
public:
    explicit RunningProgram(const std::vector<std::string>& words);

    void signal(int number);

    /// Waits for its end.
    ProgramRun wait();

private:
    TemporaryFolder folder;
    pid_t child {};
};

/// Runs the built teaselturnctl and waits for its end.
ProgramRun runCtl(const std::vector<std::string>& words);

}
