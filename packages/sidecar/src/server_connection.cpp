#include "laburnumreach/sidecar/server_connection.hpp"

#include "laburnumreach/sidecar/body_memory.hpp"
#include "laburnumreach/sidecar/http_status.hpp"
#include "laburnumreach/sidecar/status_text.hpp"
#include "laburnumreach/sidecar/wire_text.hpp"

#include <algorithm>
#include <array>

namespace laburnumreach::sidecar
{

namespace
{

/// Wait that a client is advised to make before it repeats a request for which there was no memory.
constexpr core::duration memory_retry_delay = std::chrono::seconds{1};

/// Returns the memory that a request takes without its body while it is handled: its head twice, as received
/// and as forwarded, an entry for each field, and the state of the call.
std::size_t memory_of_head(std::string_view head)
{
    constexpr std::size_t bytes_per_field = 128;
    constexpr std::size_t bytes_per_request = 2048;
    const auto lines = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
    return 2 * head.size() + lines * bytes_per_field + bytes_per_request;
}

} // namespace

server_connection::server_connection(tcp::socket accepted, std::shared_ptr<server_context> shared)
    : socket(std::move(accepted)),
      context(std::move(shared)),
      buffer_memory(this->context->memory, memory_use::other),
      last_activity(core::boot_clock::now())
{
}

server_connection::~server_connection() = default;

void server_connection::start()
{
    error_code ignored; // An error of a closed socket shows at the first read.
    this->socket.non_blocking(true, ignored);
    this->socket.set_option(tcp::no_delay{true}, ignored);
    this->wait_readable();
}

void server_connection::check_timeouts(core::time_point now)
{
    if (this->lingering)
    {
        if (now - this->last_activity > linger_limit)
        {
            this->close();
        }
        return;
    }
    const caller_limits limits = this->context->limits();
    if (!this->output.idle() && now - this->output.last_progress() > limits.idle_timeout)
    {
        this->context->on_limit("response_unread");
        this->close(); // The caller reads nothing of its response, which would be held for ever.
        return;
    }
    if (this->can_parse() && !this->waits_for_memory_since)
    {
        if (this->incoming != nullptr && now - this->last_activity > limits.header_timeout)
        {
            this->refuse_incoming(http_status::request_timeout, "body_timeout");
            return;
        }
        if (this->head_since && now - *this->head_since > limits.header_timeout)
        {
            this->end_incomplete_head();
            return;
        }
    }
    if (this->open_exchanges.empty() && this->incoming == nullptr && this->received.empty() &&
        this->output.idle() && now - this->last_activity > limits.idle_timeout)
    {
        this->close();
    }
}

/// Ends a connection whose next head is late, after the responses that it waits for.
void server_connection::end_incomplete_head()
{
    if (this->open_exchanges.empty() && this->output.idle())
    {
        this->context->on_limit("head_timeout");
        this->close();
        return;
    }
    this->refuse_incoming(http_status::request_timeout, "head_timeout");
}

void server_connection::end_slow_body(core::time_point now)
{
    constexpr double min_bytes_per_second = 16 * 1024;
    const core::duration elapsed = now - this->body_since;
    if (this->incoming == nullptr || this->waits_for_memory_since ||
        elapsed <= this->context->limits().header_timeout)
    {
        return;
    }
    if (static_cast<double>(this->incoming->body.size()) < min_bytes_per_second * core::to_seconds(elapsed))
    {
        this->refuse_incoming(http_status::request_timeout, "body_too_slow");
    }
}

void server_connection::close_if_unread(core::time_point now)
{
    if (!this->output.idle() && now - this->output.last_progress() > this->context->limits().header_timeout)
    {
        this->context->on_limit("response_unread");
        this->close();
    }
}

void server_connection::close_if_idle()
{
    error_code ignored; // A connection that is broken has nothing to read.
    if (this->open_exchanges.empty() && this->incoming == nullptr && this->received.empty() &&
        this->output.idle() && this->socket.available(ignored) == 0)
    {
        this->close();
    }
}

bool server_connection::is_dispensable(core::time_point now) const
{
    constexpr core::duration stall_time = std::chrono::seconds{1};
    if (!this->open_exchanges.empty())
    {
        return false;
    }
    const bool pending = this->incoming != nullptr || !this->received.empty() || !this->output.idle();
    return !pending || now - std::max(this->last_activity, this->output.last_progress()) > stall_time;
}

void server_connection::wait_readable()
{
    if (this->reading || !this->socket.is_open() || !this->can_read())
    {
        return;
    }
    this->reading = true;
    this->socket.async_wait(tcp::socket::wait_read, [self = this->shared_from_this()](const error_code& error)
                            { self->on_readable(error); });
}

/// Returns whether further bytes may be kept. Bytes of a client that sends on regardless stay in the buffers
/// of the system.
bool server_connection::can_read() const
{
    if (this->stop_reading)
    {
        return true; // What arrives is discarded.
    }
    if (this->waits_for_memory_since)
    {
        return false;
    }
    const std::size_t unparsed_limit =
        std::max(this->read_limit(), this->context->limits().max_header_bytes + 1);
    return this->received.view().size() < unparsed_limit || (this->incoming != nullptr && this->can_parse());
}

/// Returns the number of bytes that one read may add: few while memory is short, so that many connections
/// together hold little that cannot be handled yet.
std::size_t server_connection::read_limit() const
{
    constexpr std::size_t short_read_bytes = 16 * 1024;
    const body_memory* const memory = this->context->memory;
    if (memory != nullptr && !memory->has_room(max_unparsed_bytes, memory_use::pipelined))
    {
        return short_read_bytes;
    }
    return this->incoming != nullptr ? receive_buffer::block_bytes : max_unparsed_bytes;
}

/// Returns whether the next request may be parsed.
bool server_connection::can_parse() const
{
    return !this->stop_reading && this->socket.is_open() && this->open_exchanges.size() < max_pipelined &&
           this->output.size() + this->completed_bytes < max_unsent_bytes;
}

void server_connection::on_readable(const error_code& error)
{
    this->reading = false;
    if (error || !this->socket.is_open())
    {
        return;
    }
    const std::size_t most_bytes = this->read_limit();
    receive_result result = this->received.receive(this->socket, most_bytes);
    if (result == receive_result::open && !this->lingering)
    {
        // Detects a caller that closed the connection before its request was read.
        result = this->received.receive(this->socket, most_bytes);
    }
    if (this->stop_reading)
    {
        this->received.consume(this->received.view().size());
    }
    if (this->lingering)
    {
        if (result != receive_result::open)
        {
            this->close();
            return;
        }
        this->wait_readable();
        return;
    }
    this->last_activity = core::boot_clock::now();
    if (result != receive_result::open)
    {
        this->close();
        return;
    }
    this->parse();
    this->wait_readable();
}

/// Handles received requests, a few in one turn of the event loop so that one client with many of them does
/// not hold up the others. A response that is made at once does not lead back into this function.
void server_connection::parse()
{
    if (this->parsing || this->parse_posted)
    {
        return;
    }
    this->parsing = true;
    int handled = 0;
    while (this->can_parse() && handled < max_requests_per_turn && this->parse_next())
    {
        ++handled;
    }
    this->parsing = false;
    if (handled == max_requests_per_turn)
    {
        this->post_parse();
    }
    this->update_memory();
}

void server_connection::post_parse()
{
    this->parse_posted = true;
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this()]
               {
                   self->parse_posted = false;
                   self->parse();
                   self->wait_readable();
               });
}

/// @returns whether a request was completely parsed
bool server_connection::parse_next()
{
    return (this->incoming != nullptr || this->parse_head()) && this->parse_body();
}

/// @returns whether a head was parsed, so that `incoming` is set
bool server_connection::parse_head()
{
    if (this->received.empty())
    {
        return false;
    }
    const std::string_view bytes = this->received.view();
    const caller_limits limits = this->context->limits();
    const auto size = http::find_head_end(bytes, this->head_scanned, limits.max_header_bytes);
    if (!size)
    {
        this->refuse(size.error() == http::message_error::head_too_large ? http_status::head_too_large
                                                                         : http_status::bad_request);
        return false;
    }
    if (*size == 0)
    {
        this->head_since = this->head_since.value_or(core::boot_clock::now());
        return false;
    }
    this->head_since.reset();
    // The request of a connection without others is handled in any case, if only to refuse it.
    memory_reservation head_memory{this->context->memory, memory_use::pipelined};
    const bool is_pipelined = !this->open_exchanges.empty() || !this->output.idle();
    const std::size_t head_bytes = memory_of_head(bytes.substr(0, *size));
    if (is_pipelined && !head_memory.try_resize(head_bytes))
    {
        this->head_scanned = 0;
        return false; // Parsed when an earlier response has been sent.
    }
    head_memory.resize(head_bytes);
    auto head = http::parse_request_head(bytes.substr(0, *size));
    if (!head)
    {
        this->refuse(http_status::bad_request);
        return false;
    }
    this->received.consume(*size);
    this->head_scanned = 0;
    const http::body_framing framing = head->framing;
    const bool has_length = framing.type == http::body_framing::kind::length;
    if (has_length && framing.length > this->max_body_bytes())
    {
        this->refuse(http_status::payload_too_large);
        return false;
    }
    if (has_length && framing.length > small_body_bytes && !this->context->has_memory_for(framing.length))
    {
        this->context->on_limit("memory");
        this->refuse(http_status::unavailable, retry_after_field(memory_retry_delay));
        return false;
    }
    this->incoming = std::make_shared<exchange>();
    this->incoming->head = std::move(*head);
    this->incoming->head_memory = std::move(head_memory);
    this->body_since = core::boot_clock::now();
    this->decoder.emplace(framing);
    if (this->incoming->head.expects_continue && this->open_exchanges.empty())
    {
        this->output.add("HTTP/1.1 100 Continue\r\n\r\n");
        this->flush();
    }
    return true;
}

/// @returns whether the request is complete
bool server_connection::parse_body()
{
    const http::body_framing framing = this->incoming->head.framing;
    if (framing.type == http::body_framing::kind::length && !this->reserve_body(framing.length))
    {
        return false;
    }
    std::array<char, 16 * 1024> block;
    while (this->decoder->status() == http::body_decoder::state::reading)
    {
        const std::size_t expected = std::min(block.size(), this->received.view().size());
        if (framing.type == http::body_framing::kind::chunked &&
            !this->reserve_body(this->incoming->body.size() + expected))
        {
            return false;
        }
        const auto step = this->decoder->decode(this->received.view(), block);
        this->received.consume(step.consumed);
        this->incoming->body.append(block.data(), step.produced);
        if (this->incoming->body.size() > this->max_body_bytes())
        {
            this->refuse_incoming(http_status::payload_too_large, "body_size");
            return false;
        }
        if (step.consumed == 0 && step.produced == 0)
        {
            break;
        }
    }
    if (this->decoder->status() == http::body_decoder::state::malformed)
    {
        this->incoming = nullptr;
        this->refuse(http_status::bad_request);
        return false;
    }
    if (this->decoder->status() != http::body_decoder::state::done)
    {
        return false;
    }
    this->dispatch();
    return true;
}

/// Reserves and allocates memory for the body of `incoming`. Without room, the request waits for it.
/// @param bytes size of the body; for one in chunks, the size after the next part
/// @returns whether there is room
bool server_connection::reserve_body(std::size_t bytes)
{
    exchange& request = *this->incoming;
    if (bytes <= request.body_memory.size())
    {
        return true;
    }
    const bool grows = request.head.framing.type == http::body_framing::kind::chunked;
    // A chunked body grows by half of its size, so that it is rarely copied.
    const std::size_t target = grows ? std::max(bytes, request.body_memory.size() * 3 / 2) : bytes;
    const memory_use use = target > small_body_bytes ? memory_use::large_body : memory_use::other;
    memory_reservation next{this->context->memory, use};
    const std::size_t former = request.body_memory.size();
    const bool was_large = former > small_body_bytes;
    // Requests that hold nothing yet wait behind those that have waited longer.
    const bool is_first =
        this->context->waiting_for_memory.empty() || former > 0 || this->waits_for_memory_since.has_value();
    const bool has_room = was_large
                              ? request.body_memory.try_resize(target)
                              : ((use != memory_use::large_body || is_first) && next.try_resize(target));
    if (has_room)
    {
        if (!was_large)
        {
            request.body_memory = std::move(next);
        }
        request.body.reserve(target);
        this->waits_for_memory_since.reset();
        return true;
    }
    if (!this->waits_for_memory_since)
    {
        this->context->on_limit("memory_wait");
        this->waits_for_memory_since = core::boot_clock::now();
        this->context->waiting_for_memory.push_back(this->weak_from_this());
    }
    return false;
}

bool server_connection::resume_after_wait(core::time_point now, bool may_try)
{
    if (!this->waits_for_memory_since || !this->socket.is_open())
    {
        return false;
    }
    if (may_try)
    {
        this->parse();
    }
    if (this->waits_for_memory_since && now - *this->waits_for_memory_since > memory_wait_limit)
    {
        this->refuse_incoming(http_status::unavailable, "memory", retry_after_field(memory_retry_delay));
    }
    if (this->waits_for_memory_since)
    {
        return true;
    }
    this->last_activity = now;
    this->wait_readable();
    return false;
}

std::uint64_t server_connection::max_body_bytes() const
{
    return std::min(this->context->limits().max_body_bytes, this->context->max_body_bytes);
}

void server_connection::dispatch()
{
    const std::shared_ptr<exchange> request = std::move(this->incoming);
    this->incoming = nullptr;
    this->decoder.reset();
    request->received = core::boot_clock::now();
    this->stop_reading = !request->head.keep_alive;
    this->open_exchanges.push_back(request);
    ++this->context->unanswered;
    request->on_completed = [weak = this->weak_from_this(), raw = request.get()]
    {
        if (const auto self = weak.lock())
        {
            self->on_completed(*raw);
        }
    };
    this->context->handle(request);
}

/// Refuses the request that is being received, and closes the connection after the response.
/// @param limit name of the limit that the client met
void server_connection::refuse_incoming(int status, std::string_view limit, std::string fields)
{
    this->context->on_limit(limit);
    this->incoming = nullptr;
    this->decoder.reset();
    this->head_since.reset();
    this->waits_for_memory_since.reset();
    this->refuse(status, std::move(fields));
}

void server_connection::refuse(int status, std::string fields)
{
    this->stop_reading = true;
    this->received.consume(this->received.view().size());
    const auto refused = std::make_shared<exchange>();
    refused->head.keep_alive = false;
    this->open_exchanges.push_back(refused);
    ++this->context->unanswered;
    refused->respond({.status = status, .fields = std::move(fields), .body = {}, .close = true});
    this->flush_responses();
}

/// Accounts for a response, in place of its request.
void server_connection::on_completed(exchange& completed)
{
    const http_response& response = completed.response();
    std::string{}.swap(completed.body); // An assignment would keep its memory.
    completed.body_memory.resize(0);
    completed.head_memory.resize(response.fields.capacity() + response.body.capacity());
    this->completed_bytes += completed.head_memory.size();
    this->flush_responses();
}

void server_connection::flush_responses()
{
    while (!this->open_exchanges.empty() && this->open_exchanges.front()->done())
    {
        const std::shared_ptr<exchange> completed = std::move(this->open_exchanges.front());
        this->open_exchanges.pop_front();
        --this->context->unanswered;
        this->completed_bytes -= std::min(this->completed_bytes, completed->head_memory.size());
        this->write_response(*completed);
        this->answered = true;
        this->last_activity = core::boot_clock::now();
        if (completed->response().close)
        {
            this->drop_pipelined_requests();
            break;
        }
    }
    this->flush();
    this->parse();
    this->update_memory();
    this->wait_readable();
}

void server_connection::write_response(exchange& answered_exchange)
{
    http_response& response = answered_exchange.response();
    response.close = response.close || !answered_exchange.head.keep_alive ||
                     (this->context->closing && this->open_exchanges.empty());
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    head += status_text(response.status);
    head += "\r\n";
    head += response.fields;
    // RFC 9110, 8.6: a 204 response must not have a Content-Length.
    if (response.status != http_status::no_content)
    {
        head.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    }
    head += response.close ? "Connection: close\r\n\r\n" : "\r\n";
    this->output.add(head);
    if (answered_exchange.head.method != "HEAD")
    {
        this->output.add(response.body);
    }
}

void server_connection::flush()
{
    this->output.flush(this->socket, this->shared_from_this(),
                       [this](const error_code& error) { this->on_flushed(error); });
}

void server_connection::on_flushed(const error_code& error)
{
    this->last_activity = core::boot_clock::now();
    if (error)
    {
        this->close();
        return;
    }
    if (this->stop_reading && this->open_exchanges.empty())
    {
        this->update_memory();
        this->linger();
        return;
    }
    this->parse();
    this->update_memory();
    this->wait_readable();
}

/// Cancels the requests pipelined after a response that closes the connection. The caller regards them as not
/// processed.
void server_connection::drop_pipelined_requests()
{
    this->stop_reading = true;
    this->incoming = nullptr;
    this->completed_bytes = 0;
    const auto dropped = std::exchange(this->open_exchanges, {});
    this->context->unanswered -= dropped.size();
    for (const auto& request : dropped)
    {
        request->cancel();
    }
}

/// Accounts for the buffers of this connection.
void server_connection::update_memory()
{
    this->buffer_memory.resize(this->socket.is_open() ? this->received.capacity() + this->output.capacity()
                                                      : 0);
}

std::size_t server_connection::held_bytes() const
{
    std::size_t total = this->received.size() + this->output.size();
    total += this->incoming == nullptr ? 0 : this->incoming->body.size();
    for (const auto& request : this->open_exchanges)
    {
        total += request->body.size() + request->response().body.size();
    }
    return total;
}

void server_connection::linger()
{
    if (this->lingering || !this->socket.is_open())
    {
        return;
    }
    this->lingering = true;
    this->received.consume(this->received.view().size());
    error_code ignored; // An error shows at the next read.
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->wait_readable();
}

void server_connection::close()
{
    if (!this->socket.is_open())
    {
        return;
    }
    const auto abandoned = std::exchange(this->open_exchanges, {});
    this->context->unanswered -= abandoned.size();
    error_code ignored; // The socket is discarded in any case.
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
    this->incoming = nullptr;
    this->waits_for_memory_since.reset();
    this->received.consume(this->received.view().size());
    this->update_memory();
    this->context->closed.push_back(this);
    for (const auto& request : abandoned)
    {
        request->cancel();
    }
}

} // namespace laburnumreach::sidecar
