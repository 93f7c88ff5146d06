#include "request_view.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <poll.h>

namespace laburnumreach::http
{

namespace
{

/// Largest number of body bytes received by one system call.
constexpr std::size_t read_size = 16 * 1024;

} // namespace

request_view::request_view(server_connection& source, request_head parsed, const server_options& settings)
    : connection(source),
      parsed_head(std::move(parsed)),
      options(settings),
      decoder(this->parsed_head.framing),
      continue_pending(this->parsed_head.expects_continue)
{
}

bool request_view::send_continue()
{
    // A caller that has already sent body bytes does not wait for 100 Continue.
    if (!std::exchange(this->continue_pending, false) || !this->connection.input.empty())
    {
        return true;
    }
    constexpr std::array<std::string_view, 1> interim{"HTTP/1.1 100 Continue\r\n\r\n"};
    // The send buffer holds no response yet, so this short one fits completely.
    return this->connection.socket.send(interim).size == interim[0].size();
}

body_chunk request_view::read_body(std::span<char> buffer)
{
    assert(!buffer.empty());
    std::string& input = this->connection.input;
    for (;;)
    {
        const body_decoder::step step = this->decoder.decode(input, buffer);
        input.erase(0, step.consumed);
        if (step.produced > 0)
        {
            return {.status = body_status::data, .size = step.produced};
        }
        if (this->body_finished())
        {
            return {.status = body_status::end};
        }
        if (this->body_malformed())
        {
            return {.status = body_status::malformed};
        }
        if (!this->send_continue())
        {
            return {.status = body_status::disconnected};
        }
        const tcp_socket& socket = this->connection.socket;
        io_status status = socket.append_received(input, read_size).status;
        if (status == io_status::would_block)
        {
            status = socket.wait(POLLIN, core::boot_clock::now() + this->options.read_timeout).status;
        }
        if (status != io_status::ok)
        {
            return {.status =
                        status == io_status::timed_out ? body_status::timed_out : body_status::disconnected};
        }
    }
}

} // namespace laburnumreach::http
