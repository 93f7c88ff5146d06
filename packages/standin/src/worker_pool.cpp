#include "laburnumreach/standin/worker_pool.hpp"

#include <utility>

namespace laburnumreach::standin
{

namespace
{

// cpp-httplib matches status lines with std::regex, which recurses for each character.
constexpr std::size_t stack_bytes = 512 * 1024;

} // namespace

worker_pool::worker_pool(std::string name, std::size_t bound)
    : thread_name(std::move(name)), most_threads(bound)
{
}

worker_pool::~worker_pool()
{
    this->stop();
}

void worker_pool::submit(std::function<void()> task)
{
    const std::lock_guard lock{this->mutex};
    if (this->stopping)
    {
        return;
    }
    this->waiting.push_back(std::move(task));
    if (this->waiting.size() > this->idle && this->threads.size() < this->most_threads)
    {
        this->threads.emplace_back(
            core::posix_thread_options{.name = this->thread_name, .stack_bytes = stack_bytes},
            [this] { this->run(); });
    }
    this->changed.notify_one();
}

void worker_pool::stop()
{
    std::vector<core::posix_thread> ending;
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
        this->waiting.clear();
        ending.swap(this->threads);
    }
    this->changed.notify_all();
}

void worker_pool::run()
{
    std::unique_lock lock{this->mutex};
    while (true)
    {
        ++this->idle;
        this->changed.wait(lock, [this] { return this->stopping || !this->waiting.empty(); });
        --this->idle;
        if (this->stopping)
        {
            return;
        }
        std::function<void()> task = std::move(this->waiting.front());
        this->waiting.pop_front();
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
    }
}

} // namespace laburnumreach::standin
