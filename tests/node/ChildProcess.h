#pragma once

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

/// A process started by a test. The destructor kills it if it has not been waited for.
class ChildProcess {
public:
    /// @param outputFile File to which standard output and standard error are redirected.
    ChildProcess(std::vector<std::string> command, const std::string& outputFile)
    {
        std::vector<char*> arguments;
        arguments.reserve(command.size() + 1);
        for (auto& argument : command) {
            arguments.push_back(argument.data());
        }
        arguments.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        if (posix_spawn(&this->id, arguments[0], &actions, nullptr, arguments.data(), environ) != 0) {
            this->id = -1;
        }
        posix_spawn_file_actions_destroy(&actions);
    }
    ~ChildProcess()
    {
        if (this->id > 0) {
            ::kill(this->id, SIGKILL);
            static_cast<void>(this->wait());
        }
    }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    bool isStarted() const { return this->id > 0; }
    void signal(int number) const { ::kill(this->id, number); }

    /// Waits until the process ends.
    /// @return The exit code, or -1 if a signal ended the process.
    int wait()
    {
        int status = 0;
        ::waitpid(this->id, &status, 0);
        this->id = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

private:
    pid_t id { -1 };
};
