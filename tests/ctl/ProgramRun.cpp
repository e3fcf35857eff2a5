#include "ctl/ProgramRun.h"

#include "adapters/settings/TemporaryFolder.h"

#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace teaselturn {

namespace {

    std::string readAll(const std::filesystem::path& file)
    {
        std::ostringstream text;
        text << std::ifstream { file }.rdbuf();
        return text.str();
    }

}

ProgramRun runCtl(const std::vector<std::string>& words)
{
    const TemporaryFolder folder;
    const auto out = folder.path() / "out";
    const auto err = folder.path() / "err";
    std::vector<std::string> copies { TEASELTURN_BINARY_DIR "/src/ctl/teaselturnctl" };
    copies.insert(copies.end(), words.begin(), words.end());
    std::vector<char*> arguments;
    arguments.reserve(copies.size() + 1);
    for (auto& word : copies) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    REQUIRE(posix_spawn_file_actions_init(&actions) == 0);
    REQUIRE(posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.c_str(), O_WRONLY | O_CREAT, 0600) == 0);
    REQUIRE(posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, err.c_str(), O_WRONLY | O_CREAT, 0600) == 0);
    pid_t child = 0;
    REQUIRE(posix_spawn(&child, arguments.front(), &actions, nullptr, arguments.data(), environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    return { WIFEXITED(status) ? WEXITSTATUS(status) : -1, readAll(out), readAll(err) };
}

}
