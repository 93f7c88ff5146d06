#ifndef LABURNUMREACH_SIDECAR_FRAME_STREAM_HPP
#define LABURNUMREACH_SIDECAR_FRAME_STREAM_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/asio.hpp"
#include "laburnumreach/sidecar/memory_reservation.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"
#include "laburnumreach/sidecar/receive_buffer.hpp"
#include "laburnumreach/sidecar/send_queue.hpp"

#include <functional>
#include <limits>
#include <memory>
#include <span>
#include <string>

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
    departures,
    departures_held,
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
    using drop_handler = std::function<void(frame_type, std::uint64_t)>;

    /// @param memory accounts for what the stream holds, and outlives it; null for no limit
    explicit frame_stream(tcp::socket connected, body_memory* memory = nullptr);

    /// Starts reading.
    /// @param frame called for each frame
    /// @param closed called once when the peer closes or the connection fails, not after close()
    void start(frame_handler frame, close_handler closed);

    /// Queues a message.
    template <typename Message>
    void send(frame_type type, const Message& message)
    {
        std::string frame = begin_frame(type);
        if constexpr (requires { message.body.size() + message.fields.size(); })
        {
            constexpr std::size_t other_fields_bytes = 1024; // So that a large frame is written in one place.
            frame.reserve(frame.size() + message.body.size() + message.fields.size() + other_fields_bytes);
        }
        protocol::append_message(frame, message);
        this->send_frame(std::move(frame));
    }

    /// Queues a message that is encoded already.
    void send_encoded(frame_type type, std::span<const std::uint8_t> body);

    /// Sets the maximum time between received bytes. Bytes that arrive later are not read and the connection
    /// is closed, since they were delayed and the sender may have abandoned the calls in them.
    void set_silence_timeout(core::duration limit) { this->silence_timeout = limit; }

    /// Sets the largest frame that the peer may send; a larger one closes the connection.
    void set_frame_limit(std::size_t bytes) { this->frame_limit = bytes; }

    /// Allows frames of all sizes of the protocol, as a new stream does.
    void remove_frame_limit() { this->frame_limit = std::numeric_limits<std::size_t>::max(); }

    /// Sets the handler of calls and replies that were not kept for lack of memory. It gets their ids.
    void set_drop_handler(drop_handler handler) { this->on_dropped = std::move(handler); }

    /// Closes the connection; no handler is called afterwards.
    void close();

    /// Returns the time of the last received bytes.
    core::time_point last_received() const noexcept { return this->last_receive; }

    bool is_open() const { return this->socket.is_open(); }

    /// Returns whether bytes wait to be sent and the peer has accepted none since a time.
    bool is_unread_since(core::time_point time) const noexcept
    {
        return !this->output.idle() && this->output.last_progress() < time;
    }

private:
    /// Size of unsent small frames above which nothing is read: a peer that sends requests without reading
    /// the replies must not make them pile up. Large frames are limited where they are made.
    static constexpr std::size_t max_unsent_small_bytes = 1024 * 1024;

    static std::string begin_frame(frame_type type);
    void send_frame(std::string frame);
    void wait_readable();
    void on_readable(const error_code& error);
    bool parse(bool all);
    bool parse_frame(bool& progressed);
    bool reserve_frame(frame_type type, std::size_t bytes);
    void post_parse();
    void update_memory();
    void fail();

    tcp::socket socket;
    body_memory* memory;
    memory_reservation buffer_memory; ///< For small frames and for output.
    memory_reservation frame_memory;  ///< For the large frame that is being received.
    receive_buffer received;
    send_queue output;
    frame_handler on_frame;
    drop_handler on_dropped = [](frame_type, std::uint64_t) {};
    close_handler on_closed;
    core::time_point last_receive{};
    core::duration silence_timeout = core::duration::max();
    std::size_t frame_limit = std::numeric_limits<std::size_t>::max();
    std::size_t skipped_bytes = 0;      ///< Bytes of a dropped frame that are still to come.
    std::size_t unsent_small_bytes = 0; ///< Size of small frames that were queued since the output was empty.
    bool reading = false;
    bool flush_posted = false;
    bool parse_posted = false;
};

} // namespace laburnumreach::sidecar

#endif
