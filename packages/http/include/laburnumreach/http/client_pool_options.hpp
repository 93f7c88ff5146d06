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
    /// An idle connection is not used after this time. Shorter than the idle timeout of the servers, so that
    /// a request does not meet their close.
    std::chrono::milliseconds idle_timeout{30'000};
    /// Longest connect; the deadline of the request also bounds it.
    std::chrono::milliseconds connect_timeout{1000};
    std::size_t max_response_head_bytes = 64 * 1024;
    /// A peer that acknowledges no data for this long is given up. A connection without traffic is probed
    /// after this time (whole seconds) and reset 2 s later.
    std::chrono::milliseconds silent_peer_timeout{2000};
};

} // namespace laburnumreach::http

#endif
