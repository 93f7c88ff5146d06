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
    std::uint16_t port = 0; ///< 0 selects any free port.
    std::size_t workers = 16;
    std::size_t worker_stack_bytes = 256 * 1024;
    std::size_t max_connections = 2000; ///< Further callers get status 503, then their connection is closed.
    /// A connection without a request for this long is closed.
    std::chrono::milliseconds idle_timeout{60'000};
    /// Longest time from the first to the last byte of a head, and longest wait for the next part of a body.
    std::chrono::milliseconds read_timeout{10'000};
    /// Longest wait until the socket accepts more bytes of a response.
    std::chrono::milliseconds write_timeout{10'000};
    std::size_t max_head_bytes = 16 * 1024;
    /// cpp-httplib's backlog of 5 overflows under load, and callers then wait seconds for the retransmission
    /// of a dropped SYN.
    int backlog = 4096;
    /// A wait on a connection fails when the peer acknowledges no data for this long. TCP keep-alive probes a
    /// connection without traffic after this time (whole seconds, at least 1) and resets it 2 s later.
    std::chrono::milliseconds silent_peer_timeout{2000};
    /// How long a connection with unread bytes stays open after its last response. Closing it at once would
    /// send a reset, which can discard the response before the caller reads it.
    std::chrono::milliseconds linger_timeout{1000};
};

} // namespace laburnumreach::http

#endif
