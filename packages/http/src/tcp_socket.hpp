#ifndef LABURNUMREACH_HTTP_TCP_SOCKET_HPP
#define LABURNUMREACH_HTTP_TCP_SOCKET_HPP

#include "laburnumreach/core/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumreach::http
{

/// Result of one socket operation.
enum class io_status : std::uint8_t
{
    ok,
    would_block,
    closed,    ///< The peer closed its side.
    failed,    ///< Reset or another error.
    silent,    ///< The peer acknowledges no data.
    timed_out, ///< The time limit passed to wait() expired.
    hung_up,   ///< The peer of hangup_descriptor closed its connection.
};

/// Status and number of bytes sent or received.
struct io_result
{
    io_status status = io_status::ok;
    std::size_t size = 0;
};

/// Owner of a non-blocking TCP socket.
class tcp_socket
{
public:
    tcp_socket() = default;
    explicit tcp_socket(int descriptor) noexcept : handle(descriptor) {}
    tcp_socket(tcp_socket&& other) noexcept
        : handle(std::exchange(other.handle, -1)), silent_timeout(other.silent_timeout)
    {
    }
    tcp_socket& operator=(tcp_socket&& other) noexcept;
    tcp_socket(const tcp_socket&) = delete;
    tcp_socket& operator=(const tcp_socket&) = delete;
    ~tcp_socket();

    int descriptor() const noexcept { return this->handle; }
    bool is_open() const noexcept { return this->handle >= 0; }
    void close() noexcept;

    /// Enables TCP_NODELAY and keep-alive probes.
    /// @param silent_peer_timeout time after which wait() reports a peer that acknowledges no data, and after
    /// which the system probes a connection without traffic; two lost probes, 1 s apart, reset it
    void set_options(std::chrono::milliseconds silent_peer_timeout) noexcept;

    /// Receives available bytes without waiting.
    io_result receive(std::span<char> buffer) const noexcept;

    /// Receives available bytes without waiting and appends them to the buffer.
    /// @param max_bytes largest number of bytes to add
    io_result append_received(std::string& buffer, std::size_t max_bytes) const;

    /// Sends as much of the parts as the socket accepts, without waiting.
    io_result send(std::span<const std::string_view> parts) const noexcept;

    /// Checks for a received byte without consuming it.
    /// @returns io_status::ok when there is one
    io_status peek() const noexcept;

    /// Returns whether the peer closed or reset the connection, even when unread bytes remain.
    bool peer_closed() const noexcept;

    /// Shuts down the sending side of the connection.
    void shutdown_write() const noexcept;

    /// Result of wait.
    struct readiness
    {
        io_status status = io_status::ok;
        short events = 0; ///< POLLIN, POLLOUT, POLLERR, POLLHUP.
    };

    /// Waits for poll() events. Ends early with io_status::silent when the peer has unacknowledged data and
    /// has acknowledged nothing for the silent-peer timeout; the check starts after the wait has lasted that
    /// long.
    ///
    /// TCP_USER_TIMEOUT is not used for this: it also resets connections to a live peer that does not read,
    /// which would abort uploads to a busy upstream.
    /// @param hangup_descriptor a descriptor whose hang-up ends the wait, or -1
    readiness wait(short events, core::time_point until, int hangup_descriptor = -1) const noexcept;

private:
    bool peer_is_silent() const noexcept;

    int handle = -1;
    std::chrono::milliseconds silent_timeout{0}; ///< Zero for no check.
};

} // namespace laburnumreach::http

#endif
