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
    connect_failed, ///< No connection: nothing can have reached the peer.
    not_sent,       ///< Connected, but the system took no byte of the request.
    sent,           ///< The first byte of the request may have reached the peer.
    complete,       ///< A whole response arrived.
};

/// Why an exchange ended without a whole response.
enum class exchange_error : std::uint8_t
{
    none,
    refused_request,   ///< The request contains a field that cannot be written.
    connect_failed,    ///< The connect failed.
    deadline_exceeded, ///< The deadline passed.
    silent,            ///< No byte of the response came in time, or the peer stopped acknowledging.
    connection_lost,   ///< The peer closed or reset the connection before a byte of the response.
    truncated,         ///< The peer closed or reset the connection within the response.
    malformed,         ///< The response breaks the rules of HTTP.
    unknown_length,    ///< The response has neither Content-Length nor chunking.
    too_large,         ///< The response exceeds a limit.
    cancelled,         ///< cancellation::cancel was called, or the watched caller hung up.
};

/// Result of an exchange.
struct exchange_result
{
    exchange_progress progress = exchange_progress::connect_failed;
    exchange_error error = exchange_error::none;
    bool reused = false;           ///< The connection came from the pool.
    bool response_started = false; ///< At least one byte of the response arrived.
    response answer{};             ///< Whole only for exchange_progress::complete.

    /// Returns whether a whole response arrived.
    bool complete() const noexcept { return this->progress == exchange_progress::complete; }

    /// Returns what this hop proves about the request: not_run up to not_sent, may_have_run after the first
    /// byte, ran with a whole response.
    core::verdict verdict() const noexcept;
};

} // namespace laburnumreach::http

#endif
