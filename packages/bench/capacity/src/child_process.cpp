#include "child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace laburnumreach::capacity_bench
{

child_process::child_process(const std::vector<std::string>& command, const std::string& log_path)
{
    std::vector<std::string> words = command;
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words)
    {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                       O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int status = ::posix_spawn(&this->pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (status != 0)
    {
        throw std::runtime_error("cannot start " + command.front());
    }
}

child_process::child_process(child_process&& other) noexcept : pid(std::exchange(other.pid, -1)) {}

child_process::~child_process()
{
    if (this->pid > 0)
    {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
    }
}

process_usage child_process::usage() const
{
    process_usage result;
    const std::filesystem::path root = "/proc/" + std::to_string(this->pid);
    for (const auto& task : std::filesystem::directory_iterator{root / "task"})
    {
        std::string name;
        std::getline(std::ifstream{task.path() / "comm"}, name);
        // schedstat counts nanoseconds; the ticks of 10 ms in stat are too coarse for an idle control thread.
        double nanoseconds = 0.0;
        std::ifstream{task.path() / "schedstat"} >> nanoseconds;
        result.total_seconds += nanoseconds * 1e-9;
        result.control_seconds += name == "control" ? nanoseconds * 1e-9 : 0.0;
        ++result.threads;
    }
    std::size_t pages = 0;
    std::ifstream{root / "statm"} >> pages >> pages;
    result.resident_mb =
        static_cast<double>(pages) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
    return result;
}

} // namespace laburnumreach::capacity_bench
