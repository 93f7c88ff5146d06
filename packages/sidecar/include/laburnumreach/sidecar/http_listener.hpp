#ifndef LABURNUMREACH_SIDECAR_HTTP_LISTENER_HPP
#define LABURNUMREACH_SIDECAR_HTTP_LISTENER_HPP

#include "laburnumreach/sidecar/server_connection.hpp"
#include "laburnumreach/sidecar/tcp_listener.hpp"

#include <list>
#include <memory>

namespace laburnumreach::sidecar
{

/// An HTTP server on one address, with its open connections.
class http_listener
{
public:
    /// @param served handler of requests and limits of callers
    /// @throws boost::system::system_error when the address cannot be bound
    http_listener(asio::io_context& io, const config::endpoint& address, server_context served)
        : context(std::make_shared<server_context>(std::move(served))),
          listener(io, address, [this](tcp::socket socket) { this->add(std::move(socket)); })
    {
    }

    /// Closes connections that exceed a timeout. Call it several times a second.
    void check_timeouts(core::time_point now)
    {
        this->connections.remove_if(
            [now](const std::weak_ptr<server_connection>& weak)
            {
                const auto connection = weak.lock();
                if (connection == nullptr || !connection->is_open())
                {
                    return true;
                }
                connection->check_timeouts(now);
                return false;
            });
    }

    /// Closes each connection after its pending responses, and idle ones at once.
    void close_when_answered()
    {
        this->context->closing = true;
        for (const auto& weak : this->connections)
        {
            if (const auto connection = weak.lock())
            {
                connection->close_if_idle();
            }
        }
    }

    /// Returns the size of all messages that the connections hold.
    std::size_t held_bytes() const
    {
        std::size_t total = 0;
        for (const auto& weak : this->connections)
        {
            const auto connection = weak.lock();
            total += connection == nullptr ? 0 : connection->held_bytes();
        }
        return total;
    }

    /// Returns the number of received requests without a response yet.
    std::size_t unanswered() const noexcept { return this->context->unanswered; }

private:
    void add(tcp::socket socket)
    {
        const auto connection = std::make_shared<server_connection>(std::move(socket), this->context);
        this->connections.push_back(connection);
        connection->start();
    }

    std::shared_ptr<server_context> context;
    std::list<std::weak_ptr<server_connection>> connections;
    tcp_listener listener;
};

} // namespace laburnumreach::sidecar

#endif
