#ifndef LABURNUMREACH_HTTP_IDLE_CONNECTIONS_HPP
#define LABURNUMREACH_HTTP_IDLE_CONNECTIONS_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/http/client_pool_options.hpp"
#include "laburnumreach/http/endpoint.hpp"
#include "tcp_socket.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>

namespace laburnumreach::http
{

/// Idle client connections by destination. Thread safe.
class idle_connections
{
public:
    explicit idle_connections(const client_pool_options& settings) : options(settings) {}

    /// Removes and returns the most recently used connection that is still open and has no unread bytes.
    /// @returns a closed socket when there is none
    tcp_socket take(const endpoint& destination);

    /// Keeps a connection for a later request.
    void put(const endpoint& destination, tcp_socket socket);

    void close_all(const endpoint& destination);
    void close_expired(core::time_point now);

    std::size_t count() const;
    std::uint64_t stale_connections() const noexcept
    {
        return this->stale_count.load(std::memory_order_relaxed);
    }

private:
    struct entry
    {
        tcp_socket socket;
        core::time_point idle_since;
    };

    entry pop(const endpoint& destination);
    bool usable(const entry& candidate, core::time_point now);

    const client_pool_options& options;
    /// One lock for all destinations: map operations and non-blocking socket checks are short compared with
    /// an exchange.
    mutable std::mutex mutex;
    std::map<endpoint, std::deque<entry>> entries;
    std::atomic<std::uint64_t> stale_count{0};
};

} // namespace laburnumreach::http

#endif
