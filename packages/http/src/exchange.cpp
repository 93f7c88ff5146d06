#include "exchange.hpp"

#include "laburnumreach/http/body_decoder.hpp"

#include <algorithm>
#include <array>
#include <poll.h>

namespace laburnumreach::http
{

namespace
{

constexpr std::size_t read_size = 16 * 1024;
/// With more interim (1xx) responses the exchange fails as malformed.
constexpr int max_interim_responses = 8;

} // namespace

exchange::exchange(const tcp_socket& connected, std::string_view request_head,
                   const outgoing_request& forwarded, std::size_t max_head_bytes)
    : socket(connected), head_bytes(request_head), request(forwarded), head_limit(max_head_bytes)
{
    this->result.progress = exchange_progress::not_sent;
}

exchange_result exchange::run()
{
    response_head head;
    if (!this->write() || !this->read_head(head))
    {
        return std::move(this->result);
    }
    this->result.answer.status = head.status;
    this->result.answer.headers = std::move(head.headers);
    if (!this->read_body(head.framing))
    {
        return std::move(this->result);
    }
    this->result.progress = exchange_progress::complete;
    // Bytes after the response belong to no request, so the connection must not be reused.
    this->connection_reusable = head.keep_alive && this->request_written && this->input.empty() &&
                                this->socket.peek() == io_status::would_block;
    return std::move(this->result);
}

bool exchange::write()
{
    std::array<std::string_view, 2> parts{this->head_bytes, this->request.body};
    while (!parts[0].empty() || !parts[1].empty())
    {
        if (core::boot_clock::now() >= this->request.deadline)
        {
            return this->fail(exchange_error::deadline_exceeded);
        }
        const io_result sent = this->socket.send(parts);
        const std::size_t of_head = std::min(sent.size, parts[0].size());
        parts[0].remove_prefix(of_head);
        parts[1].remove_prefix(sent.size - of_head);
        if (sent.size > 0)
        {
            this->result.progress = exchange_progress::sent;
        }
        if (sent.status == io_status::would_block)
        {
            // If a response arrives before the request is fully written, stop writing: the peer may have
            // refused the body.
            const auto ready =
                this->socket.wait(POLLOUT | POLLIN, this->request.deadline, this->request.cancel_on_hangup);
            if (ready.status != io_status::ok)
            {
                return this->fail(ready.status);
            }
            if ((ready.events & POLLIN) != 0)
            {
                return true;
            }
        }
        else if (sent.status != io_status::ok)
        {
            if (this->result.progress == exchange_progress::not_sent)
            {
                return this->fail(sent.status);
            }
            return true; // The peer may have sent a refusal before it closed.
        }
    }
    this->request_written = true;
    return true;
}

bool exchange::read_head(response_head& head)
{
    this->written_at = core::boot_clock::now();
    for (int count = 0; count <= max_interim_responses; ++count)
    {
        std::size_t scanned = 0;
        auto end = find_head_end(this->input, scanned, this->head_limit);
        while (end && *end == 0)
        {
            if (!this->read_more())
            {
                return false;
            }
            end = find_head_end(this->input, scanned, this->head_limit);
        }
        if (!end)
        {
            return this->fail(end.error() == message_error::head_too_large ? exchange_error::too_large
                                                                           : exchange_error::malformed);
        }
        auto parsed = parse_response_head(std::string_view{this->input}.substr(0, *end),
                                          this->request.method == "HEAD");
        this->input.erase(0, *end);
        if (!parsed || parsed->status == 101)
        {
            return this->fail(exchange_error::malformed);
        }
        if (parsed->status >= 200)
        {
            head = std::move(*parsed);
            return true;
        }
    }
    return this->fail(exchange_error::malformed);
}

bool exchange::read_body(const body_framing& framing)
{
    if (framing.type == body_framing::kind::until_close)
    {
        return this->fail(exchange_error::unknown_length);
    }
    if (framing.length > this->request.max_response_body_bytes)
    {
        return this->fail(exchange_error::too_large);
    }
    std::string& body = this->result.answer.body;
    body.reserve(framing.length);
    body_decoder decoder{framing};
    std::array<char, read_size> decoded;
    while (decoder.status() == body_decoder::state::reading)
    {
        if (this->input.empty() && !this->read_more())
        {
            return false;
        }
        const body_decoder::step step = decoder.decode(this->input, decoded);
        this->input.erase(0, step.consumed);
        if (body.size() + step.produced > this->request.max_response_body_bytes)
        {
            return this->fail(exchange_error::too_large);
        }
        body.append(decoded.data(), step.produced);
    }
    return decoder.status() == body_decoder::state::done || this->fail(exchange_error::malformed);
}

bool exchange::read_more()
{
    for (;;)
    {
        const io_result received = this->socket.append_received(this->input, read_size);
        if (received.status == io_status::ok)
        {
            this->result.response_started = true;
            return true;
        }
        if (received.status != io_status::would_block)
        {
            return this->fail(received.status);
        }
        if (!this->wait_for_bytes())
        {
            return false;
        }
    }
}

core::time_point exchange::next_wait_end(core::time_point delay_report_time,
                                         core::time_point first_byte_limit) const
{
    core::time_point end = this->request.deadline;
    if (!this->result.response_started && this->request.first_byte_timeout.count() > 0)
    {
        end = std::min(end, first_byte_limit);
    }
    if (!this->result.response_started && this->request.on_response_delay && !this->delay_reported)
    {
        end = std::min(end, delay_report_time);
    }
    return end;
}

bool exchange::wait_for_bytes()
{
    const core::time_point delay_report_time = this->written_at + this->request.response_delay_threshold;
    const core::time_point first_byte_limit = this->written_at + this->request.first_byte_timeout;
    const core::time_point end = this->next_wait_end(delay_report_time, first_byte_limit);
    const auto ready = this->socket.wait(POLLIN, end, this->request.cancel_on_hangup);
    if (ready.status == io_status::ok)
    {
        return true;
    }
    if (ready.status != io_status::timed_out || end == this->request.deadline)
    {
        return this->fail(ready.status);
    }
    if (this->request.on_response_delay && !this->delay_reported && end == delay_report_time)
    {
        this->delay_reported = true;
        return this->request.on_response_delay() || this->fail(exchange_error::silent);
    }
    return this->fail(exchange_error::silent);
}

bool exchange::fail(exchange_error error) noexcept
{
    this->result.error = error;
    return false;
}

bool exchange::fail(io_status status) noexcept
{
    switch (status)
    {
    case io_status::timed_out:
        return this->fail(exchange_error::deadline_exceeded);
    case io_status::hung_up:
        return this->fail(exchange_error::cancelled);
    case io_status::silent:
        return this->fail(exchange_error::silent);
    default:
        return this->fail(this->result.response_started ? exchange_error::truncated
                                                        : exchange_error::connection_lost);
    }
}

} // namespace laburnumreach::http
