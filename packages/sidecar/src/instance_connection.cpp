#include "laburnumreach/sidecar/instance_connection.hpp"

#include "laburnumreach/sidecar/body_memory.hpp"
#include "laburnumreach/sidecar/http_status.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <charconv>
#include <sys/socket.h>

namespace laburnumreach::sidecar
{

namespace
{

constexpr std::size_t max_response_head_bytes = 64 * 1024;
/// Maximum size of all informational responses and late responses to other requests before the response to
/// one request. Ends the exchange with an instance that sends them without end.
constexpr std::size_t max_skipped_bytes = 256 * 1024;
/// Idle time after which a connection is not reused, if the instance sends no keep-alive timeout.
constexpr core::duration default_idle_limit = std::chrono::seconds{4};
/// A connection is not reused this long before the instance's keep-alive timeout, so that no request is sent
/// while the instance closes it.
constexpr core::duration idle_margin = std::chrono::milliseconds{1500};

std::optional<core::duration> parse_keep_alive_timeout(std::string_view keep_alive)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t begin = keep_alive.find(name);
    if (begin == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string_view digits = keep_alive.substr(begin + name.size());
    unsigned seconds = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error != std::errc{})
    {
        return std::nullopt;
    }
    return std::chrono::seconds{seconds};
}

/// Describes why a response ended early.
std::string end_detail(receive_result connection)
{
    return connection == receive_result::closed ? "closed early" : "connection reset";
}

} // namespace

instance_connection::instance_connection(asio::io_context& context, options initial_settings)
    : settings(std::move(initial_settings)), socket(context), timer(context)
{
}

void instance_connection::run(std::string request, std::string attempt_id, bool is_head_request,
                              result_handler handler)
{
    assert(!this->on_result);
    this->request_bytes = std::move(request);
    this->expected_id = std::move(attempt_id);
    this->head_request = is_head_request;
    this->on_result = std::move(handler);
    this->result = {};
    this->decoder.reset();
    this->head_scanned = 0;
    this->keep_open = false;
    this->preferred = false;
    this->skipped_bytes = 0;
    this->skipped_stale = false;
    ++this->requests_sent;
    if (this->connected)
    {
        this->send();
        return;
    }
    this->connect();
}

void instance_connection::connect()
{
    const auto self = this->shared_from_this();
    this->timer.expires_after(
        std::chrono::duration_cast<asio::steady_timer::duration>(this->settings.connect_timeout));
    this->timer.async_wait(
        [self](const error_code& error)
        {
            if (!error && !self->connected)
            {
                self->finish(instance_outcome::connect_failed, "connect timed out");
            }
        });
    this->socket.async_connect(this->settings.address,
                               [self](const error_code& error)
                               {
                                   if (!self->on_result)
                                   {
                                       return;
                                   }
                                   self->timer.cancel();
                                   if (error)
                                   {
                                       self->finish(instance_outcome::connect_failed, error.message());
                                       return;
                                   }
                                   error_code ignored; // The connection works without these options.
                                   self->socket.non_blocking(true, ignored);
                                   self->socket.set_option(tcp::no_delay{true}, ignored);
                                   self->connected = true;
                                   self->send();
                               });
}

void instance_connection::send()
{
    this->output.add(std::exchange(this->request_bytes, {}));
    this->write_state = request_write::in_progress;
    this->output.flush(this->socket, this->shared_from_this(),
                       [this](const error_code& error) { this->on_written(error); });
    this->wait_readable();
}

/// A response that arrived before an error can still be read.
void instance_connection::on_written(const error_code& error)
{
    this->write_state = error ? request_write::failed : request_write::done;
    if (this->on_result && this->read_state != receive_result::open)
    {
        this->parse(); // The end of the response was undecided.
    }
}

void instance_connection::watch_idle()
{
    this->idle_since = core::boot_clock::now();
    this->wait_readable();
}

void instance_connection::wait_readable()
{
    if (this->reading || !this->socket.is_open() || this->must_wait() ||
        this->read_state != receive_result::open)
    {
        return;
    }
    this->reading = true;
    this->socket.async_wait(tcp::socket::wait_read, [self = this->shared_from_this()](const error_code& error)
                            { self->on_readable(error); });
}

/// Returns whether a large response is not read on for now. The instance then waits, since the buffers of the
/// system are full, and nothing of the response is lost.
bool instance_connection::must_wait() const
{
    return this->on_result && !this->preferred && this->settings.allowance != nullptr &&
           this->settings.allowance->used_up() && this->result.body.size() >= small_body_bytes;
}

void instance_connection::resume(bool is_preferred)
{
    this->preferred = is_preferred;
    if (this->connected && this->on_result)
    {
        this->wait_readable();
    }
}

std::size_t instance_connection::held_bytes() const
{
    return this->request_bytes.size() + this->output.size() + this->received.size() +
           this->result.body.size();
}

void instance_connection::on_readable(const error_code& error)
{
    this->reading = false;
    if (error || !this->socket.is_open())
    {
        return;
    }
    this->read_state = this->received.receive(this->socket);
    if (!this->on_result)
    {
        this->close(); // The idle connection was closed or got unexpected bytes.
        return;
    }
    this->parse();
    this->wait_readable();
}

void instance_connection::parse()
{
    while (this->on_result)
    {
        const bool progressed = this->decoder ? this->parse_body() : this->parse_head();
        if (!progressed)
        {
            break;
        }
    }
    if (this->on_result && !this->decoder && this->read_state != receive_result::open)
    {
        this->finish(instance_outcome::broken, end_detail(this->read_state));
    }
}

bool instance_connection::parse_head()
{
    const std::string_view bytes = this->received.view();
    if (bytes.empty())
    {
        return false;
    }
    const auto size = http::find_head_end(bytes, this->head_scanned, max_response_head_bytes);
    if (!size)
    {
        this->finish(instance_outcome::broken, "malformed response");
        return false;
    }
    if (*size == 0)
    {
        return false;
    }
    auto head = http::parse_response_head(bytes.substr(0, *size), this->head_request);
    this->received.consume(*size);
    this->head_scanned = 0;
    if (!head)
    {
        this->finish(instance_outcome::broken, "malformed response");
        return false;
    }
    constexpr int first_final_status = 200;
    if (head->status == http_status::switching_protocols)
    {
        this->finish(instance_outcome::broken, "malformed response"); // No request asks for it.
        return false;
    }
    if (head->status < first_final_status)
    {
        return this->count_skipped(*size);
    }
    const std::string_view echoed = http::find_header(head->headers, this->settings.attempt_id_field);
    this->is_stale = !echoed.empty() && echoed != this->expected_id;
    this->result.is_own = !this->is_stale && (!echoed.empty() || this->requests_sent == 1);
    if (this->is_stale && !this->count_skipped(*size))
    {
        return false;
    }
    this->result.head = std::move(*head);
    this->result.body.clear();
    this->decoder.emplace(this->result.head.framing);
    return true;
}

/// Counts bytes that belong to no response to the current request.
/// @returns false if there are too many; the exchange has then ended
bool instance_connection::count_skipped(std::size_t bytes)
{
    this->skipped_bytes += bytes;
    if (this->skipped_bytes > max_skipped_bytes)
    {
        this->finish(instance_outcome::broken, "too many bytes before the response");
        return false;
    }
    return true;
}

/// Adds bytes to the body, or drops them if the response belongs to another request.
/// @returns false if there are too many; the exchange has then ended
bool instance_connection::store_body(std::string_view bytes)
{
    if (this->is_stale)
    {
        return this->count_skipped(bytes.size());
    }
    if (this->result.body.size() + bytes.size() > this->settings.max_body_bytes)
    {
        this->finish(instance_outcome::broken, "response body too large");
        return false;
    }
    this->result.body.append(bytes);
    if (this->settings.allowance != nullptr)
    {
        this->settings.allowance->use(bytes.size());
    }
    return true;
}

/// Reads the body of the current response.
/// @returns whether a further response may follow in the received bytes
bool instance_connection::parse_body()
{
    this->decode_body();
    if (!this->on_result)
    {
        return false; // Too many bytes.
    }
    switch (judge_response(this->result.head.framing.type, this->decoder->status(), this->read_state,
                           this->write_state))
    {
    case response_state::reading:
    case response_state::undecided:
        return false;
    case response_state::incomplete:
        this->finish(instance_outcome::broken, this->decoder->status() == http::body_decoder::state::malformed
                                                   ? "malformed body"
                                                   : end_detail(this->read_state));
        return false;
    case response_state::complete:
        break;
    }
    if (!this->is_stale)
    {
        this->finish_complete();
        return false;
    }
    if (this->result.head.framing.type == http::body_framing::kind::until_close)
    {
        this->finish(instance_outcome::broken, "response to another request");
        return false;
    }
    this->decoder.reset();
    this->skipped_stale = true;
    return true; // The response to the current request follows.
}

/// Moves received bytes of the current response to its body.
void instance_connection::decode_body()
{
    if (this->result.head.framing.type == http::body_framing::kind::until_close)
    {
        this->store_body(this->received.view());
        this->received.consume(this->received.view().size());
        return;
    }
    std::array<char, 16 * 1024> block;
    while (this->decoder->status() == http::body_decoder::state::reading)
    {
        const auto step = this->decoder->decode(this->received.view(), block);
        this->received.consume(step.consumed);
        if (!this->store_body({block.data(), step.produced}) || (step.consumed == 0 && step.produced == 0))
        {
            return;
        }
    }
}

void instance_connection::finish_complete()
{
    this->decoder.reset();
    this->update_idle_limit();
    // Bytes that nobody asked for show that the two sides may count the responses differently.
    this->keep_open = this->result.head.keep_alive && this->received.empty() &&
                      this->read_state == receive_result::open && !this->skipped_stale;
    this->finish(instance_outcome::complete, "");
}

void instance_connection::update_idle_limit()
{
    const std::string_view keep_alive = http::find_header(this->result.head.headers, "Keep-Alive");
    const std::optional<core::duration> limit = parse_keep_alive_timeout(keep_alive);
    this->idle_limit = limit ? std::max(*limit - idle_margin, *limit / 2) : default_idle_limit;
}

void instance_connection::finish(instance_outcome outcome, std::string detail)
{
    const result_handler handler = std::exchange(this->on_result, nullptr);
    this->timer.cancel();
    if (!this->keep_open)
    {
        this->close();
    }
    this->result.outcome = outcome;
    this->result.detail = std::move(detail);
    if (handler)
    {
        handler(std::exchange(this->result, {}));
    }
}

bool instance_connection::reusable(core::time_point now) const
{
    return this->connected && this->socket.is_open() && !this->on_result && this->output.idle() &&
           now - this->idle_since < this->idle_limit;
}

bool instance_connection::has_nothing_to_read()
{
    char byte = 0;
    const ssize_t count = ::recv(this->socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void instance_connection::close()
{
    this->on_result = nullptr;
    this->timer.cancel();
    error_code ignored; // The socket is discarded in any case.
    this->socket.close(ignored);
}

} // namespace laburnumreach::sidecar
