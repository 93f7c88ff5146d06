#include "laburnumreach/daemon/platform_worker.hpp"

#include <utility>

namespace laburnumreach::daemon
{

platform_worker::platform_worker(const std::string& name, const platform::http_object_store_options& options)
    : store(options), thread(core::posix_thread_options{.name = name}, [this] { this->run(); })
{
}

platform_worker::~platform_worker()
{
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->changed.notify_all();
    this->store.interrupt();
    this->thread.join();
}

void platform_worker::post(task work)
{
    {
        const std::lock_guard lock{this->mutex};
        this->tasks.push_back(std::move(work));
    }
    this->changed.notify_one();
}

void platform_worker::run()
{
    std::unique_lock lock{this->mutex};
    while (true)
    {
        this->changed.wait(lock, [this] { return this->stopping || !this->tasks.empty(); });
        if (this->stopping)
        {
            return;
        }
        const task work = std::move(this->tasks.front());
        this->tasks.pop_front();
        lock.unlock();
        work(this->store);
        lock.lock();
    }
}

} // namespace laburnumreach::daemon
