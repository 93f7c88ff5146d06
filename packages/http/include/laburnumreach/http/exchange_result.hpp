#ifndef LABURNUMREACH_HTTP_EXCHANGE_RESULT_HPP
#define LABURNUMREACH_HTTP_EXCHANGE_RESULT_HPP

#include "laburnumreach/core/verdict.hpp"
#include "laburnumreach/http/response.hpp"

#include <cstdint>

namespace laburnumreach::http
{

/// How far an exchange got.
enum class exchange_progress : std::uint8_t
{
    connect_failed, ///< No connection, so nothing can have reached the peer.
    not_sent,       ///< Connected, but no byte of the request was written to the socket.
    sent,           ///< The first byte of the request may have reached the peer.
    complete,       ///< The complete response arrived.
};

/// Why an exchange ended without a complete response.
enum class exchange_error : std::uint8_t
{
    none,
    invalid_request,   ///< The method, target or a field is not valid, so nothing was sent.
    connect_failed,    ///< The connection was refused, failed or was not established in time.
    deadline_exceeded, ///< The deadline passed.
    silent,            ///< No byte of the response arrived in time, or the peer stopped acknowledging data.
    connection_lost,   ///< The peer closed or reset the connection before the first byte of the response.
    truncated,         ///< The peer closed or reset the connection during the response.
    malformed,         ///< The response violates the HTTP syntax.
    unknown_length,    ///< The response has neither Content-Length nor chunking.
    too_large,         ///< The response exceeds a limit.
    cancelled,         ///< cancellation::cancel was called, or the descriptor of cancel_on_hangup hung up.
};

/// Result of an exchange.
struct exchange_result
{
    exchange_progress progress = exchange_progress::connect_failed;
    exchange_error error = exchange_error::none;
    bool reused = false;           ///< The connection came from the pool.
    bool response_started = false; ///< At least one byte of the response arrived.
    response answer{};             ///< Complete only for exchange_progress::complete.

    /// Returns whether the complete response arrived.
    bool complete() const noexcept { return this->progress == exchange_progress::complete; }

    /// Returns whether the upstream ran the request, as far as this hop knows: not_run before the first byte
    /// was written, may_have_run after it, ran with a complete response.
    core::verdict verdict() const noexcept;
};

} // namespace laburnumreach::http

#endif
