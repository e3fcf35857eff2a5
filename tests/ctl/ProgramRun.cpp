#include "ctl/ProgramRun.h"

#include <csignal>
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

RunningProgram::RunningProgram(const std::vector<std::string>& words)
{
    const auto out = this->folder.path() / "out";
    const auto err = this->folder.path() / "err";
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
    REQUIRE(posix_spawn(&this->child, arguments.front(), &actions, nullptr, arguments.data(), environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
}

void RunningProgram::signal(int number)
{
    REQUIRE(kill(this->child, number) == 0);
}

ProgramRun RunningProgram::wait()
{
    int status = 0;
    REQUIRE(waitpid(this->child, &status, 0) == this->child);
    return { WIFEXITED(status) ? WEXITSTATUS(status) : -1, readAll(this->folder.path() / "out"), readAll(this->folder.path() / "err") };
}

ProgramRun runCtl(const std::vector<std::string>& words)
{
    return RunningProgram { words }.wait();
}

}
