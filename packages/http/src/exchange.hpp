#ifndef LABURNUMREACH_HTTP_EXCHANGE_HPP
#define LABURNUMREACH_HTTP_EXCHANGE_HPP

#include "laburnumreach/http/exchange_result.hpp"
#include "laburnumreach/http/message_head.hpp"
#include "laburnumreach/http/outgoing_request.hpp"
#include "tcp_socket.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace laburnumreach::http
{

/// One request and its response on a connected socket.
class exchange
{
public:
    /// @param request_head serialized request line and header fields
    /// @param max_head_bytes largest accepted response head
    exchange(const tcp_socket& connected, std::string_view request_head, const outgoing_request& forwarded,
             std::size_t max_head_bytes);

    /// Runs the exchange. Call once.
    exchange_result run();

    /// Returns whether the connection can carry another request: the response was complete, no bytes follow
    /// it, and the peer keeps the connection open.
    bool reusable() const noexcept { return this->connection_reusable; }

private:
    bool write();
    bool read_head(response_head& head);
    bool read_body(const body_framing& framing);

    /// Waits for bytes and appends them to input.
    /// @returns false when the exchange has failed
    bool read_more();
    bool wait_for_bytes();
    core::time_point next_wait_end(core::time_point delay_report_time,
                                   core::time_point first_byte_limit) const;

    /// Records why the exchange ended.
    /// @returns false
    bool fail(exchange_error error) noexcept;
    bool fail(io_status status) noexcept;

    const tcp_socket& socket;
    const std::string_view head_bytes;
    const outgoing_request& request;
    const std::size_t head_limit;

    exchange_result result;
    std::string input;
    core::time_point written_at;
    bool delay_reported = false;
    bool request_written = false;
    bool connection_reusable = false;
};

} // namespace laburnumreach::http

#endif
