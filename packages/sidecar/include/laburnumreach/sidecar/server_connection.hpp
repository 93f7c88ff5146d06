#ifndef LABURNUMREACH_SIDECAR_SERVER_CONNECTION_HPP
#define LABURNUMREACH_SIDECAR_SERVER_CONNECTION_HPP

#include "laburnumreach/http/body_decoder.hpp"
#include "laburnumreach/sidecar/asio.hpp"
#include "laburnumreach/sidecar/exchange.hpp"
#include "laburnumreach/sidecar/receive_buffer.hpp"
#include "laburnumreach/sidecar/routing_config.hpp"
#include "laburnumreach/sidecar/send_queue.hpp"

#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace laburnumreach::sidecar
{

class server_connection;

/// State that all server connections of a listener share.
struct server_context
{
    /// Handles a completely received request; may respond immediately or later.
    std::function<void(const std::shared_ptr<exchange>&)> handle;
    /// Returns the active limits.
    std::function<caller_limits()> limits;
    /// Returns whether memory for a large request body can be expected soon. If not, the request is refused
    /// at once.
    std::function<bool(std::size_t bytes)> has_memory_for = [](std::size_t) { return true; };
    /// Called when a client meets a limit, with the name of the limit.
    std::function<void(std::string_view limit)> on_limit = [](std::string_view) {};
    /// Accounts for what the connections hold and outlives them; null for no limit.
    body_memory* memory = nullptr;
    /// Largest request body, if the active limits allow more.
    std::uint64_t max_body_bytes = std::numeric_limits<std::uint64_t>::max();
    /// Largest number of connections.
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
    /// Connections are closed after their next response.
    bool closing = false;
    /// Number of received requests without a response yet.
    std::size_t unanswered = 0;
    /// Connections that wait for memory, in the order in which they began to wait. Managed by the listener.
    std::deque<std::weak_ptr<server_connection>> waiting_for_memory;
    /// Connections that have closed and are no longer needed. Managed by the listener.
    std::vector<const server_connection*> closed;
};

/// Server side of one HTTP/1.1 connection. Pipelined requests are handled concurrently and answered in order.
///
/// A client that sends more than is answered, or reads less than is sent, is not read from for a while: when
/// max_pipelined requests are open, max_unsent_bytes of responses are unsent, or there is no memory for its
/// requests. A request whose memory does not become free is refused with 503.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(tcp::socket accepted, std::shared_ptr<server_context> shared);
    ~server_connection();

    /// Starts reading. Call it once.
    void start();

    /// Closes the connection if it exceeds the idle timeout, and refuses a request that is not received in
    /// time.
    void check_timeouts(core::time_point now);

    /// Continues with a request that waits for memory, or refuses it if it has waited too long.
    /// @param may_try whether to ask for memory again
    /// @returns whether it still waits
    bool resume_after_wait(core::time_point now, bool may_try);

    /// Refuses the request that is being received if it arrives so slowly that it only takes memory from
    /// others.
    void end_slow_body(core::time_point now);

    /// Closes the connection if its client has accepted no byte of a response lately.
    void close_if_unread(core::time_point now);

    /// Closes the connection if it has no open request, nothing to send and nothing to read.
    void close_if_idle();

    /// Closes the connection. Its open requests are cancelled.
    void close();

    bool is_open() const { return this->socket.is_open(); }

    /// Returns whether the connection can be closed in favour of a new one: no request is open, none is
    /// arriving and nothing is being sent, or there was no progress for a while.
    bool is_dispensable(core::time_point now) const;

    /// Returns whether a request of the connection was answered.
    bool has_answered() const noexcept { return this->answered; }

    core::time_point last_used() const noexcept { return this->last_activity; }

    /// Returns the number of bytes that wait to be sent.
    std::size_t unsent_bytes() const noexcept { return this->output.size(); }

    /// Returns the size of all messages that are held.
    std::size_t held_bytes() const;

private:
    void wait_readable();
    void on_readable(const error_code& error);
    bool can_read() const;
    std::size_t read_limit() const;
    bool can_parse() const;
    void parse();
    void post_parse();
    bool parse_next();
    bool parse_head();
    bool parse_body();
    bool reserve_body(std::size_t bytes);
    void dispatch();
    void refuse(int status, std::string fields = {});
    void refuse_incoming(int status, std::string_view limit, std::string fields = {});
    void on_completed(exchange& completed);
    void flush_responses();
    void write_response(exchange& answered);
    void flush();
    void on_flushed(const error_code& error);
    void end_incomplete_head();
    void drop_pipelined_requests();
    void linger();
    void update_memory();
    std::uint64_t max_body_bytes() const;

    /// Time for which received bytes are discarded after the last response. Closing a socket with unread
    /// bytes resets the connection, and the caller could lose the response.
    static constexpr core::duration linger_limit = std::chrono::seconds{1};

    /// Maximum number of concurrently handled requests of one connection; further ones are not parsed yet.
    static constexpr std::size_t max_pipelined = 64;

    /// Size of unsent responses above which no further request is parsed.
    static constexpr std::size_t max_unsent_bytes = 256 * 1024;

    /// Size of received requests that are not parsed yet above which nothing is read. Below it, reading goes
    /// on, since only a read detects that the caller disconnected.
    static constexpr std::size_t max_unparsed_bytes = 64 * 1024;

    /// Maximum number of requests that are handled in one turn of the event loop.
    static constexpr int max_requests_per_turn = 16;

    /// Longest wait for memory for a request.
    static constexpr core::duration memory_wait_limit = std::chrono::milliseconds{500};

    tcp::socket socket;
    std::shared_ptr<server_context> context;
    receive_buffer received;
    send_queue output;
    memory_reservation buffer_memory;                     ///< For received and output.
    std::deque<std::shared_ptr<exchange>> open_exchanges; ///< In the order of the requests.
    std::shared_ptr<exchange> incoming;                   ///< Request whose body is being received.
    std::optional<http::body_decoder> decoder;
    std::size_t head_scanned = 0;
    std::size_t completed_bytes = 0; ///< Size of the responses that wait for earlier ones.
    bool reading = false;            ///< An asynchronous wait for bytes is in progress.
    bool parsing = false;            ///< parse() is on the stack.
    bool parse_posted = false;
    bool stop_reading = false; ///< No further request is parsed.
    bool lingering = false;    ///< All responses are sent; received bytes are discarded.
    bool answered = false;     ///< A request was answered.
    /// Time at which an incomplete head began to arrive, while nothing else holds it up.
    std::optional<core::time_point> head_since;
    std::optional<core::time_point> waits_for_memory_since;
    core::time_point body_since{}; ///< Time at which the head of `incoming` was complete.
    core::time_point last_activity{};
};

} // namespace laburnumreach::sidecar

#endif
