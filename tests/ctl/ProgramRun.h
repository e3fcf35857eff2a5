#pragma once

#include <string>
#include <vector>

namespace teaselturn {

/// What a run of a program gave.
struct ProgramRun {
    int exitCode {};
    std::string out;
    std::string err;
};

/// Runs the built teaselturnctl and waits for its end.
ProgramRun runCtl(const std::vector<std::string>& words);

}
