#include "laburnumreach/sidecar/frame_stream.hpp"

namespace laburnumreach::sidecar
{

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t header_bytes = length_bytes + 1;
/// Maximum size of a frame's body: the largest request body of a caller, plus space for its head.
constexpr std::size_t max_frame_bytes = 80 * 1024 * 1024;
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

} // namespace

frame_stream::frame_stream(tcp::socket connected)
    : socket(std::move(connected)), last_receive(core::boot_clock::now())
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

void frame_stream::send_encoded(frame_type type, std::span<const std::uint8_t> body)
{
    std::array<char, header_bytes> header{};
    for (std::size_t index = 0; index < length_bytes; ++index)
    {
        const std::size_t shift = bits_per_byte * (length_bytes - 1 - index);
        header[index] = static_cast<char>((body.size() >> shift) & 0xFFU);
    }
    header[length_bytes] = static_cast<char>(type);
    this->output.add({header.data(), header.size()});
    this->output.add({reinterpret_cast<const char*>(body.data()), body.size()});
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
                                              }
                                          });
                   }
               });
}

void frame_stream::wait_readable()
{
    this->socket.async_wait(tcp::socket::wait_read, [self = this->shared_from_this()](const error_code& error)
                            { self->on_readable(error); });
}

void frame_stream::on_readable(const error_code& error)
{
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
    if (!this->parse() || result != receive_result::open)
    {
        this->fail();
        return;
    }
    if (this->socket.is_open())
    {
        this->wait_readable();
    }
}

/// Handles all complete frames that were received.
/// @returns false if a frame is too large
bool frame_stream::parse()
{
    while (this->socket.is_open() && this->received.view().size() >= header_bytes)
    {
        const std::string_view bytes = this->received.view();
        const std::size_t length = read_length(bytes);
        if (length > max_frame_bytes)
        {
            return false;
        }
        if (bytes.size() < header_bytes + length)
        {
            return true;
        }
        const auto type = static_cast<frame_type>(bytes[length_bytes]);
        const std::string body{bytes.substr(header_bytes, length)};
        this->received.consume(header_bytes + length);
        this->on_frame(type, {reinterpret_cast<const std::uint8_t*>(body.data()), body.size()});
    }
    return true;
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
}

} // namespace laburnumreach::sidecar
