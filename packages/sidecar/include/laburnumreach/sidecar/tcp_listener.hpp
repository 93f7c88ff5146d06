#ifndef LABURNUMREACH_SIDECAR_TCP_LISTENER_HPP
#define LABURNUMREACH_SIDECAR_TCP_LISTENER_HPP

#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/sidecar/asio.hpp"

#include <chrono>
#include <functional>

namespace laburnumreach::sidecar
{

/// Accepts TCP connections on one address until it is destroyed.
class tcp_listener
{
public:
    using handler = std::function<void(tcp::socket)>;

    /// @param accepted called with each connection
    /// @throws boost::system::system_error when the address cannot be bound
    tcp_listener(asio::io_context& io, const config::endpoint& address, handler accepted)
        : acceptor(io), retry_timer(io), on_accepted(std::move(accepted))
    {
        constexpr int backlog = 1024; // Many callers reconnect at the same time after an outage.
        const tcp::endpoint endpoint = make_endpoint(address.address, address.port);
        this->acceptor.open(endpoint.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address{true});
        this->acceptor.bind(endpoint);
        this->acceptor.listen(backlog);
        this->accept();
    }

    /// Leaves new connections in the backlog of the system, or continues to accept them.
    void set_paused(bool value)
    {
        this->paused = value;
        this->accept();
    }

private:
    void accept()
    {
        if (this->paused || this->accepting)
        {
            return;
        }
        this->accepting = true;
        this->acceptor.async_accept(
            [this](const error_code& error, tcp::socket socket)
            {
                if (error == asio::error::operation_aborted)
                {
                    return;
                }
                this->accepting = false;
                if (!error)
                {
                    this->on_accepted(std::move(socket));
                }
                else if (error != asio::error::connection_aborted)
                {
                    // Descriptors or memory are short. The connection stays in the backlog, so the next
                    // attempt fails too until some are free.
                    this->retry_later();
                    return;
                }
                this->accept();
            });
    }

    void retry_later()
    {
        constexpr auto retry_delay = std::chrono::milliseconds{20};
        this->accepting = true;
        this->retry_timer.expires_after(retry_delay);
        this->retry_timer.async_wait(
            [this](const error_code& error)
            {
                if (!error)
                {
                    this->accepting = false;
                    this->accept();
                }
            });
    }

    tcp::acceptor acceptor;
    asio::steady_timer retry_timer;
    handler on_accepted;
    bool accepting = false; ///< An asynchronous accept or a wait before the next one is in progress.
    bool paused = false;
};

} // namespace laburnumreach::sidecar

#endif
