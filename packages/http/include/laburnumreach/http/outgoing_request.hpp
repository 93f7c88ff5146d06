#ifndef LABURNUMREACH_HTTP_OUTGOING_REQUEST_HPP
#define LABURNUMREACH_HTTP_OUTGOING_REQUEST_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/http/headers.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace laburnumreach::http
{

/// A request to forward. The views must stay valid during the exchange.
struct outgoing_request
{
    std::string_view method = "GET";
    std::string_view target = "/";
    /// Fields to send, or null. Connection, Keep-Alive, Content-Length, Transfer-Encoding and Expect are left
    /// out; Content-Length is set from the body. Host defaults to the destination.
    const http::headers* headers = nullptr;
    std::string_view body{};
    core::time_point deadline = core::time_point::max();
    std::size_t max_response_body_bytes = 16 * 1024 * 1024;
    /// Longest wait for the first byte of the response after the request was written; when it expires, the
    /// exchange fails with exchange_error::silent. Zero: only the deadline applies.
    std::chrono::milliseconds first_byte_timeout{0};
    /// Called once when no byte of the response arrived within response_delay_threshold; returning false
    /// ends the exchange with exchange_error::silent. Use it to probe the destination (client_pool::probe) or
    /// to report the delay.
    std::function<bool()> on_response_delay{};
    std::chrono::milliseconds response_delay_threshold{0};
    /// A descriptor whose hang-up cancels the exchange (incoming_request::descriptor); -1 for none.
    int cancel_on_hangup = -1;
};

} // namespace laburnumreach::http

#endif
