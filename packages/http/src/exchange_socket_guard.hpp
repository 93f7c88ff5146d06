#ifndef LABURNUMREACH_HTTP_EXCHANGE_SOCKET_GUARD_HPP
#define LABURNUMREACH_HTTP_EXCHANGE_SOCKET_GUARD_HPP

#include "laburnumreach/http/cancellation.hpp"
#include "tcp_socket.hpp"

namespace laburnumreach::http
{

/// Registers a socket with a cancellation while an exchange uses it.
class exchange_socket_guard
{
public:
    /// @param target may be null
    exchange_socket_guard(cancellation* target, const tcp_socket& socket) noexcept;
    exchange_socket_guard(const exchange_socket_guard&) = delete;
    exchange_socket_guard& operator=(const exchange_socket_guard&) = delete;
    ~exchange_socket_guard();

private:
    cancellation* const control;
};

} // namespace laburnumreach::http

#endif
