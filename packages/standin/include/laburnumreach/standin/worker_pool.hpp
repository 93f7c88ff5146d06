#ifndef LABURNUMREACH_STANDIN_WORKER_POOL_HPP
#define LABURNUMREACH_STANDIN_WORKER_POOL_HPP

#include "laburnumreach/core/posix_thread.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace laburnumreach::standin
{

/// Runs tasks on threads that are started when no thread is idle, up to a bound. Further tasks wait.
class worker_pool
{
public:
    /// @param name at most 15 characters
    /// @param bound greatest number of threads
    worker_pool(std::string name, std::size_t bound);
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Calls stop.
    ~worker_pool();

    /// Runs the task on a thread of the pool. After stop the task is dropped.
    void submit(std::function<void()> task);

    /// Drops waiting tasks and joins all threads; running tasks end first.
    void stop();

private:
    void run();

    const std::string thread_name;
    const std::size_t most_threads;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> waiting;
    std::vector<core::posix_thread> threads;
    std::size_t idle = 0;
    bool stopping = false;
};

} // namespace laburnumreach::standin

#endif
