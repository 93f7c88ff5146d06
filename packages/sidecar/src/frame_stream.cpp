#include "laburnumreach/sidecar/frame_stream.hpp"

#include <algorithm>
#include <optional>

namespace laburnumreach::sidecar
{

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t header_bytes = length_bytes + 1;
/// Maximum size of a frame's body: the largest request body of a caller, plus space for its head.
constexpr std::size_t max_frame_bytes = 80 * 1024 * 1024;
/// The same for frames other than calls and replies; a configuration is the largest of them.
constexpr std::size_t max_control_frame_bytes = 4 * 1024 * 1024;
/// Frames up to this size are counted as small ones when they are sent.
constexpr std::size_t small_frame_bytes = 4096;
/// Maximum number of frames that are handled in one turn of the event loop.
constexpr int max_frames_per_turn = 256;
constexpr unsigned bits_per_byte = 8;

std::size_t read_length(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < length_bytes; ++index)
    {
        length = (length << bits_per_byte) | static_cast<unsigned char>(bytes[index]);
    }
    return length;
}

bool is_call_or_reply(frame_type type)
{
    return type == frame_type::call || type == frame_type::reply;
}

/// Reads the first field of a call or reply, its id, from the beginning of the frame's body.
/// @returns no value if there is none
std::optional<std::uint64_t> read_id(std::string_view body)
{
    constexpr unsigned char short_list = 0x90;         // MessagePack: a list of up to 15 elements.
    constexpr unsigned char first_sized_number = 0xcc; // Unsigned numbers of 1, 2, 4 and 8 bytes.
    if (body.size() < 2 || (static_cast<unsigned char>(body[0]) & 0xF0U) != short_list)
    {
        return std::nullopt;
    }
    const auto type = static_cast<unsigned char>(body[1]);
    if (type < 0x80)
    {
        return type;
    }
    if (type < first_sized_number || type > first_sized_number + 3)
    {
        return std::nullopt;
    }
    const std::size_t size = std::size_t{1} << (type - first_sized_number);
    if (body.size() < 2 + size)
    {
        return std::nullopt;
    }
    std::uint64_t id = 0;
    for (const char byte : body.substr(2, size))
    {
        id = (id << bits_per_byte) | static_cast<unsigned char>(byte);
    }
    return id;
}

} // namespace

frame_stream::frame_stream(tcp::socket connected, body_memory* accounting_memory)
    : socket(std::move(connected)),
      memory(accounting_memory),
      buffer_memory(accounting_memory, memory_use::other),
      frame_memory(accounting_memory, memory_use::large_body),
      last_receive(core::boot_clock::now())
{
    error_code ignored; // An error of a closed socket shows at the first read.
    this->socket.non_blocking(true, ignored);
    this->socket.set_option(tcp::no_delay{true}, ignored);
}

void frame_stream::start(frame_handler frame, close_handler closed)
{
    this->on_frame = std::move(frame);
    this->on_closed = std::move(closed);
    this->wait_readable();
}

/// Returns the header of a frame; send_frame() sets its length.
std::string frame_stream::begin_frame(frame_type type)
{
    std::string header(header_bytes, '\0');
    header[length_bytes] = static_cast<char>(type);
    return header;
}

void frame_stream::send_encoded(frame_type type, std::span<const std::uint8_t> body)
{
    std::string frame = begin_frame(type);
    frame.append(reinterpret_cast<const char*>(body.data()), body.size());
    this->send_frame(std::move(frame));
}

/// Queues a frame.
/// @param frame its header, with any length, and its body
void frame_stream::send_frame(std::string frame)
{
    const std::size_t body_bytes = frame.size() - header_bytes;
    for (std::size_t index = 0; index < length_bytes; ++index)
    {
        const std::size_t shift = bits_per_byte * (length_bytes - 1 - index);
        frame[index] = static_cast<char>((body_bytes >> shift) & 0xFFU);
    }
    if (frame.size() <= small_frame_bytes)
    {
        this->unsent_small_bytes += frame.size();
    }
    this->output.add(std::move(frame));
    this->update_memory();
    if (this->flush_posted || !this->socket.is_open())
    {
        return;
    }
    this->flush_posted = true;
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this()]
               {
                   self->flush_posted = false;
                   if (self->socket.is_open())
                   {
                       self->output.flush(self->socket, self,
                                          [raw = self.get()](const error_code& error)
                                          {
                                              if (error)
                                              {
                                                  raw->fail();
                                                  return;
                                              }
                                              raw->unsent_small_bytes = 0;
                                              raw->update_memory();
                                              raw->wait_readable();
                                          });
                   }
               });
}

void frame_stream::wait_readable()
{
    if (!this->on_frame || this->reading || this->parse_posted || !this->socket.is_open() ||
        this->unsent_small_bytes > max_unsent_small_bytes)
    {
        return;
    }
    this->reading = true;
    this->socket.async_wait(tcp::socket::wait_read, [self = this->shared_from_this()](const error_code& error)
                            { self->on_readable(error); });
}

void frame_stream::on_readable(const error_code& error)
{
    this->reading = false;
    if (!this->socket.is_open())
    {
        return;
    }
    if (error)
    {
        this->fail();
        return;
    }
    const core::time_point now = core::boot_clock::now();
    if (now - this->last_receive > this->silence_timeout)
    {
        this->fail();
        return;
    }
    const receive_result result = this->received.receive(this->socket);
    this->last_receive = now;
    if (!this->parse(result != receive_result::open) || result != receive_result::open)
    {
        this->fail();
        return;
    }
    this->update_memory();
    this->wait_readable();
}

/// Handles the complete frames that were received, and posts the rest of many.
/// @param all whether to handle all of them at once
/// @returns false if a frame is too large
bool frame_stream::parse(bool all)
{
    bool progressed = true;
    for (int handled = 0; progressed && this->socket.is_open(); ++handled)
    {
        if (handled == max_frames_per_turn && !all)
        {
            this->post_parse();
            return true;
        }
        progressed = false;
        if (!this->parse_frame(progressed))
        {
            return false;
        }
    }
    return true;
}

void frame_stream::post_parse()
{
    this->parse_posted = true;
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this()]
               {
                   self->parse_posted = false;
                   if (!self->socket.is_open())
                   {
                       return;
                   }
                   if (!self->parse(false))
                   {
                       self->fail();
                       return;
                   }
                   self->update_memory();
                   self->wait_readable();
               });
}

/// Handles one frame, or a part of one that is dropped.
/// @param progressed set if anything was handled
/// @returns false if the frame is too large
bool frame_stream::parse_frame(bool& progressed)
{
    if (this->skipped_bytes > 0)
    {
        const std::size_t count = std::min(this->skipped_bytes, this->received.view().size());
        this->received.consume(count);
        this->skipped_bytes -= count;
        progressed = count > 0;
        return true;
    }
    const std::string_view bytes = this->received.view();
    if (bytes.size() < header_bytes)
    {
        return true;
    }
    const std::size_t length = read_length(bytes);
    const auto type = static_cast<frame_type>(bytes[length_bytes]);
    if (length >
        std::min(this->frame_limit, is_call_or_reply(type) ? max_frame_bytes : max_control_frame_bytes))
    {
        return false;
    }
    const std::string_view body = bytes.substr(header_bytes, length);
    if (body.size() == length)
    {
        progressed = true;
        this->on_frame(type, {reinterpret_cast<const std::uint8_t*>(body.data()), body.size()});
        this->received.consume(header_bytes + length);
        this->frame_memory.resize(0);
        return true;
    }
    if (length <= small_body_bytes || this->reserve_frame(type, length))
    {
        if (length > small_body_bytes)
        {
            this->received.reserve(header_bytes + length);
        }
        return true;
    }
    constexpr std::size_t max_id_bytes = 10; // With the head of the list.
    if (body.size() < max_id_bytes)
    {
        return true;
    }
    const std::optional<std::uint64_t> id = read_id(body);
    if (!id)
    {
        return false;
    }
    progressed = true;
    this->skipped_bytes = header_bytes + length;
    this->on_dropped(type, *id);
    return true;
}

/// Reserves memory for a large frame. A call needs room like a request. Other frames are kept unless the
/// process would outgrow its VM, since a reply ends a run.
bool frame_stream::reserve_frame(frame_type type, std::size_t bytes)
{
    if (this->frame_memory.size() > 0 || type == frame_type::call)
    {
        return this->frame_memory.try_resize(bytes);
    }
    if (this->memory != nullptr && !this->memory->has_room_for_response(bytes))
    {
        return false;
    }
    this->frame_memory.resize(bytes);
    return true;
}

/// Accounts for the buffers, without the large frame that is being received.
void frame_stream::update_memory()
{
    const std::size_t buffered = this->frame_memory.size() > 0 ? 0 : this->received.capacity();
    this->buffer_memory.resize(this->socket.is_open() ? buffered + this->output.capacity() : 0);
}

void frame_stream::fail()
{
    if (!this->socket.is_open())
    {
        return;
    }
    const close_handler handler = std::move(this->on_closed);
    this->close();
    if (handler)
    {
        handler();
    }
}

void frame_stream::close()
{
    error_code ignored; // The socket is discarded in any case.
    this->socket.close(ignored);
    this->on_closed = nullptr;
    this->frame_memory.resize(0);
    this->update_memory();
}

} // namespace laburnumreach::sidecar
