#include "response_stream.hpp"

#include <algorithm>
#include <array>
#include <poll.h>

namespace laburnumreach::http
{

namespace
{

/// Writes that would exceed this size are sent directly instead of being buffered.
constexpr std::size_t max_buffered_bytes = 64 * 1024;

} // namespace

response_stream::response_stream(const server_connection& target, std::string_view method,
                                 std::chrono::milliseconds write_timeout)
    : connection(target),
      timeout(write_timeout),
      unread_request(method == "HEAD" ? "HEAD / HTTP/1.1\r\n\r\n" : "GET / HTTP/1.1\r\n\r\n")
{
}

ssize_t response_stream::read(char* buffer, size_t size)
{
    const std::size_t count = this->unread_request.copy(buffer, size);
    this->unread_request.remove_prefix(count);
    return static_cast<ssize_t>(count);
}

ssize_t response_stream::write(const char* bytes, size_t size)
{
    if (this->buffered.size() + size <= max_buffered_bytes)
    {
        this->buffered.append(bytes, size);
    }
    else
    {
        this->flush();
        this->send({bytes, size});
    }
    return static_cast<ssize_t>(size);
}

bool response_stream::flush()
{
    this->send(this->buffered);
    this->buffered.clear();
    return !this->failed;
}

void response_stream::send(std::string_view bytes)
{
    while (!bytes.empty() && !this->failed)
    {
        const std::array parts{bytes};
        const io_result sent = this->connection.socket.send(parts);
        bytes.remove_prefix(sent.size);
        if (sent.status == io_status::would_block)
        {
            const auto until = core::boot_clock::now() + this->timeout;
            this->failed = this->connection.socket.wait(POLLOUT, until).status != io_status::ok;
        }
        else
        {
            this->failed = sent.status != io_status::ok;
        }
    }
}

void response_stream::get_remote_ip_and_port(std::string& address, int& port) const
{
    address = this->connection.peer_address;
    port = 0;
}

void response_stream::get_local_ip_and_port(std::string& address, int& port) const
{
    address.clear();
    port = 0;
}

} // namespace laburnumreach::http
