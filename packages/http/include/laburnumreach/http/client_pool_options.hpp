#ifndef LABURNUMREACH_HTTP_CLIENT_POOL_OPTIONS_HPP
#define LABURNUMREACH_HTTP_CLIENT_POOL_OPTIONS_HPP

#include <chrono>
#include <cstddef>

namespace laburnumreach::http
{

/// Settings of a client_pool.
struct client_pool_options
{
    std::size_t max_idle_per_destination = 64;
    /// A connection that was idle for longer is not reused. Must be shorter than the idle timeout of the
    /// servers, so that a request is not sent on a connection that the server is closing.
    std::chrono::milliseconds idle_timeout{30'000};
    /// Longest time to establish a connection; the deadline of the request also applies.
    std::chrono::milliseconds connect_timeout{1000};
    std::size_t max_response_head_bytes = 64 * 1024;
    /// An exchange fails when the peer acknowledges no data for this long. TCP keep-alive probes a connection
    /// without traffic after this time (whole seconds, at least 1) and resets it 2 s later.
    std::chrono::milliseconds silent_peer_timeout{2000};
};

} // namespace laburnumreach::http

#endif
