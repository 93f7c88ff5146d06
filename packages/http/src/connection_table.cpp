#include "connection_table.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace laburnumreach::http
{

namespace
{

/// Additional slots for connections over the limit, used to send status 503.
constexpr std::size_t refusal_slots = 64;
constexpr std::uint64_t wake_key = ~std::uint64_t{0};
/// Larger input buffers are freed when a connection becomes idle.
constexpr std::size_t max_parked_buffer_bytes = 1024;

int throw_if_failed(int descriptor, const char* call)
{
    if (descriptor < 0)
    {
        throw std::system_error{errno, std::generic_category(), call};
    }
    return descriptor;
}

} // namespace

connection_table::connection_table(const server_options& settings, server_counters& server_counts)
    : options(settings),
      counters(server_counts),
      epoll(throw_if_failed(::epoll_create1(EPOLL_CLOEXEC), "epoll_create1")),
      wake_event(throw_if_failed(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK), "eventfd"))
{
    const std::size_t size = settings.max_connections + refusal_slots;
    for (std::size_t index = 0; index < size; ++index)
    {
        this->slots.push_back(std::make_unique<server_connection>());
        this->slots.back()->index = static_cast<std::uint32_t>(index);
        this->free_slots.push_back(static_cast<std::uint32_t>(size - 1 - index));
    }
    epoll_event event{.events = EPOLLIN, .data = {.u64 = wake_key}};
    throw_if_failed(
        ::epoll_ctl(this->epoll.descriptor(), EPOLL_CTL_ADD, this->wake_event.descriptor(), &event),
        "epoll_ctl");
}

bool connection_table::full() const
{
    const std::lock_guard lock{this->mutex};
    return this->free_slots.size() <= refusal_slots;
}

server_connection* connection_table::add(tcp_socket socket, std::string peer_address)
{
    std::uint32_t index = 0;
    {
        const std::lock_guard lock{this->mutex};
        if (this->free_slots.empty())
        {
            return nullptr;
        }
        index = this->free_slots.back();
        this->free_slots.pop_back();
    }
    server_connection& connection = *this->slots[index];
    const std::lock_guard lock{connection.mutex};
    ++connection.generation;
    connection.phase = connection_phase::busy;
    connection.socket = std::move(socket);
    connection.peer_address = std::move(peer_address);
    connection.input.clear();
    connection.scanned = 0;
    connection.last_response_sent = false;
    connection.discarded = 0;
    this->counters.open_connections.fetch_add(1);
    // Registered without events; park() enables them.
    if (!this->arm(connection, true))
    {
        this->close_locked(connection);
        return nullptr;
    }
    return &connection;
}

/// @returns whether the system reports the next event of the connection
bool connection_table::arm(server_connection& connection, bool is_new)
{
    const auto key = std::bit_cast<std::uint64_t>(
        slot_key{.index = connection.index, .generation = connection.generation});
    epoll_event event{.events = is_new ? EPOLLONESHOT : EPOLLIN | EPOLLRDHUP | EPOLLONESHOT,
                      .data = {.u64 = key}};
    return ::epoll_ctl(this->epoll.descriptor(), is_new ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
                       connection.socket.descriptor(), &event) == 0;
}

server_connection* connection_table::wait()
{
    epoll_event event{};
    const int ready = ::epoll_wait(this->epoll.descriptor(), &event, 1, -1);
    if (ready <= 0 || event.data.u64 == wake_key)
    {
        return nullptr;
    }
    const auto key = std::bit_cast<slot_key>(event.data.u64);
    server_connection& connection = *this->slots[key.index];
    const std::lock_guard lock{connection.mutex};
    if (connection.generation != key.generation || connection.phase == connection_phase::free ||
        connection.phase == connection_phase::busy)
    {
        return nullptr;
    }
    if (connection.phase == connection_phase::idle)
    {
        connection.wait_started_at = core::boot_clock::now();
    }
    connection.phase = connection_phase::busy;
    return &connection;
}

void connection_table::park(server_connection& connection, connection_phase phase)
{
    const std::lock_guard lock{connection.mutex};
    assert(connection.phase == connection_phase::busy);
    if (phase == connection_phase::idle)
    {
        connection.wait_started_at = core::boot_clock::now();
        if (connection.input.capacity() > max_parked_buffer_bytes)
        {
            connection.input = std::string{};
        }
    }
    connection.phase = phase;
    if (!this->arm(connection, false))
    {
        this->close_locked(connection);
    }
    else if (this->draining())
    {
        this->close_if_idle(connection);
    }
}

void connection_table::close(server_connection& connection)
{
    const std::lock_guard lock{connection.mutex};
    this->close_locked(connection);
}

void connection_table::close_locked(server_connection& connection)
{
    connection.socket.close();
    connection.phase = connection_phase::free;
    const std::lock_guard lock{this->mutex};
    this->free_slots.push_back(connection.index);
    this->counters.open_connections.fetch_sub(1);
    if (this->free_slots.size() == this->slots.size())
    {
        this->all_closed.notify_all();
    }
}

void connection_table::close_if_idle(server_connection& connection)
{
    // A request that has already arrived is served; its response closes the connection.
    if (connection.phase == connection_phase::idle && connection.socket.peek() != io_status::ok)
    {
        this->close_locked(connection);
    }
}

core::duration connection_table::timeout_for(connection_phase phase) const
{
    switch (phase)
    {
    case connection_phase::idle:
        return this->options.idle_timeout;
    case connection_phase::partial:
        return this->options.read_timeout;
    case connection_phase::lingering:
        return this->options.linger_timeout;
    case connection_phase::free:
    case connection_phase::busy:
        break;
    }
    return core::duration::max();
}

void connection_table::close_expired(core::time_point now)
{
    for (const auto& connection : this->slots)
    {
        const std::lock_guard lock{connection->mutex};
        if (connection->phase != connection_phase::busy &&
            now - connection->wait_started_at > this->timeout_for(connection->phase))
        {
            if (connection->phase != connection_phase::lingering)
            {
                this->counters.idle_closed.fetch_add(1, std::memory_order_relaxed);
            }
            this->close_locked(*connection);
        }
    }
}

void connection_table::begin_drain()
{
    this->drain_requested.store(true);
    for (const auto& connection : this->slots)
    {
        const std::lock_guard lock{connection->mutex};
        this->close_if_idle(*connection);
    }
}

bool connection_table::wait_until_empty(core::time_point deadline)
{
    std::unique_lock lock{this->mutex};
    while (this->free_slots.size() != this->slots.size())
    {
        const core::duration left = deadline - core::boot_clock::now();
        if (left <= core::duration::zero())
        {
            return false;
        }
        // The condition variable does not use the boot clock, which also counts suspended time, so the
        // deadline is checked again after each slice.
        constexpr core::duration slice = std::chrono::milliseconds{100};
        this->all_closed.wait_for(lock, std::min(left, slice));
    }
    return true;
}

void connection_table::begin_stop()
{
    this->stop_requested.store(true);
    ::eventfd_write(this->wake_event.descriptor(), 1);
    for (const auto& connection : this->slots)
    {
        const std::lock_guard lock{connection->mutex};
        if (connection->socket.is_open())
        {
            ::shutdown(connection->socket.descriptor(), SHUT_RDWR);
        }
    }
}

void connection_table::close_all()
{
    for (const auto& connection : this->slots)
    {
        const std::lock_guard lock{connection->mutex};
        if (connection->phase != connection_phase::free)
        {
            this->close_locked(*connection);
        }
    }
}

} // namespace laburnumreach::http
