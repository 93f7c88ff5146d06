#ifndef LABURNUMREACH_HTTP_CONNECTION_TABLE_HPP
#define LABURNUMREACH_HTTP_CONNECTION_TABLE_HPP

#include "laburnumreach/http/server_counters.hpp"
#include "laburnumreach/http/server_options.hpp"
#include "server_connection.hpp"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace laburnumreach::http
{

/// All connections of a server, and the epoll set in which connections without a worker wait (are parked).
/// Thread safe.
///
/// Slots are reused but never freed, and each use has its own generation: an event for a connection that has
/// been closed is recognized by its generation and ignored. Parked connections are registered with
/// EPOLLONESHOT, so that exactly one worker gets each event.
class connection_table
{
public:
    connection_table(const server_options& options, server_counters& counters);

    /// Registers an accepted socket as busy.
    /// @returns null when even the slots reserved for refusals are in use; the socket is then closed
    server_connection* add(tcp_socket socket, std::string peer_address);

    /// Returns whether further callers must be refused.
    bool full() const;

    /// Waits for a parked connection to become readable and makes it busy.
    /// @returns null after begin_stop or for an event that is no longer valid
    server_connection* wait();

    /// Parks a busy connection. During a drain, an idle connection without received bytes is closed instead.
    void park(server_connection& connection, connection_phase phase);

    /// Closes a busy connection.
    void close(server_connection& connection);

    /// Closes parked connections whose timeout has expired.
    void close_expired(core::time_point now);

    /// Closes idle connections, and from now on every connection that becomes idle.
    void begin_drain();

    bool draining() const noexcept { return this->drain_requested.load(); }

    /// Waits until no connection is open.
    bool wait_until_empty(core::time_point deadline);

    /// Makes every call of wait return at once, and shuts down all sockets so that reads and writes fail.
    void begin_stop();

    /// Closes every connection. Call it only after all workers have ended.
    void close_all();

    bool stopping() const noexcept { return this->stop_requested.load(); }

private:
    struct slot_key
    {
        std::uint32_t index;
        std::uint32_t generation;
    };

    bool arm(server_connection& connection, bool is_new);
    void close_locked(server_connection& connection);
    core::duration timeout_for(connection_phase phase) const;
    void close_if_idle(server_connection& connection);

    const server_options& options;
    server_counters& counters;
    tcp_socket epoll;
    tcp_socket wake_event;
    std::vector<std::unique_ptr<server_connection>> slots;
    mutable std::mutex mutex; ///< Guards free_slots. Acquired after the lock of a connection.
    std::condition_variable all_closed;
    std::vector<std::uint32_t> free_slots;
    std::atomic<bool> drain_requested{false};
    std::atomic<bool> stop_requested{false};
};

} // namespace laburnumreach::http

#endif
