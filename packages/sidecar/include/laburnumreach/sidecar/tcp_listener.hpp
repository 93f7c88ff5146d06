#ifndef LABURNUMREACH_SIDECAR_TCP_LISTENER_HPP
#define LABURNUMREACH_SIDECAR_TCP_LISTENER_HPP

#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/sidecar/asio.hpp"

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
        : acceptor(io), on_accepted(std::move(accepted))
    {
        constexpr int backlog = 1024; // Many callers reconnect at the same time after an outage.
        const tcp::endpoint endpoint = make_endpoint(address.address, address.port);
        this->acceptor.open(endpoint.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address{true});
        this->acceptor.bind(endpoint);
        this->acceptor.listen(backlog);
        this->accept();
    }

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](const error_code& error, tcp::socket socket)
            {
                if (error == asio::error::operation_aborted)
                {
                    return;
                }
                if (!error) // Connections that ended before they were accepted are ignored.
                {
                    this->on_accepted(std::move(socket));
                }
                this->accept();
            });
    }

    tcp::acceptor acceptor;
    handler on_accepted;
};

} // namespace laburnumreach::sidecar

#endif
