#ifndef LABURNUMREACH_HTTP_SERVER_OPTIONS_HPP
#define LABURNUMREACH_HTTP_SERVER_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace laburnumreach::http
{

/// Settings of a server.
struct server_options
{
    std::string name = "http"; ///< Prefix of thread names, at most 8 characters.
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 takes any free port.
    std::size_t workers = 16;
    std::size_t worker_stack_bytes = 256 * 1024;
    std::size_t max_connections = 2000; ///< Further callers get 503 and are closed.
    /// A connection without a request for this long is closed.
    std::chrono::milliseconds idle_timeout{60'000};
    /// Longest time from the first byte of a head to its last, and longest wait for the next part of a body.
    std::chrono::milliseconds read_timeout{10'000};
    /// Longest wait until the caller takes more bytes of a response.
    std::chrono::milliseconds write_timeout{10'000};
    std::size_t max_head_bytes = 16 * 1024;
    /// The library's backlog of 5 makes callers wait seconds for the retransmission of a dropped SYN.
    int backlog = 4096;
    /// A peer that acknowledges no data for this long is given up. A connection without traffic is probed
    /// after this time (whole seconds) and reset 2 s later.
    std::chrono::milliseconds silent_peer_timeout{2000};
    /// How long a refused caller may go on sending before its connection is closed. Closing at once would
    /// send a reset, which can destroy the response before the caller reads it.
    std::chrono::milliseconds linger_timeout{1000};
};

} // namespace laburnumreach::http

#endif
