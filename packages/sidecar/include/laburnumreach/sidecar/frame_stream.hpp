#ifndef LABURNUMREACH_SIDECAR_FRAME_STREAM_HPP
#define LABURNUMREACH_SIDECAR_FRAME_STREAM_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/asio.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"
#include "laburnumreach/sidecar/receive_buffer.hpp"
#include "laburnumreach/sidecar/send_queue.hpp"

#include <functional>
#include <memory>
#include <span>

namespace laburnumreach::sidecar
{

/// Type of a frame between daemons; the values are part of the protocol.
enum class frame_type : std::uint8_t
{
    hello = 1,
    welcome,
    call,
    cancel,
    reply,
    probe,
    probe_reply,
    config,
    members,
    status,
    token_request,
    token_grant,
    config_request,
};

/// A connection between two daemons that carries frames: length of the body (4 bytes, big endian), type
/// (1 byte) and a MessagePack body.
///
/// Frames that are queued by one event handler are sent in one system call.
class frame_stream : public std::enable_shared_from_this<frame_stream>
{
public:
    using frame_handler = std::function<void(frame_type, std::span<const std::uint8_t>)>;
    using close_handler = std::function<void()>;

    explicit frame_stream(tcp::socket connected);

    /// Starts reading.
    /// @param frame called for each frame
    /// @param closed called once when the peer closes or the connection fails, not after close()
    void start(frame_handler frame, close_handler closed);

    /// Queues a message.
    template <typename Message>
    void send(frame_type type, const Message& message)
    {
        this->send_encoded(type, protocol::encode_message(message));
    }

    /// Queues a message that is encoded already.
    void send_encoded(frame_type type, std::span<const std::uint8_t> body);

    /// Sets the maximum time between received bytes. Bytes that arrive later are not read and the connection
    /// is closed, since they were delayed and the sender may have abandoned the calls in them.
    void set_silence_timeout(core::duration limit) { this->silence_timeout = limit; }

    /// Closes the connection; no handler is called afterwards.
    void close();

    /// Returns the time of the last received bytes.
    core::time_point last_received() const noexcept { return this->last_receive; }

    bool is_open() const { return this->socket.is_open(); }

    /// Returns the size of all frames that are held.
    std::size_t held_bytes() const noexcept { return this->received.size() + this->output.size(); }

private:
    void wait_readable();
    void on_readable(const error_code& error);
    bool parse();
    void fail();

    tcp::socket socket;
    receive_buffer received;
    send_queue output;
    frame_handler on_frame;
    close_handler on_closed;
    core::time_point last_receive{};
    core::duration silence_timeout = core::duration::max();
    bool flush_posted = false;
};

} // namespace laburnumreach::sidecar

#endif
