#include "laburnumreach/standin/connection.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace laburnumreach::standin
{

namespace
{

constexpr std::chrono::seconds transfer_timeout{60};

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

/// Polls until the deadline and repeats after interrupts by signals.
int poll_until(pollfd* entries, nfds_t count, core::duration at_most)
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

constexpr short closed_events = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL;

} // namespace

connection::connection(int accepted)
    : descriptor(accepted), wake_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (this->wake_descriptor < 0)
    {
        const int cause = errno;
        ::close(this->descriptor);
        throw std::system_error{cause, std::generic_category(), "eventfd"};
    }
}

connection::~connection()
{
    ::close(this->wake_descriptor);
    ::close(this->descriptor);
}

bool connection::wait_for_request(core::duration at_most) const
{
    if (this->buffered_begin < this->buffered_end)
    {
        return true;
    }
    pollfd entry{.fd = this->descriptor, .events = POLLIN, .revents = 0};
    if (poll_until(&entry, 1, at_most) <= 0)
    {
        return false;
    }
    char first = 0;
    return ::recv(this->descriptor, &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

connection::wake_cause connection::wait(core::duration at_most) const
{
    std::array<pollfd, 2> entries{{{.fd = this->descriptor, .events = POLLRDHUP, .revents = 0},
                                   {.fd = this->wake_descriptor, .events = POLLIN, .revents = 0}}};
    if (poll_until(entries.data(), entries.size(), at_most) <= 0)
    {
        return wake_cause::timeout;
    }
    if ((entries[0].revents & closed_events) != 0)
    {
        return wake_cause::closed;
    }
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t taken = ::read(this->wake_descriptor, &count, sizeof(count));
    return wake_cause::signalled;
}

void connection::wait_for_close() const
{
    while (this->wait(std::chrono::hours{1}) != wake_cause::closed)
    {
    }
}

void connection::signal() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(this->wake_descriptor, &one, sizeof(one));
}

bool connection::write_raw(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const ssize_t sent = this->write(bytes.data(), bytes.size());
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void connection::shut_down() const
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

bool connection::is_readable() const
{
    if (this->buffered_begin < this->buffered_end)
    {
        return true;
    }
    pollfd entry{.fd = this->descriptor, .events = POLLIN, .revents = 0};
    return poll_until(&entry, 1, transfer_timeout) > 0;
}

bool connection::is_writable() const
{
    pollfd entry{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
    return poll_until(&entry, 1, transfer_timeout) > 0 && (entry.revents & (POLLERR | POLLHUP)) == 0;
}

ssize_t connection::read(char* buffer, std::size_t size)
{
    if (this->buffered_begin == this->buffered_end)
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

ssize_t connection::write(const char* data, std::size_t size)
{
    if (this->discard || !this->is_writable())
    {
        return -1;
    }
    return ::send(this->descriptor, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void connection::get_remote_ip_and_port(std::string& ip, int& port) const
{
    read_address(::getpeername, this->descriptor, ip, port);
}

void connection::get_local_ip_and_port(std::string& ip, int& port) const
{
    read_address(::getsockname, this->descriptor, ip, port);
}

} // namespace laburnumreach::standin
