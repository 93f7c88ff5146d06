#include "laburnumreach/sidecar/http_listener.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace laburnumreach::sidecar
{

http_listener::http_listener(asio::io_context& io, const config::endpoint& address, server_context served)
    : context(std::make_shared<server_context>(std::move(served))),
      listener(io, address, [this](tcp::socket socket) { this->add(std::move(socket)); })
{
}

void http_listener::add(tcp::socket socket)
{
    const auto connection = std::make_shared<server_connection>(std::move(socket), this->context);
    this->connections.emplace(connection.get(), connection);
    connection->start();
    if (this->connection_count() >= this->context->max_connections)
    {
        this->make_room(core::boot_clock::now(), connection.get());
    }
}

/// Closes connections that are not in use: first those whose clients never sent a whole request, then those
/// that were idle longest. Without any, no further connection is accepted for now.
/// @param kept connection that stays, since its client has had no time to send; null for none
void http_listener::make_room(core::time_point now, const server_connection* kept)
{
    constexpr std::size_t closed_together = 16; // So that not each new connection goes through all others.
    const auto order = [](const server_connection* connection) {
        return std::tuple{connection->has_answered(), connection->last_used()};
    };
    std::vector<server_connection*> candidates;
    for (const auto& [key, connection] : this->connections)
    {
        if (key != kept && connection->is_open() && connection->is_dispensable(now))
        {
            candidates.push_back(connection.get());
        }
    }
    const std::size_t count = std::min(candidates.size(), closed_together);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(),
                      [&](const server_connection* left, const server_connection* right)
                      { return order(left) < order(right); });
    for (std::size_t index = 0; index < count; ++index)
    {
        this->context->on_limit("connections");
        candidates[index]->close();
    }
    this->remove_closed();
    this->listener.set_paused(this->connection_count() >= this->context->max_connections);
}

void http_listener::remove_closed()
{
    for (const server_connection* closed : std::exchange(this->context->closed, {}))
    {
        this->connections.erase(closed);
    }
}

void http_listener::tick(core::time_point now)
{
    this->remove_closed();
    if (this->connection_count() < this->context->max_connections)
    {
        this->listener.set_paused(false);
    }
    // A connection that continues may begin to wait again.
    const auto waiting = std::exchange(this->context->waiting_for_memory, {});
    std::deque<std::weak_ptr<server_connection>> still_waiting;
    for (const auto& weak : waiting)
    {
        const auto connection = weak.lock();
        if (connection != nullptr && connection->resume_after_wait(now, still_waiting.empty()))
        {
            still_waiting.push_back(weak);
        }
    }
    std::deque<std::weak_ptr<server_connection>>& added = this->context->waiting_for_memory;
    added.insert(added.begin(), still_waiting.begin(), still_waiting.end());
}

void http_listener::check_timeouts(core::time_point now)
{
    this->remove_closed();
    const body_memory* const memory = this->context->memory;
    const bool is_short = memory != nullptr && memory->is_short();
    for (const auto& [key, connection] : this->connections)
    {
        connection->check_timeouts(now);
        if (is_short)
        {
            connection->end_slow_body(now);
        }
    }
    if (is_short)
    {
        std::vector<server_connection*> readers;
        for (const auto& [key, connection] : this->connections)
        {
            readers.push_back(connection.get());
        }
        std::sort(readers.begin(), readers.end(),
                  [](const server_connection* left, const server_connection* right)
                  { return left->unsent_bytes() > right->unsent_bytes(); });
        for (server_connection* const reader : readers)
        {
            if (!memory->is_short())
            {
                break;
            }
            reader->close_if_unread(now);
        }
    }
    this->remove_closed();
    if (this->connection_count() >= this->context->max_connections)
    {
        this->make_room(now, nullptr);
    }
    else
    {
        this->listener.set_paused(false);
    }
}

void http_listener::close_idle_connections()
{
    for (const auto& [key, connection] : this->connections)
    {
        connection->close_if_idle();
    }
}

} // namespace laburnumreach::sidecar
