#ifndef LABURNUMREACH_HTTP_LISTENER_HPP
#define LABURNUMREACH_HTTP_LISTENER_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/http/server_options.hpp"
#include "tcp_socket.hpp"

#include <cstdint>
#include <httplib.h>

namespace laburnumreach::http
{

/// A listening socket, bound by cpp-httplib.
class listener : private httplib::Server
{
public:
    /// Binds and listens.
    core::result<void> open(const server_options& options);

    std::uint16_t port() const noexcept { return this->bound_port; }
    const tcp_socket& socket() const noexcept { return this->listening; }

    /// Stops accepting connections.
    void close() noexcept { this->listening.close(); }

private:
    /// Owns the descriptor: cpp-httplib does not close it unless its accept loop runs.
    tcp_socket listening;
    std::uint16_t bound_port = 0;
};

} // namespace laburnumreach::http

#endif
