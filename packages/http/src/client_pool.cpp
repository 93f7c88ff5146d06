#include "laburnumreach/http/client_pool.hpp"

#include "exchange.hpp"
#include "exchange_socket_guard.hpp"
#include "idle_connections.hpp"
#include "request_writer.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

namespace laburnumreach::http
{

namespace
{

/// Socket address of a destination.
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = 0;
};

std::optional<socket_address> parse_address(const endpoint& destination)
{
    socket_address parsed;
    auto* const v4 = reinterpret_cast<sockaddr_in*>(&parsed.storage);
    auto* const v6 = reinterpret_cast<sockaddr_in6*>(&parsed.storage);
    if (::inet_pton(AF_INET, destination.address.c_str(), &v4->sin_addr) == 1)
    {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(destination.port);
        parsed.size = sizeof *v4;
        return parsed;
    }
    if (::inet_pton(AF_INET6, destination.address.c_str(), &v6->sin6_addr) == 1)
    {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(destination.port);
        parsed.size = sizeof *v6;
        return parsed;
    }
    return std::nullopt;
}

/// Connects a socket.
/// @param hangup_descriptor a descriptor whose hang-up ends the wait, or -1
io_status connect_socket(const tcp_socket& socket, const socket_address& address, core::time_point until,
                         int hangup_descriptor)
{
    if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr*>(&address.storage), address.size) ==
        0)
    {
        return io_status::ok;
    }
    if (errno != EINPROGRESS)
    {
        return io_status::failed;
    }
    const auto ready = socket.wait(POLLOUT, until, hangup_descriptor);
    if (ready.status != io_status::ok)
    {
        return ready.status;
    }
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0 ? io_status::ok : io_status::failed;
}

exchange_result make_connect_failure(io_status status, bool deadline_first)
{
    exchange_result result;
    result.error = status == io_status::hung_up                       ? exchange_error::cancelled
                   : status == io_status::timed_out && deadline_first ? exchange_error::deadline_exceeded
                                                                      : exchange_error::connect_failed;
    return result;
}

} // namespace

class client_pool::implementation
{
public:
    explicit implementation(const client_pool_options& settings) : options(settings), idle(this->options) {}

    exchange_result send(const endpoint& destination, const outgoing_request& request, cancellation* control);
    bool probe(const endpoint& destination, std::chrono::milliseconds timeout);

    const client_pool_options options;
    idle_connections idle;

private:
    tcp_socket open_socket(const socket_address& address) const;
    exchange_result send_once(const endpoint& destination, const outgoing_request& request,
                              const std::string& head, cancellation* control);
    exchange_result run_exchange(const endpoint& destination, const outgoing_request& request,
                                 const std::string& head, cancellation* control, tcp_socket& socket);
};

tcp_socket client_pool::implementation::open_socket(const socket_address& address) const
{
    tcp_socket socket{
        ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP)};
    if (socket.is_open())
    {
        socket.set_options(this->options.silent_peer_timeout);
    }
    return socket;
}

exchange_result client_pool::implementation::send(const endpoint& destination,
                                                  const outgoing_request& request, cancellation* control)
{
    const std::optional<std::string> head = write_request_head(destination, request);
    if (!head)
    {
        exchange_result refused;
        refused.progress = exchange_progress::not_sent;
        refused.error = exchange_error::invalid_request;
        return refused;
    }
    for (;;)
    {
        exchange_result result = this->send_once(destination, request, *head, control);
        // The peer had closed the pooled connection and no byte was written, so another one is tried. The
        // loop ends because each iteration removes a connection from the pool.
        if (!result.reused || result.progress != exchange_progress::not_sent ||
            result.error != exchange_error::connection_lost)
        {
            return result;
        }
    }
}

exchange_result client_pool::implementation::send_once(const endpoint& destination,
                                                       const outgoing_request& request,
                                                       const std::string& head, cancellation* control)
{
    tcp_socket pooled = this->idle.take(destination);
    if (pooled.is_open())
    {
        exchange_result result = this->run_exchange(destination, request, head, control, pooled);
        result.reused = true;
        return result;
    }
    const std::optional<socket_address> address = parse_address(destination);
    tcp_socket fresh = address ? this->open_socket(*address) : tcp_socket{};
    if (!fresh.is_open())
    {
        return make_connect_failure(io_status::failed, false);
    }
    const core::time_point limit = core::boot_clock::now() + this->options.connect_timeout;
    const core::time_point until = std::min(request.deadline, limit);
    {
        const exchange_socket_guard guard{control, fresh};
        const io_status status = connect_socket(fresh, *address, until, request.cancel_on_hangup);
        if (control != nullptr && control->cancelled())
        {
            return make_connect_failure(io_status::hung_up, false);
        }
        if (status != io_status::ok)
        {
            return make_connect_failure(status, until == request.deadline);
        }
    }
    return this->run_exchange(destination, request, head, control, fresh);
}

exchange_result client_pool::implementation::run_exchange(const endpoint& destination,
                                                          const outgoing_request& request,
                                                          const std::string& head, cancellation* control,
                                                          tcp_socket& socket)
{
    exchange running{socket, head, request, this->options.max_response_head_bytes};
    exchange_result result;
    bool cancelled = false;
    {
        const exchange_socket_guard guard{control, socket};
        cancelled = control != nullptr && control->cancelled();
        if (cancelled)
        {
            result.progress = exchange_progress::not_sent;
        }
        else
        {
            result = running.run();
        }
    }
    cancelled = cancelled || (control != nullptr && control->cancelled());
    if (result.complete())
    {
        // A cancellation after the complete response has shut down the socket, so it cannot be reused.
        if (running.reusable() && !cancelled)
        {
            this->idle.put(destination, std::move(socket));
        }
    }
    else if (cancelled)
    {
        result.error = exchange_error::cancelled;
    }
    return result;
}

bool client_pool::implementation::probe(const endpoint& destination, std::chrono::milliseconds timeout)
{
    const std::optional<socket_address> address = parse_address(destination);
    tcp_socket socket = address ? this->open_socket(*address) : tcp_socket{};
    const core::time_point until = core::boot_clock::now() + timeout;
    if (!socket.is_open() || connect_socket(socket, *address, until, -1) != io_status::ok)
    {
        return false;
    }
    this->idle.put(destination, std::move(socket));
    return true;
}

client_pool::client_pool(const client_pool_options& options)
    : state(std::make_unique<implementation>(options))
{
}

client_pool::~client_pool() = default;

exchange_result client_pool::send(const endpoint& destination, const outgoing_request& request,
                                  cancellation* control)
{
    return this->state->send(destination, request, control);
}

bool client_pool::probe(const endpoint& destination, std::chrono::milliseconds timeout)
{
    return this->state->probe(destination, timeout);
}

void client_pool::close_idle(const endpoint& destination)
{
    this->state->idle.close_all(destination);
}

void client_pool::close_expired(core::time_point now)
{
    this->state->idle.close_expired(now);
}

std::size_t client_pool::idle_count() const
{
    return this->state->idle.count();
}

std::uint64_t client_pool::stale_count() const noexcept
{
    return this->state->idle.stale_connections();
}

} // namespace laburnumreach::http
