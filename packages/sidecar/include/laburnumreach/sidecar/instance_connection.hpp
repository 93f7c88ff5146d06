#ifndef LABURNUMREACH_SIDECAR_INSTANCE_CONNECTION_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_CONNECTION_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/http/body_decoder.hpp"
#include "laburnumreach/http/message_head.hpp"
#include "laburnumreach/sidecar/asio.hpp"
#include "laburnumreach/sidecar/read_allowance.hpp"
#include "laburnumreach/sidecar/receive_buffer.hpp"
#include "laburnumreach/sidecar/response_end.hpp"
#include "laburnumreach/sidecar/send_queue.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace laburnumreach::sidecar
{

/// Outcome of a request to the instance.
enum class instance_outcome : std::uint8_t
{
    complete,       ///< A complete response arrived.
    connect_failed, ///< No byte of the request was sent.
    broken,         ///< The connection ended or the response was invalid; the request may have run.
};

/// Result of a request to the instance.
struct instance_result
{
    instance_outcome outcome = instance_outcome::broken;
    http::response_head head;
    std::string body;
    /// Whether the response certainly belongs to the request: it has the request's id, or it has none and no
    /// other request was sent on the connection. An instance may repeat an earlier response on a kept
    /// connection.
    bool is_own = false;
    std::string detail; ///< Cause of a failure.
};

/// Client side of one HTTP/1.1 connection to the instance on this VM. Sends one request at a time.
class instance_connection : public std::enable_shared_from_this<instance_connection>
{
public:
    using result_handler = std::function<void(instance_result)>;

    /// Settings of a connection.
    struct options
    {
        tcp::endpoint address;
        /// Maximum duration of a connection attempt; on the same VM, one takes about 1 ms.
        core::duration connect_timeout = std::chrono::milliseconds{400};
        /// Largest response body. A daemon holds the whole body until the caller has read it, and its VM may
        /// have as little as 160 MB.
        std::size_t max_body_bytes = 16 * 1024 * 1024;
        /// Shared by all connections; null for none. When it is used up, large responses are not read on.
        std::shared_ptr<read_allowance> allowance;
        /// Name of the header field in which the instance echoes the id of the attempt.
        std::string attempt_id_field;
    };

    instance_connection(asio::io_context& context, options initial_settings);

    /// Sends a request and reads its response. No other request may be in progress.
    /// @param request the serialized request
    /// @param attempt_id responses with another id belong to an earlier request and are skipped
    void run(std::string request, std::string attempt_id, bool is_head_request, result_handler handler);

    /// Watches an idle connection, and closes it when the peer closes it or sends unexpected bytes.
    void watch_idle();

    /// Closes the connection; the handler is not called.
    void close();

    bool is_open() const { return this->socket.is_open(); }

    /// Continues to read a response if the allowance permits it.
    /// @param is_preferred whether to read on even if the allowance is used up
    void resume(bool is_preferred);

    /// Returns the size of the request and of the response, as far as they are held.
    std::size_t held_bytes() const;

    /// Returns the size of the response, as far as it is held.
    std::size_t response_bytes() const { return this->received.size() + this->result.body.size(); }

    /// Returns whether the connection is open, idle and within its idle limit.
    bool reusable(core::time_point now) const;

    /// Returns whether the instance has neither sent bytes nor closed the connection since the last read.
    /// Check it before another request is sent: what arrived before cannot be its response. Makes a system
    /// call.
    bool has_nothing_to_read();

private:
    void connect();
    void send();
    void wait_readable();
    void on_readable(const error_code& error);
    void on_written(const error_code& error);
    void parse();
    bool parse_head();
    bool parse_body();
    void decode_body();
    void finish_complete();
    bool store_body(std::string_view bytes);
    bool count_skipped(std::size_t bytes);
    bool must_wait() const;
    void finish(instance_outcome outcome, std::string detail);
    void update_idle_limit();

    options settings;
    tcp::socket socket;
    asio::steady_timer timer;
    receive_buffer received;
    send_queue output;
    std::string request_bytes;
    std::string expected_id;
    bool head_request = false;
    result_handler on_result;
    instance_result result;
    std::optional<http::body_decoder> decoder;
    std::size_t head_scanned = 0;
    bool is_stale = false; ///< The response being received belongs to an earlier request.
    /// Bytes received for the current request in informational responses and in responses to other requests.
    std::size_t skipped_bytes = 0;
    bool skipped_stale = false; ///< A response to another request came before the one to the current request.
    std::size_t requests_sent = 0;
    bool connected = false;
    request_write write_state = request_write::done;
    receive_result read_state = receive_result::open; ///< Result of the last read.
    bool reading = false;
    bool preferred = false; ///< Reads on even if the allowance is used up.
    bool keep_open = false;
    core::duration idle_limit{};
    core::time_point idle_since{};
};

} // namespace laburnumreach::sidecar

#endif
