#include "laburnumreach/standin/connection.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace laburnumreach::standin
{

namespace
{

constexpr std::chrono::seconds transfer_timeout{60};

/// A paced transfer moves this fraction of a second's bytes at once.
constexpr std::size_t pace_steps_per_second = 100;

std::size_t paced_size(std::size_t bytes_per_second, std::size_t size)
{
    return std::min(size, std::max<std::size_t>(1, bytes_per_second / pace_steps_per_second));
}

} // namespace

connection::connection(int accepted)
    : socket_stream(accepted), wake_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (this->wake_descriptor < 0)
    {
        const int cause = errno;
        ::close(accepted);
        throw std::system_error{cause, std::generic_category(), "eventfd"};
    }
}

connection::~connection()
{
    ::close(this->wake_descriptor);
    ::close(this->socket());
}

bool connection::wait_for_request(core::duration at_most)
{
    this->writes = write_mode::send;
    this->read_pace = 0;
    this->write_pace = 0;
    if (this->has_buffered())
    {
        return true;
    }
    pollfd entry{.fd = this->socket(), .events = POLLIN, .revents = 0};
    if (poll_for(&entry, 1, at_most) <= 0)
    {
        return false;
    }
    char first = 0;
    return ::recv(this->socket(), &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

connection::wake_cause connection::wait(core::duration at_most) const
{
    std::array<pollfd, 2> entries{{{.fd = this->socket(), .events = POLLRDHUP, .revents = 0},
                                   {.fd = this->wake_descriptor, .events = POLLIN, .revents = 0}}};
    if (poll_for(entries.data(), entries.size(), at_most) <= 0)
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

bool connection::sleep(core::duration time) const
{
    const core::time_point deadline = core::boot_clock::now() + time;
    while (true)
    {
        const wake_cause cause =
            this->wait(std::max(core::duration::zero(), core::duration{deadline - core::boot_clock::now()}));
        if (cause != wake_cause::signalled)
        {
            return cause == wake_cause::timeout;
        }
    }
}

void connection::wait_for_close() const
{
    while (this->sleep(std::chrono::hours{1}))
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
    ::shutdown(this->socket(), SHUT_RDWR);
}

ssize_t connection::read(char* buffer, std::size_t size)
{
    if (this->read_pace > 0)
    {
        size = paced_size(this->read_pace, size);
        if (!this->sleep(std::chrono::milliseconds{1000 * size / this->read_pace}))
        {
            return -1;
        }
    }
    return this->socket_stream::read(buffer, size);
}

ssize_t connection::write(const char* data, std::size_t size)
{
    if (this->writes != write_mode::send)
    {
        return this->writes == write_mode::fail ? -1 : static_cast<ssize_t>(size);
    }
    if (this->write_pace > 0)
    {
        size = paced_size(this->write_pace, size);
        if (!this->sleep(std::chrono::milliseconds{1000 * size / this->write_pace}))
        {
            return -1;
        }
    }
    return this->socket_stream::write(data, size);
}

bool connection::wait_ready(short events) const
{
    pollfd entry{.fd = this->socket(), .events = events, .revents = 0};
    return poll_for(&entry, 1, transfer_timeout) > 0 && (entry.revents & (POLLERR | POLLNVAL)) == 0;
}

} // namespace laburnumreach::standin
