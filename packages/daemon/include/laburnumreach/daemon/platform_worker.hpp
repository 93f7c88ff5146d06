#ifndef LABURNUMREACH_DAEMON_PLATFORM_WORKER_HPP
#define LABURNUMREACH_DAEMON_PLATFORM_WORKER_HPP

#include "laburnumreach/core/posix_thread.hpp"
#include "laburnumreach/platform/http_object_store.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>

namespace laburnumreach::daemon
{

/// A thread that makes platform calls one after another, so that the control thread never waits for the
/// platform.
class platform_worker
{
public:
    using task = std::function<void(platform::http_object_store&)>;

    /// @param name thread name, at most 15 characters
    platform_worker(const std::string& name, const platform::http_object_store_options& options);
    platform_worker(const platform_worker&) = delete;
    platform_worker& operator=(const platform_worker&) = delete;

    /// Ends a running call and joins the thread; queued tasks are dropped.
    ~platform_worker();

    /// Queues a task. Called from any thread.
    void post(task work);

private:
    void run();

    platform::http_object_store store;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<task> tasks;
    bool stopping = false;
    core::posix_thread thread;
};

} // namespace laburnumreach::daemon

#endif
