#ifndef LABURNUMREACH_SIDECAR_INSTANCE_CONNECTION_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_CONNECTION_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/http/body_decoder.hpp"
#include "laburnumreach/http/message_head.hpp"
#include "laburnumreach/sidecar/asio.hpp"
#include "laburnumreach/sidecar/receive_buffer.hpp"
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

    /// Returns whether the connection can carry another request.
    bool reusable(core::time_point now) const;

private:
    void connect();
    void send();
    void wait_readable();
    void on_readable(const error_code& error);
    void parse(bool closed);
    bool parse_head();
    bool parse_body(bool closed);
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
    bool connected = false;
    bool reading = false;
    bool keep_open = false;
    core::duration idle_limit{};
    core::time_point idle_since{};
};

} // namespace laburnumreach::sidecar

#endif
