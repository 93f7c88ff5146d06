#include "laburnumreach/standin/socket_stream.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>

namespace laburnumreach::standin
{

namespace
{

using name_function = int (*)(int, sockaddr*, socklen_t*);

void read_address(name_function name_of, int descriptor, std::string& ip, int& port)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (name_of(descriptor, reinterpret_cast<sockaddr*>(&address), &length) != 0)
    {
        return;
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

} // namespace

int poll_for(pollfd* entries, nfds_t count, core::duration at_most)
{
    const core::time_point deadline = core::boot_clock::now() + at_most;
    while (true)
    {
        const core::duration left =
            std::max(core::duration::zero(), core::duration{deadline - core::boot_clock::now()});
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
        const timespec timeout{.tv_sec = seconds.count(), .tv_nsec = (left - seconds).count()};
        const int ready = ::ppoll(entries, count, &timeout, nullptr);
        if (ready >= 0 || errno != EINTR)
        {
            return ready;
        }
    }
}

bool socket_stream::is_readable() const
{
    return this->has_buffered() || this->wait_ready(POLLIN);
}

bool socket_stream::is_writable() const
{
    return this->wait_ready(POLLOUT);
}

ssize_t socket_stream::read(char* buffer, std::size_t size)
{
    if (!this->has_buffered())
    {
        if (!this->is_readable())
        {
            return -1;
        }
        const ssize_t received =
            ::recv(this->descriptor, this->buffered.data(), this->buffered.size(), MSG_DONTWAIT);
        if (received <= 0)
        {
            return received;
        }
        this->buffered_begin = 0;
        this->buffered_end = static_cast<std::size_t>(received);
    }
    const std::size_t taken = std::min(size, this->buffered_end - this->buffered_begin);
    std::memcpy(buffer, this->buffered.data() + this->buffered_begin, taken);
    this->buffered_begin += taken;
    return static_cast<ssize_t>(taken);
}

ssize_t socket_stream::write(const char* data, std::size_t size)
{
    return this->is_writable() ? ::send(this->descriptor, data, size, MSG_NOSIGNAL | MSG_DONTWAIT) : -1;
}

void socket_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    read_address(::getpeername, this->descriptor, ip, port);
}

void socket_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    read_address(::getsockname, this->descriptor, ip, port);
}

} // namespace laburnumreach::standin
