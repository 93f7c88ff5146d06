#ifndef LABURNUMREACH_SIDECAR_HTTP_LISTENER_HPP
#define LABURNUMREACH_SIDECAR_HTTP_LISTENER_HPP

#include "laburnumreach/sidecar/server_connection.hpp"
#include "laburnumreach/sidecar/tcp_listener.hpp"

#include <memory>
#include <unordered_map>

namespace laburnumreach::sidecar
{

/// An HTTP server on one address. Owns its open connections.
///
/// At the largest number of connections, those that no request uses are closed in favour of new ones, and
/// without any, new connections wait in the backlog of the system.
class http_listener
{
public:
    /// @param served handler of requests and limits of callers
    /// @throws boost::system::system_error when the address cannot be bound
    http_listener(asio::io_context& io, const config::endpoint& address, server_context served);

    /// Continues with requests that wait for memory. Call it every few milliseconds.
    void tick(core::time_point now);

    /// Closes connections that exceed a timeout, and slow ones while memory is short. Call it several times a
    /// second.
    void check_timeouts(core::time_point now);

    /// Closes each connection after the responses that it waits for, or after its next one. One that is idle
    /// stays open: a request may be on its way, and its client could not tell whether that was read.
    void close_after_responses() { this->context->closing = true; }

    /// Closes connections without an open request on which nothing has arrived.
    void close_idle_connections();

    /// Sets the largest number of connections.
    void set_max_connections(std::size_t count) { this->context->max_connections = count; }

    /// Returns the number of received requests without a response yet.
    std::size_t unanswered() const noexcept { return this->context->unanswered; }

    /// Returns the number of open connections.
    std::size_t connection_count() const noexcept
    {
        return this->connections.size() - this->context->closed.size();
    }

private:
    void add(tcp::socket socket);
    void remove_closed();
    void make_room(core::time_point now, const server_connection* kept);

    std::shared_ptr<server_context> context;
    std::unordered_map<const server_connection*, std::shared_ptr<server_connection>> connections;
    tcp_listener listener;
};

} // namespace laburnumreach::sidecar

#endif
