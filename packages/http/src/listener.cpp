#include "listener.hpp"

#include "laburnumreach/http/endpoint.hpp"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace laburnumreach::http
{

core::result<void> listener::open(const server_options& options)
{
    // cpp-httplib sets SO_REUSEPORT by default, which lets two servers bind the same port without an error.
    this->set_socket_options(
        [](socket_t descriptor)
        {
            const int on = 1;
            ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        });
    const int port = options.port == 0 ? this->bind_to_any_port(options.address)
                     : this->bind_to_port(options.address, options.port) ? options.port
                                                                         : -1;
    if (port <= 0)
    {
        const std::string address = to_string(endpoint{.address = options.address, .port = options.port});
        return core::make_error(core::error_code::unavailable, "cannot bind " + address);
    }
    this->bound_port = static_cast<std::uint16_t>(port);
    this->listening = tcp_socket{this->svr_sock_.load()};
    const int descriptor = this->listening.descriptor();
    // cpp-httplib has already called listen() with its compiled-in backlog of 5; a second call enlarges it.
    if (::listen(descriptor, options.backlog) != 0 ||
        ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK) != 0)
    {
        return core::make_error(core::error_code::io, std::string{"cannot listen: "} + std::strerror(errno));
    }
    return {};
}

} // namespace laburnumreach::http
