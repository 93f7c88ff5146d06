#include "laburnumreach/process/child_process.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <string_view>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace laburnumreach::process
{

namespace
{

constexpr std::size_t most_children = 256;
std::array<std::atomic<pid_t>, most_children> running{};

extern "C" void end_children(int signal)
{
    for (std::atomic<pid_t>& child : running)
    {
        if (const pid_t pid = child.load(); pid > 0)
        {
            ::kill(pid, SIGKILL);
        }
    }
    ::_exit(128 + signal);
}

void replace_running(pid_t before, pid_t after)
{
    for (std::atomic<pid_t>& child : running)
    {
        pid_t expected = before;
        if (child.compare_exchange_strong(expected, after))
        {
            return;
        }
    }
}

} // namespace

void child_process::end_all_on_signals()
{
    std::signal(SIGTERM, end_children);
    std::signal(SIGINT, end_children);
    std::signal(SIGABRT, end_children); // An uncaught exception ends the bench this way.
}

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
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int status = ::posix_spawn(&this->pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (status != 0)
    {
        throw std::runtime_error("cannot start " + command.front());
    }
    replace_running(0, this->pid);
}

child_process::child_process(child_process&& other) noexcept : pid(std::exchange(other.pid, -1)) {}

child_process::~child_process()
{
    if (this->pid > 0)
    {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        replace_running(this->pid, 0);
    }
}

void child_process::signal(int number) const
{
    if (this->running())
    {
        ::kill(this->pid, number);
    }
}

std::optional<int> child_process::take_end()
{
    int status = 0;
    if (!this->running() || ::waitpid(this->pid, &status, WNOHANG) != this->pid)
    {
        return std::nullopt;
    }
    replace_running(this->pid, 0);
    this->pid = -1;
    return status;
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
    std::ifstream status{root / "status"};
    for (std::string line; std::getline(status, line);)
    {
        constexpr std::string_view peak_field = "VmHWM:";
        constexpr double kb_per_mb = 1024.0;
        if (line.starts_with(peak_field))
        {
            result.peak_resident_mb = std::strtod(line.c_str() + peak_field.size(), nullptr) / kb_per_mb;
        }
    }
    const std::filesystem::directory_iterator descriptors{root / "fd"};
    result.descriptors = static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
    return result;
}

} // namespace laburnumreach::process
