#ifndef LABURNUMREACH_PROCESS_CHILD_PROCESS_HPP
#define LABURNUMREACH_PROCESS_CHILD_PROCESS_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace laburnumreach::process
{

/// What a process has used so far.
struct process_usage
{
    double control_seconds = 0.0; ///< Processor time of the thread named "control".
    double total_seconds = 0.0;   ///< Processor time of all threads that still run.
    double resident_mb = 0.0;
    double peak_resident_mb = 0.0;
    std::size_t threads = 0;
    std::size_t descriptors = 0; ///< Open file descriptors.
};

/// A started program. The destructor ends it with SIGKILL and waits for it.
class child_process
{
public:
    /// @param log_path receives the standard output and error, after what it holds already
    /// @throws std::runtime_error when the program cannot be started
    child_process(const std::vector<std::string>& command, const std::string& log_path);
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// Ends all children on SIGTERM and SIGINT, so that a bench that is cut off leaves no daemons behind.
    static void end_all_on_signals();

    /// Sends a signal, unless the process has ended.
    void signal(int number) const;

    /// Checks whether the process has ended since the last call.
    /// @returns its wait status
    std::optional<int> take_end();

    /// Returns whether the end of the process was not taken yet.
    bool running() const noexcept { return this->pid > 0; }

    /// Reads processor time, resident memory, thread and descriptor count from /proc.
    process_usage usage() const;

private:
    pid_t pid = -1;
};

} // namespace laburnumreach::process

#endif
