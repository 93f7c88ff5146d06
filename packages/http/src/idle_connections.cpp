#include "idle_connections.hpp"

#include <algorithm>
#include <numeric>

namespace laburnumreach::http
{

tcp_socket idle_connections::take(const endpoint& destination)
{
    for (entry candidate = this->pop(destination); candidate.socket.is_open();
         candidate = this->pop(destination))
    {
        if (this->usable(candidate, core::boot_clock::now()))
        {
            return std::move(candidate.socket);
        }
    }
    return {};
}

idle_connections::entry idle_connections::pop(const endpoint& destination)
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->entries.find(destination);
    if (found == this->entries.end() || found->second.empty())
    {
        return {};
    }
    entry last = std::move(found->second.back());
    found->second.pop_back();
    return last;
}

bool idle_connections::usable(const entry& candidate, core::time_point now)
{
    if (now - candidate.idle_since > this->options.idle_timeout)
    {
        return false;
    }
    // A connection that is closed or has received bytes, such as a late response, is not reused.
    if (candidate.socket.peek() == io_status::would_block)
    {
        return true;
    }
    this->stale_count.fetch_add(1, std::memory_order_relaxed);
    return false;
}

void idle_connections::put(const endpoint& destination, tcp_socket socket)
{
    entry oldest;
    const std::lock_guard lock{this->mutex};
    std::deque<entry>& queue = this->entries[destination];
    queue.push_back({.socket = std::move(socket), .idle_since = core::boot_clock::now()});
    if (queue.size() > this->options.max_idle_per_destination)
    {
        oldest = std::move(queue.front());
        queue.pop_front();
    }
}

void idle_connections::close_all(const endpoint& destination)
{
    const std::lock_guard lock{this->mutex};
    this->entries.erase(destination);
}

void idle_connections::close_expired(core::time_point now)
{
    const std::lock_guard lock{this->mutex};
    for (auto queue = this->entries.begin(); queue != this->entries.end();)
    {
        std::erase_if(queue->second, [&](const entry& candidate) { return !this->usable(candidate, now); });
        queue = queue->second.empty() ? this->entries.erase(queue) : std::next(queue);
    }
}

std::size_t idle_connections::count() const
{
    const std::lock_guard lock{this->mutex};
    return std::accumulate(this->entries.begin(), this->entries.end(), std::size_t{0},
                           [](std::size_t sum, const auto& queue) { return sum + queue.second.size(); });
}

} // namespace laburnumreach::http
