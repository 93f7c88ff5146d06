#include "tcp_socket.hpp"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <ctime>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace laburnumreach::http
{

namespace
{

/// Classifies the result of a system call that sends or receives bytes.
io_status classify(ssize_t result) noexcept
{
    if (result >= 0)
    {
        return io_status::ok;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
    {
        return io_status::would_block;
    }
    return errno == ETIMEDOUT ? io_status::silent : io_status::failed;
}

void set_option(int descriptor, int level, int name, int value) noexcept
{
    ::setsockopt(descriptor, level, name, &value, sizeof value);
}

/// Returns the time left in the form that ppoll takes; no value for no limit.
std::optional<timespec> time_left(core::time_point until) noexcept
{
    if (until == core::time_point::max())
    {
        return std::nullopt;
    }
    const core::duration left = std::max(until - core::boot_clock::now(), core::duration::zero());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
    return timespec{.tv_sec = seconds.count(), .tv_nsec = (left - seconds).count()};
}

} // namespace

tcp_socket& tcp_socket::operator=(tcp_socket&& other) noexcept
{
    if (this != &other)
    {
        this->close();
        this->handle = std::exchange(other.handle, -1);
        this->silent_timeout = other.silent_timeout;
    }
    return *this;
}

tcp_socket::~tcp_socket()
{
    this->close();
}

void tcp_socket::close() noexcept
{
    if (this->handle >= 0)
    {
        ::close(std::exchange(this->handle, -1));
    }
}

void tcp_socket::set_options(std::chrono::milliseconds silent_peer_timeout) noexcept
{
    this->silent_timeout = silent_peer_timeout;
    const auto whole_seconds = std::chrono::duration_cast<std::chrono::seconds>(silent_peer_timeout);
    const int seconds = std::max(1, static_cast<int>(whole_seconds.count()));
    set_option(this->handle, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(this->handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(this->handle, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set_option(this->handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set_option(this->handle, IPPROTO_TCP, TCP_KEEPCNT, 2);
}

io_result tcp_socket::receive(std::span<char> buffer) const noexcept
{
    const ssize_t size = ::recv(this->handle, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size == 0)
    {
        return {.status = io_status::closed};
    }
    return {.status = classify(size), .size = static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
}

io_result tcp_socket::append_received(std::string& buffer, std::size_t max_bytes) const
{
    const std::size_t before = buffer.size();
    buffer.resize(before + max_bytes);
    const io_result received = this->receive(std::span{buffer}.subspan(before));
    buffer.resize(before + received.size);
    return received;
}

io_result tcp_socket::send(std::span<const std::string_view> parts) const noexcept
{
    constexpr std::size_t max_parts = 4;
    assert(parts.size() <= max_parts);
    std::array<iovec, max_parts> vectors{};
    std::transform(parts.begin(), parts.end(), vectors.begin(),
                   [](std::string_view part)
                   { return iovec{.iov_base = const_cast<char*>(part.data()), .iov_len = part.size()}; });
    msghdr message{};
    message.msg_iov = vectors.data();
    message.msg_iovlen = parts.size();
    const ssize_t size = ::sendmsg(this->handle, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    return {.status = classify(size), .size = static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
}

io_status tcp_socket::peek() const noexcept
{
    char byte = 0;
    const ssize_t size = ::recv(this->handle, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    return size == 0 ? io_status::closed : classify(size);
}

bool tcp_socket::peer_closed() const noexcept
{
    pollfd entry{.fd = this->handle, .events = POLLRDHUP, .revents = 0};
    return ::poll(&entry, 1, 0) > 0;
}

void tcp_socket::shutdown_write() const noexcept
{
    ::shutdown(this->handle, SHUT_WR);
}

bool tcp_socket::peer_is_silent() const noexcept
{
    tcp_info info{};
    socklen_t size = sizeof info;
    ::getsockopt(this->handle, IPPROTO_TCP, TCP_INFO, &info, &size);
    // A live peer that does not read still acknowledges the data sent, so tcpi_unacked is 0 then.
    return info.tcpi_unacked > 0 &&
           std::chrono::milliseconds{info.tcpi_last_ack_recv} >= this->silent_timeout;
}

tcp_socket::readiness tcp_socket::wait(short events, core::time_point until,
                                       int hangup_descriptor) const noexcept
{
    std::array<pollfd, 2> entries{pollfd{.fd = this->handle, .events = events, .revents = 0},
                                  pollfd{.fd = hangup_descriptor, .events = POLLRDHUP, .revents = 0}};
    constexpr core::duration check_interval = std::chrono::milliseconds{250};
    const bool check = this->silent_timeout.count() > 0;
    core::time_point check_at = check ? core::boot_clock::now() + this->silent_timeout : until;
    for (;;)
    {
        const std::optional<timespec> left = time_left(std::min(until, check_at));
        const int ready = ::ppoll(entries.data(), entries.size(), left ? &*left : nullptr, nullptr);
        if (ready == 0 && check_at < until)
        {
            if (this->peer_is_silent())
            {
                return {.status = io_status::silent};
            }
            check_at += check_interval;
        }
        else if (ready == 0)
        {
            return {.status = io_status::timed_out};
        }
        if (ready > 0)
        {
            if (entries[0].revents != 0)
            {
                return {.status = io_status::ok, .events = entries[0].revents};
            }
            return {.status = io_status::hung_up};
        }
        if (ready < 0 && errno != EINTR)
        {
            return {.status = io_status::failed};
        }
    }
}

} // namespace laburnumreach::http
