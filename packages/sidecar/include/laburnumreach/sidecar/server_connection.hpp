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
#include <memory>
#include <optional>

namespace laburnumreach::sidecar
{

/// State that all server connections of a listener share.
struct server_context
{
    /// Handles a completely received request; may respond immediately or later.
    std::function<void(const std::shared_ptr<exchange>&)> handle;
    /// Returns the active limits.
    std::function<caller_limits()> limits;
    /// Returns whether a request body of this size may be received now.
    std::function<bool(std::size_t bytes)> has_memory_for = [](std::size_t) { return true; };
    /// Connections are closed after their pending responses.
    bool closing = false;
    /// Number of received requests without a response yet.
    std::size_t unanswered = 0;
};

/// Server side of one HTTP/1.1 connection. Pipelined requests are handled concurrently and answered in order.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(tcp::socket accepted, std::shared_ptr<server_context> shared);
    ~server_connection();

    /// Starts reading. Call it once.
    void start();

    /// Closes the connection if it exceeds the idle timeout, or the header timeout within a request.
    void check_timeouts(core::time_point now);

    /// Closes the connection if it has no open request and nothing to send.
    void close_if_idle();

    bool is_open() const { return this->socket.is_open(); }

    /// Returns the size of all messages that are held.
    std::size_t held_bytes() const;

private:
    void wait_readable();
    void on_readable(const error_code& error);
    void parse();
    bool parse_head();
    bool parse_body();
    void dispatch();
    void refuse(int status, std::string fields = {});
    void flush_responses();
    void write_response(exchange& answered);
    void flush();
    void drop_pipelined_requests();
    void linger();
    void close();

    /// Time for which received bytes are discarded after the last response. Closing a socket with unread
    /// bytes resets the connection, and the caller could lose the response.
    static constexpr core::duration linger_limit = std::chrono::seconds{1};

    /// Maximum number of concurrently handled requests of one connection; further ones are not parsed yet.
    static constexpr std::size_t max_pipelined = 64;

    tcp::socket socket;
    std::shared_ptr<server_context> context;
    receive_buffer received;
    send_queue output;
    std::deque<std::shared_ptr<exchange>> open_exchanges; ///< In the order of the requests.
    std::shared_ptr<exchange> incoming;                   ///< Request whose body is being received.
    std::optional<http::body_decoder> decoder;
    std::size_t head_scanned = 0;
    bool reading = false;      ///< An asynchronous wait for bytes is in progress.
    bool stop_reading = false; ///< No further request is parsed.
    bool lingering = false;    ///< All responses are sent; received bytes are discarded.
    core::time_point last_activity{};
};

} // namespace laburnumreach::sidecar

#endif
